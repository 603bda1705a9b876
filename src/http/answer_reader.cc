#include "http/answer_reader.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "http/parser_limit.h"
#include "http/status.h"
#include "http/target_request.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kMaxStrayAnswers = 3;
constexpr std::size_t kMaxInterimAnswers = 16;
/// Of one answer, from its status line to its empty line.
constexpr std::size_t kMaxHeadBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxReservedBytes = std::size_t{1} << 20;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;
constexpr int kFirstErrorStatus = 400;
constexpr int kContinue = 0;
constexpr int kSkipBody = 1;
constexpr int kStop = -1;

AnswerReader& ReaderOf(http_parser* parser) { return *static_cast<AnswerReader*>(parser->data); }

/// Takes the next element off a comma-separated list.
std::string_view TakeElement(std::string_view& list) {
  const std::size_t comma = std::min(list.find(','), list.size());
  const std::string_view element = TrimSpace(list.substr(0, comma));
  list.remove_prefix(std::min(comma + 1, list.size()));
  return element;
}

std::optional<Duration> TimeoutOf(std::string_view keep_alive) {
  constexpr std::string_view kParameter = "timeout=";
  constexpr std::size_t kMaxDigits = 6;
  while (!keep_alive.empty()) {
    const std::string_view element = TakeElement(keep_alive);
    if (!SameHeaderName(element.substr(0, kParameter.size()), kParameter)) continue;
    const std::string_view number = element.substr(kParameter.size()).substr(0, kMaxDigits);
    int seconds = 0;
    const auto parsed = std::from_chars(number.data(), number.data() + number.size(), seconds);
    if (parsed.ec == std::errc() && seconds >= 0) return std::chrono::seconds(seconds);
  }
  return std::nullopt;
}

}  // namespace

AnswerReader::AnswerReader(const TargetRequest& answered_request) : request(answered_request) {
  this->BeginMessage();
}

tl::expected<bool, ClientError> AnswerReader::Consume(std::string_view bytes) {
  while (!bytes.empty() && !this->complete) {
    const std::string_view piece = this->NextPiece(bytes);
    if (!this->status_line.Consume(piece)) {
      this->Reject(ClientErrorKind::kBadAnswer, "the status line is malformed");
      return this->ParserFailure();
    }
    const std::size_t parsed =
        http_parser_execute(&this->parser, &Settings(), piece.data(), piece.size());
    const http_errno outcome = HTTP_PARSER_ERRNO(&this->parser);
    const bool parses = outcome == HPE_OK || outcome == HPE_PAUSED;
    if (this->error || !parses || parsed == 0) return this->ParserFailure();
    if (!this->CountHead(parsed)) return this->ParserFailure();
    if (!this->ResumeAfter(bytes.substr(0, parsed))) return this->ParserFailure();
    bytes.remove_prefix(parsed);
  }
  if (!bytes.empty()) this->connection_stays = false;
  return this->complete;
}

/// While a head is read, not more than a whole one may have.
std::string_view AnswerReader::NextPiece(std::string_view bytes) const {
  if (this->head_complete) return bytes;
  return bytes.substr(0, kMaxHeadBytes - this->head_bytes);
}

/// Counts what was parsed of a head; false when it is too large.
bool AnswerReader::CountHead(std::size_t parsed) {
  if (this->head_complete) return true;
  this->head_bytes += parsed;
  this->held_headers = http::HeldBytes(this->response.headers);
  if (this->head_bytes < kMaxHeadBytes) return true;
  return this->Reject(ClientErrorKind::kBadAnswer, "the head of the answer is too large");
}

/// Goes on after a pause, if there was one; false when the bytes before it are malformed.
bool AnswerReader::ResumeAfter(std::string_view parsed) {
  const Pause cause = std::exchange(this->pause, Pause::kNone);
  if (cause == Pause::kMessageEnd && !this->complete) this->BeginMessage();
  if (cause == Pause::kChunkEnd) {
    http_parser_pause(&this->parser, 0);
    // The parser, built lenient, takes any two bytes for the line break after a chunk.
    const char before = parsed.size() > 1 ? parsed[parsed.size() - 2] : this->last_byte;
    if (before != '\r' || parsed.back() != '\n') {
      return this->Reject(ClientErrorKind::kBadAnswer, "a chunk has not the stated size");
    }
  }
  this->last_byte = parsed.back();
  return true;
}

