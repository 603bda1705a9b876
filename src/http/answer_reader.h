#pragma once

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string_view>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "http/client_error.h"
#include "http/response.h"
#include "http/status_line.h"

namespace fireflyrun::http {

struct TargetRequest;

/// Reads the answer to one request from the bytes of its connection. Skips interim answers (1xx)
/// and stray ones, which a target sends late or twice and which carry another request's echo. What
/// is read and what is skipped is bounded, so that bytes without end are an error.
class AnswerReader {
 public:
  /// The request must outlive the reader.
  explicit AnswerReader(const TargetRequest& answered_request);
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  /// Whether earlier requests were answered on the connection. Such an answer may be sent again, so
  /// that one without its echo can't be told from it and is rejected.
  void SetConnectionReused(bool reused) { this->connection_reused = reused; }

  /// Whether the request was sent in full. On a reused connection, an answer that begins before
  /// that may belong to an earlier request and is rejected, unless its echo shows otherwise.
  void SetRequestSent(bool sent) { this->request_sent = sent; }

  /// True once the answer is complete.
  tl::expected<bool, ClientError> Consume(std::string_view bytes);

  /// The connection ended cleanly, which completes an answer without a length.
  tl::expected<bool, ClientError> ConsumeEnd();

  /// False from the first byte of a message that may be the answer; the request's body must not be
  /// written on then. True again when that message turns out to be another.
  bool AwaitsAnswer() const { return !this->message_begun || this->skips_message; }

  /// After a complete answer: true when another request may follow on the connection.
  bool ConnectionStaysUsable() const { return this->connection_stays; }

  /// The idle timeout that the target stated, if any.
  std::optional<Duration> KeepAliveTimeout() const { return this->keep_alive; }

  int Status() const { return this->response.status; }

  std::size_t StrayAnswers() const { return this->stray_answers; }

  /// Bytes of memory that the answer takes so far, its headers included, beside the reader itself.
  std::size_t HeldBytes() const {
    const std::size_t bytes = this->response.body.capacity();
    return this->held_headers + (bytes > std::string().capacity() ? bytes : 0);
  }

  /// The complete answer, without headers of its connection or its framing.
  Response TakeResponse();

 private:
  static const http_parser_settings& Settings();
  static int OnMessageBegin(http_parser* parser);
  static int OnHeaderName(http_parser* parser, const char* data, std::size_t size);
  static int OnHeaderValue(http_parser* parser, const char* data, std::size_t size);
  static int OnHead(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnChunkHead(http_parser* parser);
  static int OnChunkEnd(http_parser* parser);
  static int OnMessageEnd(http_parser* parser);

  void BeginMessage();
  std::string_view NextPiece(std::string_view bytes) const;
  bool CountHead(std::size_t parsed);
  tl::expected<bool, ClientError> ParserFailure() const;
  bool ResumeAfter(std::string_view parsed);
  bool AcceptHead();
  bool AcceptEcho();
  bool AcceptFraming();
  bool AppendBody(std::string_view piece);
  bool Reject(ClientErrorKind kind, std::string_view message);
  bool AddHeader();
  bool HasNoBody() const;

  /// Why the parser was paused.
  enum class Pause { kNone, kChunkEnd, kMessageEnd };

  const TargetRequest& request;
  http_parser parser;
  StatusLineCheck status_line;  ///< Of the current message.
  Pause pause = Pause::kNone;
  char last_byte = '\0';  ///< Of the bytes parsed before.
  bool in_last_chunk = false;
  Response response;
  std::optional<ClientError> error;
  std::optional<Duration> keep_alive;
  std::size_t stray_answers = 0;
  std::size_t interim_answers = 0;
  std::size_t skipped_bytes = 0;  ///< Of the bodies of answers to other requests.
  bool message_begun = false;
  std::size_t head_bytes = 0;    ///< Parsed before the head was complete.
  std::size_t held_headers = 0;  ///< Bytes of memory.
  bool head_complete = false;
  bool value_begun = false;
  bool skips_message = false;
  bool echo_missing = false;
  bool connection_reused = false;
  bool request_sent = true;
  bool begun_before_sent = false;  ///< The current message.
  bool complete = false;
  bool connection_stays = false;
};

}  // namespace fireflyrun::http
