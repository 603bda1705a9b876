#include "http/rejection.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "http/problem.h"
#include "http/reason_phrase.h"
#include "http/response_head.h"

namespace fireflyrun::http {
namespace {

constexpr std::chrono::seconds kDrainTime(5);
constexpr std::size_t kDrainBytes = std::size_t{64} << 20;
constexpr std::size_t kBufferBytes = 4096;

class Rejection : public std::enable_shared_from_this<Rejection> {
 public:
  Rejection(asio::ip::tcp::socket connection, std::string text)
      : socket(std::move(connection)),
        timer(this->socket.get_executor()),
        response(std::move(text)) {}

  void Start() {
    this->timer.expires_after(kDrainTime);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
      if (!error) self->Close();
    });
    asio::async_write(this->socket, asio::buffer(this->response),
                      [self = this->shared_from_this()](const asio::error_code& error,
                                                        std::size_t) { self->AfterWrite(error); });
    this->Drain();
  }

 private:
  void AfterWrite(const asio::error_code& error) {
    asio::error_code ignored;
    if (!error) this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  void Drain() {
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
          self->drained += size;
          if (error || self->drained > kDrainBytes) return self->Close();
          self->Drain();
        });
  }

  void Close() {
    asio::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::string response;
  std::array<char, kBufferBytes> buffer;
  std::size_t drained = 0;
};

}  // namespace

Response MakeRejection(int status, Headers extra_headers) {
  extra_headers.push_back({"Firefly-Outcome", "not-run"});
  return MakeProblem(status, "malformed-request", ReasonPhrase(status), "the request was not read",
                     std::move(extra_headers));
}

std::string RejectionText(int status, Headers extra_headers) {
  Response rejection = MakeRejection(status, std::move(extra_headers));
  std::string text;
  WriteResponseHead(rejection, {.close = true}, text);
  return text + rejection.body;
}

void RejectConnection(asio::ip::tcp::socket socket, std::string response) {
  std::make_shared<Rejection>(std::move(socket), std::move(response))->Start();
}

}  // namespace fireflyrun::http