tl::expected<bool, ClientError> AnswerReader::ConsumeEnd() {
  http_parser_execute(&this->parser, &Settings(), nullptr, 0);
  if (this->complete) return true;
  return tl::make_unexpected(ClientError{ClientErrorKind::kConnectionLost,
                                         "the connection ended before the answer was complete"});
}

Response AnswerReader::TakeResponse() {
  StripConnectionHeaders(this->response.headers);
  this->response.lacks_echo = this->echo_missing;
  return std::move(this->response);
}

const http_parser_settings& AnswerReader::Settings() {
  static const http_parser_settings settings = [] {
    SetParserLimit();
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_message_begin = &AnswerReader::OnMessageBegin;
    made.on_header_field = &AnswerReader::OnHeaderName;
    made.on_header_value = &AnswerReader::OnHeaderValue;
    made.on_headers_complete = &AnswerReader::OnHead;
    made.on_body = &AnswerReader::OnBody;
    made.on_chunk_header = &AnswerReader::OnChunkHead;
    made.on_chunk_complete = &AnswerReader::OnChunkEnd;
    made.on_message_complete = &AnswerReader::OnMessageEnd;
    return made;
  }();
  return settings;
}

void AnswerReader::BeginMessage() {
  http_parser_init(&this->parser, HTTP_RESPONSE);
  this->parser.data = this;
  this->response = Response();
  this->status_line = StatusLineCheck();
  this->message_begun = false;
  this->head_bytes = 0;
  this->held_headers = 0;
  this->head_complete = false;
  this->value_begun = false;
  this->skips_message = false;
}

tl::expected<bool, ClientError> AnswerReader::ParserFailure() const {
  if (this->error) return tl::make_unexpected(*this->error);
  const char* text = http_errno_description(HTTP_PARSER_ERRNO(&this->parser));
  return tl::make_unexpected(ClientError{ClientErrorKind::kBadAnswer, text});
}

int AnswerReader::OnMessageBegin(http_parser* parser) {
  AnswerReader& reader = ReaderOf(parser);
  reader.message_begun = true;
  reader.begun_before_sent = !reader.request_sent;
  return kContinue;
}

int AnswerReader::OnHeaderName(http_parser* parser, const char* data, std::size_t size) {
  AnswerReader& reader = ReaderOf(parser);
  if (reader.head_complete) return kContinue;  // A trailer.
  const bool begins = reader.response.headers.empty() || std::exchange(reader.value_begun, false);
  if (begins && !reader.AddHeader()) return kStop;
  reader.response.headers.back().name.append(data, size);
  return kContinue;
}

int AnswerReader::OnHeaderValue(http_parser* parser, const char* data, std::size_t size) {
  AnswerReader& reader = ReaderOf(parser);
  if (reader.head_complete) return kContinue;
  reader.value_begun = true;
  reader.response.headers.back().value.append(data, size);
  return kContinue;
}

int AnswerReader::OnHead(http_parser* parser) {
  AnswerReader& reader = ReaderOf(parser);
  reader.head_complete = true;
  reader.held_headers = http::HeldBytes(reader.response.headers);
  reader.response.status = static_cast<int>(parser->status_code);
  if (!reader.AcceptHead()) return kStop;
  return reader.HasNoBody() ? kSkipBody : kContinue;
}

int AnswerReader::OnBody(http_parser* parser, const char* data, std::size_t size) {
  return ReaderOf(parser).AppendBody({data, size}) ? kContinue : kStop;
}

int AnswerReader::OnChunkHead(http_parser* parser) {
  ReaderOf(parser).in_last_chunk = parser->content_length == 0;
  return kContinue;
}

int AnswerReader::OnChunkEnd(http_parser* parser) {
  AnswerReader& reader = ReaderOf(parser);
  if (reader.in_last_chunk) return kContinue;
  reader.pause = Pause::kChunkEnd;
  http_parser_pause(parser, 1);
  return kContinue;
}

int AnswerReader::OnMessageEnd(http_parser* parser) {
  AnswerReader& reader = ReaderOf(parser);
  reader.complete = !reader.skips_message;
  const bool kept_alive = http_should_keep_alive(parser) != 0 && parser->http_minor > 0;
  reader.connection_stays = reader.complete && kept_alive && !reader.echo_missing;
  reader.pause = Pause::kMessageEnd;
  http_parser_pause(parser, 1);
  return kContinue;
}

