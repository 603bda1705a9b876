// A small blocking HTTP/1.1 server and client for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
  return text;
}

/// A request or a response; header names are in lower case.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? "" : found->second;
  }
};

inline sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Reads messages from a socket; `deadline` bounds each call.
class MessageReader {
 public:
  explicit MessageReader(int file) : socket(file) {}

  /// False when the connection ended or the time ran out before the message was whole.
  bool Read(Message* message, bool response, Clock::time_point deadline) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline)) return false;
    }
    ParseHead(buffer.substr(0, end), response, message);
    buffer.erase(0, end + 4);
    return ReadBody(message, response, deadline);
  }

  bool AnyBytes() const { return !buffer.empty(); }

 private:
  void ParseHead(const std::string& head, bool response, Message* message) {
    *message = Message();
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    const std::size_t one = first.find(' ');
    const std::size_t two = first.find(' ', one + 1);
    if (response) {
      message->status = atoi(first.c_str() + one + 1);
    } else {
      message->method = first.substr(0, one);
      message->target = first.substr(one + 1, two - one - 1);
    }
    while (at != std::string::npos) {
      const std::size_t next = head.find("\r\n", at + 2);
      const std::string line =
          head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message->headers[Lower(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
      }
      at = next;
    }
  }

  bool ReadBody(Message* message, bool response, Clock::time_point deadline) {
    if (Lower(message->Header("Transfer-Encoding")) == "chunked") {
      for (;;) {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
          if (!Fill(deadline)) return false;
        }
        const std::size_t size = strtoul(buffer.c_str(), nullptr, 16);
        while (buffer.size() < end + 2 + size + 2) {
          if (!Fill(deadline)) return false;
        }
        message->body += buffer.substr(end + 2, size);
        buffer.erase(0, end + 2 + size + 2);
        if (size == 0) return true;
      }
    }
    const std::string length = message->Header("Content-Length");
    if (length.empty()) {
      if (!response || message->status == 204) return true;
      while (Fill(deadline)) {
      }
      message->body = std::exchange(buffer, "");
      return true;
    }
    const std::size_t size = strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
      if (!Fill(deadline)) return false;
    }
    message->body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
  }

  bool Fill(Clock::time_point deadline) {
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    pollfd state{socket, POLLIN, 0};
    if (left <= 0 || poll(&state, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[65536];
    const ssize_t size = recv(socket, bytes, sizeof bytes, 0);
    if (size <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int socket;
  std::string buffer;
};

inline bool SendAll(int file, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size = send(file, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

inline std::string ResponseText(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// One thread a connection. The handler gets the socket and answers itself; it returns false to
/// close the connection.
class Server {
 public:
  using Handler = std::function<bool(int file, const Message& request)>;

  Server(const std::string& ip, int port, Handler request_handler)
      : handler(std::move(request_handler)) {
    listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = SocketAddress(ip, port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener, 512) != 0) {
      throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    own_port = ntohs(address.sin_port);
    thread = std::thread([this] { Accept(); });
  }
  ~Server() {
    stopped = true;
    shutdown(listener, SHUT_RDWR);
    thread.join();
    close(listener);
    ResetAll();
    while (open > 0) std::this_thread::sleep_for(Milliseconds(5));
  }

  int Port() const { return own_port; }

  /// Resets all open connections.
  void ResetAll() {
    const std::lock_guard<std::mutex> lock(mutex);
    for (const int file : files) {
      const linger now{1, 0};
      setsockopt(file, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      shutdown(file, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (!stopped) {
      const int file = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (file < 0) continue;
      const int on = 1;
      setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++open;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        files.insert(file);
      }
      std::thread([this, file] { Serve(file); }).detach();
    }
  }

  void Serve(int file) {
    MessageReader reader(file);
    Message request;
    while (!stopped && reader.Read(&request, false, Clock::now() + std::chrono::seconds(60))) {
      if (!handler(file, request)) break;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex);
      files.erase(file);
    }
    close(file);
    --open;
  }

  Handler handler;
  int listener = -1;
  int own_port = 0;
  std::atomic<bool> stopped{false};
  std::atomic<int> open{0};
  std::mutex mutex;
  std::set<int> files;
  std::thread thread;
};

/// What a client saw of one request.
struct Outcome {
  int status = 0;  ///< 0: no whole answer.
  Message answer;
  bool connected = false;
  bool any_bytes = false;
};

inline int Connect(const std::string& ip, int port, Milliseconds limit) {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = SocketAddress(ip, port);
  const int failed = connect(file, reinterpret_cast<sockaddr*>(&address), sizeof address);
  pollfd state{file, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  const bool good = (failed == 0 || errno == EINPROGRESS) &&
                    poll(&state, 1, static_cast<int>(limit.count())) == 1 &&
                    getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  if (!good) {
    close(file);
    return -1;
  }
  const int on = 1;
  setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  fcntl(file, F_SETFL, fcntl(file, F_GETFL) & ~O_NONBLOCK);
  return file;
}

/// One request on a connection of its own.
inline Outcome Call(const std::string& ip, int port, const std::string& text, Milliseconds limit) {
  Outcome outcome;
  const auto deadline = Clock::now() + limit;
  const int file = Connect(ip, port, std::min<Milliseconds>(limit, Milliseconds(1000)));
  if (file < 0) return outcome;
  outcome.connected = true;
  MessageReader reader(file);
  if (SendAll(file, text) && reader.Read(&outcome.answer, true, deadline)) {
    outcome.status = outcome.answer.status;
  }
  outcome.any_bytes = outcome.status != 0 || reader.AnyBytes();
  close(file);
  return outcome;
}

}  // namespace review
