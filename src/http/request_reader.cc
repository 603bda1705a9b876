#include "http/request_reader.h"

#include <algorithm>
#include <utility>

#include "http/headers.h"
#include "http/status.h"

namespace fireflyrun::http {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

}  // namespace

void RequestReader::Begin(const CallServerLimits& message_limits) {
  this->limits = message_limits;
  this->body = std::string();
  this->chunks.reset();
  this->scanned = 0;
  this->head_complete = false;
}

tl::expected<RequestReader::Step, int> RequestReader::Consume(std::string_view input) {
  Step step;
  if (!this->head_complete) {
    const auto head_size = this->ReadHead(input);
    if (!head_size) return tl::make_unexpected(head_size.error());
    if (*head_size == 0) return step;
    step.consumed = *head_size;
  }
  const auto body_size = this->ReadBody(input.substr(step.consumed));
  if (!body_size) return tl::make_unexpected(body_size.error());
  step.consumed += *body_size;
  step.progress = this->Complete() ? Progress::kComplete : Progress::kNeedsBody;
  return step;
}

/// Gives the size of the head, 0 while it is not whole. What cannot become a request is refused at
/// once, so that its sender need not wait for the time limit.
tl::expected<std::size_t, int> RequestReader::ReadHead(std::string_view input) {
  if (!input.empty() && !IsToken(input.substr(0, 1))) return tl::make_unexpected(kBadRequest);
  std::size_t feed = input.find('\n', this->scanned);
  while (feed != std::string_view::npos && !input.substr(0, feed + 1).ends_with(kHeadEnd)) {
    if (feed == 0 || input[feed - 1] != '\r') return tl::make_unexpected(kBadRequest);
    this->scanned = feed + 1;
    feed = input.find('\n', this->scanned);
  }
  const bool whole = feed != std::string_view::npos;
  const std::size_t size = whole ? feed + 1 : input.size();
  if (size > this->limits.max_header_bytes) return tl::make_unexpected(kHeadersTooLarge);
  if (!whole) {
    this->scanned = size;
    return 0;
  }
  auto parsed = ParseRequestHead(input.substr(0, size));
  if (!parsed) return tl::make_unexpected(parsed.error());
  this->head = std::move(*parsed);
  this->held_head = this->head.target.capacity() + http::HeldBytes(this->head.headers);
  this->head_complete = true;
  if (this->head.content_length > this->limits.max_body_bytes) {
    return tl::make_unexpected(kContentTooLarge);
  }
  if (this->head.chunked) {
    this->chunks.emplace(this->limits.max_body_bytes, this->limits.max_header_bytes);
  }
  return size;
}

tl::expected<std::size_t, int> RequestReader::ReadBody(std::string_view input) {
  if (this->chunks) return this->chunks->Consume(input, this->body);
  const std::size_t size = std::min(this->head.content_length - this->body.size(), input.size());
  if (size == 0) return 0;
  // Growing by steps would copy what was read, and hold it twice meanwhile.
  if (this->body.empty()) this->body.reserve(this->head.content_length);
  this->body.append(input.substr(0, size));
  return size;
}

std::size_t RequestReader::HeldBytes() const {
  return this->head_complete ? this->held_head + this->BodyBytes() : 0;
}

std::size_t RequestReader::BodyBytes() const {
  if (!this->chunks) return this->head.content_length;
  return this->body.empty() ? 0 : this->body.capacity();
}

bool RequestReader::Complete() const {
  if (!this->head_complete) return false;
  if (this->chunks) return this->chunks->Complete();
  return this->body.size() == this->head.content_length;
}

Request RequestReader::Take() {
  Request request;
  request.method = std::move(this->head.method);
  request.target = std::move(this->head.target);
  request.headers = std::move(this->head.headers);
  request.body = std::move(this->body);
  return request;
}

}  // namespace fireflyrun::http
