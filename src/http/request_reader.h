#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "http/call_server_limits.h"
#include "http/chunked_body.h"
#include "http/request.h"
#include "http/request_head.h"

namespace fireflyrun::http {

/// Reads one request after the other from the bytes of a connection.
class RequestReader {
 public:
  enum class Progress : std::uint8_t {
    kNeedsHead,
    kNeedsBody,
    kComplete,
  };

  struct Step {
    std::size_t consumed = 0;
    Progress progress = Progress::kNeedsHead;
  };

  /// Forgets the request read so far, and reads the next one within `message_limits`.
  void Begin(const CallServerLimits& message_limits);

  /// Reads on in `input`, which starts at the first byte that was not consumed before. The error is
  /// the status to answer; the connection is of no further use then.
  tl::expected<Step, int> Consume(std::string_view input);

  /// The complete request: method, target, headers and body.
  Request Take();

  bool HeadComplete() const { return this->head_complete; }
  /// Bytes of memory that the request takes: its headers, and its body as it will be by the length
  /// that the head announces. None before the head is whole.
  std::size_t HeldBytes() const;
  bool BodyBegun() const { return !this->body.empty(); }

  /// What the head says, once it was read.
  const RequestHead& Head() const { return this->head; }

 private:
  tl::expected<std::size_t, int> ReadHead(std::string_view input);
  tl::expected<std::size_t, int> ReadBody(std::string_view input);
  std::size_t BodyBytes() const;
  bool Complete() const;

  CallServerLimits limits;
  RequestHead head;
  std::string body;
  std::optional<ChunkedBody> chunks;
  std::size_t held_head = 0;  ///< Bytes of memory.
  std::size_t scanned = 0;    ///< Bytes of the head known to hold no empty line.
  bool head_complete = false;
};

}  // namespace fireflyrun::http
