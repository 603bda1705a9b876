#include "http/server_socket.h"

#include <utility>

#include "http/rejection.h"

namespace fireflyrun::http {
namespace {

thread_local ServerSocket* newest_socket = nullptr;
thread_local int rejection_status = 0;

}  // namespace

ServerSocket::ServerSocket(ServerSocket&& other) noexcept
    : Base(std::move(static_cast<Base&>(other))),
      owner(std::move(other.owner)),
      rejection_text(std::move(other.rejection_text)) {
  newest_socket = this;
}

void ServerSocket::shutdown(shutdown_type what, asio::error_code& error) {
  const int status = std::exchange(rejection_status, 0);
  std::string text;
  if (status != 0 && this->rejection_text) text = this->rejection_text(status);
  if (text.empty()) {
    Base::shutdown(what, error);
    return;
  }
  RejectConnection(std::move(static_cast<Base&>(*this)), std::move(text));
}

void ServerSocket::Attach(std::shared_ptr<void> state_owner,
                          std::function<std::string(int)> make_rejection) {
  this->owner = std::move(state_owner);
  this->rejection_text = std::move(make_rejection);
}

ServerSocket* ServerSocket::Newest() { return newest_socket; }

void ServerSocket::SetRejectionStatus(int status) { rejection_status = status; }

}  // namespace fireflyrun::http