bool AnswerReader::AddHeader() {
  Headers& headers = this->response.headers;
  if (headers.size() >= kMaxHeaders) {
    return this->Reject(ClientErrorKind::kBadAnswer, "the answer has too many headers");
  }
  headers.emplace_back();
  return true;
}

bool AnswerReader::AcceptHead() {
  const int status = this->response.status;
  const bool interim = status < kFirstFinalStatus && status != kSwitchingProtocols;
  if (this->parser.http_major != 1 || status < kLowestStatus || status > kHighestStatus) {
    return this->Reject(ClientErrorKind::kBadAnswer, "the status line is not of HTTP/1.x");
  }
  if (status == kSwitchingProtocols) {
    return this->Reject(ClientErrorKind::kBadAnswer, "the target switches protocols unasked");
  }
  for (Header& header : this->response.headers) {
    if (!IsValidHeader(header)) {
      return this->Reject(ClientErrorKind::kBadAnswer, "a header of the answer is malformed");
    }
    header.value.resize(TrimSpace(header.value).size());  // The parser drops leading blanks.
  }
  this->skips_message = interim;
  if (interim) {
    if (++this->interim_answers <= kMaxInterimAnswers) return true;
    return this->Reject(ClientErrorKind::kBadAnswer, "too many interim answers");
  }
  if (!this->AcceptEcho()) return false;
  return this->skips_message || this->AcceptFraming();
}

bool AnswerReader::AcceptEcho() {
  const Header& expected = this->request.echo_header;
  if (expected.name.empty()) {
    if (!this->connection_reused || !this->begun_before_sent) return true;
    return this->Reject(ClientErrorKind::kBadAnswer,
                        "the answer began before the request was sent");
  }
  const auto echo = FindHeader(this->response.headers, expected.name);
  if (echo == expected.value) return true;
  if (!echo) {
    this->echo_missing = true;
    if (this->response.status >= kFirstErrorStatus && !this->connection_reused) return true;
    return this->Reject(ClientErrorKind::kBadAnswer, "the answer lacks its echo header");
  }
  this->skips_message = true;
  if (++this->stray_answers <= kMaxStrayAnswers) return true;
  return this->Reject(ClientErrorKind::kBadAnswer, "too many answers to other requests");
}

bool AnswerReader::AcceptFraming() {
  const Headers& headers = this->response.headers;
  if (FindHeader(headers, "Content-Encoding")) {
    return this->Reject(ClientErrorKind::kBadAnswer, "the answer has a content encoding");
  }
  const auto coding = FindHeader(headers, "Transfer-Encoding");
  if (coding && !SameHeaderName(*coding, "chunked")) {
    return this->Reject(ClientErrorKind::kBadAnswer, "the answer's transfer encoding is unknown");
  }
  if (const auto value = FindHeader(headers, "Keep-Alive")) this->keep_alive = TimeoutOf(*value);
  if (coding || this->HasNoBody() || !FindHeader(headers, "Content-Length")) return true;
  const std::uint64_t announced = this->parser.content_length;
  if (announced > this->request.max_response_bytes) {
    return this->Reject(ClientErrorKind::kTooLarge, "the answer is too large");
  }
  this->response.body.reserve(std::min<std::size_t>(announced, kMaxReservedBytes));
  return true;
}

bool AnswerReader::AppendBody(std::string_view piece) {
  if (this->skips_message) {
    this->skipped_bytes += piece.size();
    if (this->skipped_bytes <= this->request.max_response_bytes) return true;
    return this->Reject(ClientErrorKind::kBadAnswer, "answers to other requests are too large");
  }
  std::string& body = this->response.body;
  if (piece.size() > this->request.max_response_bytes - body.size()) {
    return this->Reject(ClientErrorKind::kTooLarge, "the answer is too large");
  }
  const std::size_t size = body.size() + piece.size();
  if (size > body.capacity()) {
    body.reserve(std::clamp(2 * body.capacity(), size, this->request.max_response_bytes));
  }
  body.append(piece);
  return true;
}

bool AnswerReader::Reject(ClientErrorKind kind, std::string_view message) {
  this->error = ClientError{kind, std::string(message)};
  return false;
}

bool AnswerReader::HasNoBody() const {
  const int status = this->response.status;
  return status < kFirstFinalStatus || status == kNoContentStatus || status == kNotModifiedStatus ||
         this->request.method == "HEAD";
}

}  // namespace fireflyrun::http
