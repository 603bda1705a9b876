#include "http/target_exchange.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "common/endpoint.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kHeadReserveBytes = 1024;

tl::unexpected<ClientError> Malformed(std::string message) {
  return tl::make_unexpected(ClientError{ClientErrorKind::kNotSent, std::move(message)});
}

bool EndsRequestLineEarly(char character) {
  const auto code = static_cast<unsigned char>(character);
  return code <= 0x20 || code == 0x7F;
}

bool TellsLength(const TargetRequest& request) {
  const std::string& method = request.method;
  return !request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
}

void AppendHeader(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

TargetExchange::TargetExchange(std::uint64_t exchange_id, TargetRequest request_to_send,
                               Handler end_handler)
    : id(exchange_id),
      request(std::move(request_to_send)),
      handler(std::move(end_handler)),
      reader(this->request) {}

tl::expected<void, ClientError> TargetExchange::Check(const TargetRequest& request) {
  const std::string& target = request.target;
  if (!IsEndpoint(request.address)) return Malformed("the address is no IP:PORT");
  if (!IsToken(request.method)) return Malformed("method is not a token");
  if (target.empty() || std::any_of(target.begin(), target.end(), EndsRequestLineEarly)) {
    return Malformed("malformed target");
  }
  for (const Header& header : request.headers) {
    if (!IsValidHeader(header)) return Malformed("malformed header \"" + header.name + "\"");
  }
  return {};
}

bool TargetExchange::PrepareToWrite() {
  const Duration left = this->request.deadline - SteadyClock::now();
  if (left <= Duration::zero()) return false;
  this->BuildHead(left);
  return true;
}

std::array<asio::const_buffer, 2> TargetExchange::Unwritten() const {
  const std::size_t of_head = std::min(this->written, this->head.size());
  const std::size_t of_body = this->written - of_head;
  return {asio::buffer(this->head) + of_head, asio::buffer(this->request.body) + of_body};
}

void TargetExchange::BuildHead(Duration time_left) {
  this->head.clear();
  this->head.reserve(kHeadReserveBytes);
  this->head.append(this->request.method).append(" ").append(this->request.target);
  this->head.append(" HTTP/1.1\r\n");
  if (!FindHeader(this->request.headers, "Host")) {
    AppendHeader(this->head, "Host", this->request.address);
  }
  for (const Header& header : this->request.headers) {
    if (!IsConnectionHeader(header.name)) AppendHeader(this->head, header.name, header.value);
  }
  if (!this->request.deadline_header.empty()) {
    const auto left_ms = std::to_string(ToMilliseconds(time_left).count());
    AppendHeader(this->head, this->request.deadline_header, left_ms);
  }
  if (TellsLength(this->request)) {
    AppendHeader(this->head, "Content-Length", std::to_string(this->request.body.size()));
  }
  this->head.append("\r\n");
}

}  // namespace fireflyrun::http
