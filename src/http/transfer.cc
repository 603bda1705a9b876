#include "http/transfer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "http/status.h"
#include "http/status_line.h"

namespace fireflyrun::http {
namespace {

constexpr long kConnectTimeoutMilliseconds = 3000;
constexpr long kMaxIdleSeconds = 60;
/// Of the heads of one response, interim ones and trailers included. Not every libcurl has a limit.
constexpr std::size_t kMaxHeadBytes = std::size_t{64} << 10;
/// A connection whose far end no longer knows it, without a word, is noticed by TCP's keep-alive
/// after about so many seconds: idle time, then probes.
constexpr long kKeepAliveIdleSeconds = 1;
constexpr long kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUnacknowledgedMilliseconds = 3000;

int SetSocketOptions(void*, curl_socket_t socket, curlsocktype) {
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof kKeepAliveProbes);
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMilliseconds,
             sizeof kUnacknowledgedMilliseconds);
  return CURL_SOCKOPT_OK;
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t\r\n";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

long TimeoutMilliseconds(Duration timeout) {
  const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  return static_cast<long>(std::max<std::int64_t>(rounded_up, 1));
}

tl::unexpected<ClientError> Malformed(std::string message) {
  return tl::make_unexpected(ClientError{ClientErrorKind::kNotSent, std::move(message)});
}

}  // namespace

Transfer::Transfer(std::uint64_t request_id, ClientRequest request_to_send, Handler end_handler,
                   ChunkHandler chunk_handler, UnreadBytesHook unread_bytes_hook)
    : id(request_id),
      request(std::move(request_to_send)),
      on_end(std::move(end_handler)),
      on_chunk(std::move(chunk_handler)),
      has_unread_bytes(std::move(unread_bytes_hook)),
      handle(nullptr, &curl_easy_cleanup) {}

Transfer::~Transfer() { curl_slist_free_all(this->header_list); }

Transfer::EasyHandle Transfer::MakeHandle() {
  EasyHandle made(curl_easy_init(), &curl_easy_cleanup);
  CURL* easy = made.get();
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMilliseconds);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetSocketOptions);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Transfer::OnConnectionReady);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  return made;
}

tl::expected<void, ClientError> Transfer::Prepare(EasyHandle easy_handle) {
  this->handle = std::move(easy_handle);
  if (auto checked = this->CheckRequest(); !checked) return checked;
  CURL* easy = this->handle.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, this->error_text);
  curl_easy_setopt(easy, CURLOPT_URL, this->request.url.c_str());
  this->SetMethodAndBody();
  this->SetHeaders();
  this->SetLimits();
  return {};
}

void Transfer::PrepareForNewConnection() {
  this->request.fresh_connection = true;
  this->found_unread_bytes = false;
  this->SetLimits();
}

tl::expected<void, ClientError> Transfer::CheckRequest() const {
  if (!IsToken(this->request.method)) return Malformed("method is not a token");
  for (const Header& header : this->request.headers) {
    if (!IsValidHeader(header)) return Malformed("malformed header \"" + header.name + "\"");
  }
  return {};
}

void Transfer::SetMethodAndBody() {
  CURL* easy = this->handle.get();
  const std::string& method = this->request.method;
  const bool expects_body = method == "POST" || method == "PUT" || method == "PATCH";
  if (expects_body || !this->request.body.empty()) {
    const auto body_size = static_cast<curl_off_t>(this->request.body.size());
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, body_size);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, this->request.body.c_str());
  } else {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_NOBODY, method == "HEAD" ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void Transfer::SetHeaders() {
  for (const Header& header : this->request.headers) {
    if (IsConnectionHeader(header.name)) continue;
    // libcurl sends a header with an empty value only in this form.
    const bool empty = header.value.empty();
    this->AppendHeader(empty ? header.name + ";" : header.name + ": " + header.value);
  }
  // "NAME:" removes a header that libcurl would add by itself.
  this->AppendHeader("Expect:");
  for (const char* name : {"Accept", "Content-Type"}) {
    if (!FindHeader(this->request.headers, name)) this->AppendHeader(std::string(name) + ":");
  }
  curl_easy_setopt(this->handle.get(), CURLOPT_HTTPHEADER, this->header_list);
}

void Transfer::SetLimits() {
  CURL* easy = this->handle.get();
  const bool unlimited = this->Streams() && this->request.timeout == Duration::zero();
  const long timeout = unlimited ? 0L : TimeoutMilliseconds(this->request.timeout);
  const long fresh = this->request.fresh_connection ? 1L : 0L;
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, fresh);
}

