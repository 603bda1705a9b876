#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/call_server.h"
#include "http/server.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kAnswerBytes = 5000;
constexpr int kDefaultRequests = 100000;
constexpr double kNanosecondsPerSecond = 1e9;

constexpr const char* kRequest =
    "GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: 9c41d07be2a35f68\r\n"
    "Deadline-Ms: 6000\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n";

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

/// Processor time of the thread that runs the loop.
double LoopSeconds(asio::io_context& loop) {
  std::promise<double> seconds;
  asio::post(loop, [&] { seconds.set_value(ThreadSeconds()); });
  return seconds.get_future().get();
}

/// Callers on one connection each, which wait for the answer before the next request.
class Callers {
 public:
  Callers(std::uint16_t port, int count) {
    for (int number = 0; number < count; ++number) {
      this->sockets.emplace_back(this->loop);
      this->sockets.back().connect({asio::ip::make_address("127.0.0.1"), port});
    }
    this->answer_bytes = this->FirstAnswerBytes();
  }

  void Send(int requests) {
    std::vector<char> answer(this->answer_bytes);
    for (int sent = 0; sent < requests; sent += static_cast<int>(this->sockets.size())) {
      for (auto& socket : this->sockets) asio::write(socket, asio::buffer(std::string(kRequest)));
      for (auto& socket : this->sockets) asio::read(socket, asio::buffer(answer));
    }
  }

 private:
  std::size_t FirstAnswerBytes() {
    auto& socket = this->sockets.front();
    asio::write(socket, asio::buffer(std::string(kRequest)));
    std::string answer;
    std::size_t head_end = std::string::npos;
    while (head_end == std::string::npos || answer.size() < head_end + 4 + kAnswerBytes) {
      std::vector<char> chunk(kAnswerBytes);
      answer.append(chunk.data(), socket.read_some(asio::buffer(chunk)));
      head_end = answer.find("\r\n\r\n");
    }
    return answer.size();
  }

  asio::io_context loop;
  std::vector<asio::ip::tcp::socket> sockets;
  std::size_t answer_bytes = 0;
};

template <typename AnyServer, typename Options>
void Measure(const char* name, const Options& options, int callers, int requests) {
  asio::io_context loop;
  AnyServer server(loop, options, [](const Request&, const std::shared_ptr<Exchange>& exchange) {
    exchange->Respond({200, {{"Content-Type", "text/plain"}}, std::string(kAnswerBytes, 'x')});
  });
  if (!server.Start()) std::exit(EXIT_FAILURE);
  std::thread thread([&loop] {
    const auto work = asio::make_work_guard(loop);
    loop.run();
  });
  {
    Callers load(server.Port(), callers);
    load.Send(requests / 10);
    const double before = LoopSeconds(loop);
    load.Send(requests);
    const double used = LoopSeconds(loop) - before;
    std::printf("%s, %d callers: %.2f us of processor time a request, %.0f requests a second\n",
                name, callers, used / requests * 1e6, requests / used);
  }
  asio::post(loop, [&] {
    server.Close();
    loop.stop();
  });
  thread.join();
}

}  // namespace
}  // namespace fireflyrun::http

/// Usage: http_server_bench [REQUESTS [server|call-server]].
int main(int argc, char** argv) {
  namespace http = fireflyrun::http;
  const int requests = argc > 1 ? std::atoi(argv[1]) : http::kDefaultRequests;
  const std::string only = argc > 2 ? argv[2] : "";
  for (const int callers : {1, 32}) {
    if (only != "call-server") {
      http::Measure<http::Server>("Server", http::ServerOptions{}, callers, requests);
    }
    if (only != "server") {
      http::Measure<http::CallServer>("CallServer", http::CallServerOptions{}, callers, requests);
    }
  }
  return EXIT_SUCCESS;
}