void Transfer::AppendHeader(const std::string& line) {
  this->header_list = curl_slist_append(this->header_list, line.c_str());
}

tl::expected<Response, ClientError> Transfer::Finish(CURLcode code) {
  if (code == CURLE_OK && this->IsComplete()) return std::move(this->response);
  ClientError error;
  error.kind = this->KindOf(code);
  const char* text = this->error_text[0] != '\0' ? this->error_text : curl_easy_strerror(code);
  error.message = code == CURLE_OK ? "the response is not known to be complete" : text;
  return tl::make_unexpected(std::move(error));
}

Transfer::EasyHandle Transfer::ReleaseHandle() {
  CURL* easy = this->handle.get();
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, nullptr);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, nullptr);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, nullptr);
  return std::exchange(this->handle, EasyHandle(nullptr, &curl_easy_cleanup));
}

void Transfer::DeliverChunk() {
  const std::string piece = std::exchange(this->chunk, std::string());
  // A copy: the handler may destroy the client, and this transfer with it.
  const ChunkHandler handler = this->on_chunk;
  handler(piece);
}

int Transfer::OnConnectionReady(void* transfer, char*, char*, int, int local_port) {
  Transfer& ready = *static_cast<Transfer*>(transfer);
  if (ready.has_unread_bytes(local_port)) {
    ready.found_unread_bytes = true;
    return CURL_PREREQFUNC_ABORT;
  }
  ready.connection_made = true;
  return CURL_PREREQFUNC_OK;
}

std::size_t Transfer::OnHeader(char* data, std::size_t size, std::size_t count, void* transfer) {
  const bool taken = static_cast<Transfer*>(transfer)->ReadHeaderLine({data, size * count});
  return taken ? size * count : 0;
}

std::size_t Transfer::OnBody(char* data, std::size_t size, std::size_t count, void* transfer) {
  const bool taken = static_cast<Transfer*>(transfer)->ReadBody({data, size * count});
  return taken ? size * count : 0;
}

bool Transfer::ReadHeaderLine(std::string_view line) {
  this->head_bytes += line.size();
  this->too_large = this->head_bytes > kMaxHeadBytes;
  if (this->too_large) return false;
  if (line.starts_with("HTTP/")) {
    this->malformed = !IsStatusLine(line);
    if (this->malformed) return false;
    // Headers of an interim (1xx) response do not belong to the final one.
    this->response.headers.clear();
    this->head_complete = false;
    long status = 0;
    curl_easy_getinfo(this->handle.get(), CURLINFO_RESPONSE_CODE, &status);
    this->response.status = static_cast<int>(status);
    return true;
  }
  if (TrimBlanks(line).empty()) this->head_complete = true;
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return true;
  this->response.headers.push_back({std::string(TrimBlanks(line.substr(0, colon))),
                                    std::string(TrimBlanks(line.substr(colon + 1)))});
  return true;
}

bool Transfer::ReadBody(std::string_view piece) {
  if (this->Streams()) {
    this->chunk.append(piece);
    return true;
  }
  std::string& body = this->response.body;
  const std::size_t limit = this->request.max_response_bytes;
  curl_off_t announced = -1;
  if (body.empty()) {
    curl_easy_getinfo(this->handle.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &announced);
  }
  const std::size_t expected = announced > 0 ? static_cast<std::size_t>(announced) : 0;
  this->too_large = expected > limit || piece.size() > limit - body.size();
  if (this->too_large) return false;
  if (expected > 0) body.reserve(expected);
  body.append(piece);
  return true;
}

/// libcurl takes a connection that ends within the head for the end of a response without a body.
bool Transfer::IsComplete() const { return this->head_complete && this->BodyLengthIsKnown(); }

bool Transfer::BodyLengthIsKnown() const {
  const int status = this->response.status;
  const bool has_no_body =
      this->request.method == "HEAD" || status == kNoContent || status == kNotModified;
  return has_no_body || FindHeader(this->response.headers, "Content-Length") ||
         FindHeader(this->response.headers, "Transfer-Encoding");
}

ClientErrorKind Transfer::KindOf(CURLcode code) const {
  if (this->too_large) return ClientErrorKind::kTooLarge;
  if (this->malformed) return ClientErrorKind::kBadAnswer;
  if (!this->connection_made) return ClientErrorKind::kNotSent;
  if (code == CURLE_OPERATION_TIMEDOUT) return ClientErrorKind::kTimedOut;
  return ClientErrorKind::kConnectionLost;
}

}  // namespace fireflyrun::http
