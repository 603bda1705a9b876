#include "http/server.h"

#include <algorithm>
#include <asio/post.hpp>
#include <exception>
#include <limits>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/parser_limit.h"
#include "http/problem.h"
#include "http/reason_phrase.h"
#include "http/rejection.h"
#include "http/request_head.h"
#include "http/server_socket.h"
#include "http/status.h"

namespace fireflyrun::http {
namespace {

constexpr std::chrono::minutes kReadTimeLimit(10);
constexpr std::chrono::minutes kWriteTimeLimit(10);
constexpr std::chrono::hours kHandleTimeLimit(24);
constexpr std::size_t kReadBufferBytes = 8192;
/// RESTinio notices that a caller closed only while it reads, so it must be ready to read one more
/// request while the first is handled.
constexpr std::size_t kMaxPipelinedRequests = 2;
constexpr std::size_t kMaxUrlBytes = std::size_t{16} << 10;
/// The heads of a whole server's connections have to fit into a small host's memory.
constexpr std::size_t kMaxHeaderNameBytes = 256;
constexpr std::size_t kMaxHeaderValueBytes = std::size_t{8} << 10;
constexpr std::size_t kMaxServerHeaders = 64;

/// The status for an error that RESTinio logs before it closes a connection; 0 when the error is
/// not about the request.
int RejectionStatus(std::string_view message) {
  const auto names = [message](std::string_view error) {
    return message.find(error) != std::string_view::npos;
  };
  if (!names("parser error")) return 0;
  if (names("HPE_CB_headers_complete") || names("HPE_CB_body")) return kContentTooLarge;
  if (names("HPE_CB_url")) return kUriTooLong;
  if (names("HPE_CB_header_") || names("HPE_HEADER_OVERFLOW")) return kHeadersTooLarge;
  return kBadRequest;
}

/// Listens to RESTinio's log for requests that it could not read.
struct ParserErrorLogger {
  template <typename Builder>
  void trace(Builder&&) const noexcept {}  // NOLINT(readability-identifier-naming)
  template <typename Builder>
  void info(Builder&&) const noexcept {}  // NOLINT(readability-identifier-naming)
  template <typename Builder>
  void warn(Builder&&) const noexcept {}  // NOLINT(readability-identifier-naming)
  template <typename Builder>
  void error(Builder&& builder) const {  // NOLINT(readability-identifier-naming)
    ServerSocket::SetRejectionStatus(RejectionStatus(builder()));
  }
};

struct ServerCore;

/// A request that awaits its response, or whose response is being written.
struct OpenExchange {
  std::weak_ptr<ServerCore> core;
  restinio::connection_id_t connection_id = 0;
  restinio::request_handle_t request;  ///< Null once answered or the caller has gone.
  std::function<void()> caller_gone_hook;
  bool caller_gone = false;
};

using OpenExchangePointer = std::shared_ptr<OpenExchange>;

/// An accepted connection and its exchanges, oldest first.
struct ServerConnection {
  ServerSocket* socket = nullptr;
  std::vector<OpenExchangePointer> exchanges;
};

/// Follows connections by RESTinio's notices.
struct ConnectionListener {
  std::weak_ptr<ServerCore> core;
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept;
};

struct ServerTraits : restinio::default_single_thread_traits_t {
  using logger_t = ParserErrorLogger;                      // NOLINT(*-identifier-naming)
  using stream_socket_t = ServerSocket;                    // NOLINT(*-identifier-naming)
  using connection_state_listener_t = ConnectionListener;  // NOLINT(*-identifier-naming)
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using RestinioServer = restinio::http_server_t<ServerTraits>;

/// State shared by the server and its connections. RESTinio's connections refer to its acceptor
/// until their end, so each socket keeps the core, and with it the acceptor, alive.
struct ServerCore : std::enable_shared_from_this<ServerCore> {
  ServerCore(asio::io_context& event_loop, ServerOptions server_options,
             Server::Handler request_handler)
      : loop(event_loop), options(std::move(server_options)), handler(std::move(request_handler)) {}

  std::unique_ptr<RestinioServer> MakeServer();
  void Accepted(restinio::connection_id_t id);
  void Closed(restinio::connection_id_t id);
  void Received(const restinio::request_handle_t& request);
  void Respond(const OpenExchangePointer& exchange, Response response);
  void SetHook(const OpenExchangePointer& exchange, std::function<void()> hook);
  void Written(const OpenExchangePointer& exchange);
  void PostHook(const OpenExchangePointer& exchange) const;
  void StopAccepting();
  void CloseConnection(restinio::connection_id_t id);
  void Close();

  asio::io_context& loop;
  ServerOptions options;
  Server::Handler handler;
  std::unique_ptr<RestinioServer> server;
  std::unordered_map<restinio::connection_id_t, std::shared_ptr<ServerConnection>> connections;
  std::uint16_t port = 0;
  std::size_t open_exchanges = 0;
  bool stopping = false;
};

void ConnectionListener::state_changed(
    const restinio::connection_state::notice_t& notice) noexcept {
  const auto listening = this->core.lock();
  if (!listening) return;
  const auto cause = notice.cause();
  if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
    listening->Accepted(notice.connection_id());
  } else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
    listening->Closed(notice.connection_id());
  }
}

/// The handler's side of an exchange. Dropped without a response, it answers 500, so that the
/// caller does not wait for ever.
class ServerExchange : public Exchange {
 public:
  explicit ServerExchange(OpenExchangePointer open_exchange) : open(std::move(open_exchange)) {}

  ~ServerExchange() override {
    this->open->caller_gone_hook = nullptr;
    if (!this->open->request) return;
    Headers headers = {{"Firefly-Outcome", "unknown"}};
    this->Respond(
        MakeProblem(kInternalError, "no-response", "No response was made", "", std::move(headers)));
  }

  void Respond(Response response) override {
    if (const auto core = this->open->core.lock()) core->Respond(this->open, std::move(response));
  }

  void OnCallerGone(std::function<void()> hook) override {
    if (const auto core = this->open->core.lock()) core->SetHook(this->open, std::move(hook));
  }

 private:
  OpenExchangePointer open;
};

Request MakeRequest(const restinio::request_t& received) {
  Request request;
  const auto& header = received.header();
  request.method = header.method().c_str();
  request.target = header.request_target();
  request.headers.reserve(header.fields_count());
  header.for_each_field([&request](const restinio::http_header_field_t& field) {
    request.headers.push_back({field.name(), field.value()});
  });
  request.body = received.body();
  request.connection_id = received.connection_id();
  request.sequence = received.request_id();
  request.remote_address = received.remote_endpoint().address().to_string();
  return request;
}

/// The status for a request that http_parser, built without its strict checks, let pass; 0 for a
/// proper one.
int MalformedStatus(const restinio::request_t& received, Request& request) {
  RequestHead head;
  head.method = request.method;
  head.target = std::move(request.target);
  head.headers = std::move(request.headers);
  // RESTinio does not tell the version: only HTTP/1.0 closes without being asked to.
  const bool http_1_0 =
      !received.header().should_keep_alive() && !HasConnectionOption(head.headers, "close");
  const auto status = CheckParsedHead(head, http_1_0);
  request.target = std::move(head.target);
  request.headers = std::move(head.headers);
  return status.value_or(0);
}

template <typename Builder>
void SendHead(Builder& builder, Headers headers, bool close) {
  if (close) builder.connection_close();
  for (Header& header : headers) {
    if (IsConnectionHeader(header.name) || !IsValidHeader(header)) continue;
    builder.append_header(std::move(header.name), std::move(header.value));
  }
}

void Reject(const restinio::request_handle_t& request, int status) {
  Response rejection = MakeRejection(status);
  const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(status));
  auto builder = request->create_response(
      restinio::http_status_line_t(code, std::string(ReasonPhrase(status))));
  SendHead(builder, std::move(rejection.headers), true);
  builder.set_body(std::move(rejection.body));
  builder.done();
}

std::unique_ptr<RestinioServer> ServerCore::MakeServer() {
  using Settings = restinio::server_settings_t<ServerTraits>;
  SetParserLimit();
  const std::weak_ptr<ServerCore> weak = this->weak_from_this();
  Settings settings;
  settings.address(this->options.address)
      .port(this->options.port)
      .buffer_size(kReadBufferBytes)
      .read_next_http_message_timelimit(kReadTimeLimit)
      .write_http_response_timelimit(kWriteTimeLimit)
      .handle_request_timeout(kHandleTimeLimit)
      .max_pipelined_requests(kMaxPipelinedRequests)
      .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(kMaxUrlBytes)
                                    .max_field_name_size(kMaxHeaderNameBytes)
                                    .max_field_value_size(kMaxHeaderValueBytes)
                                    .max_field_count(kMaxServerHeaders)
                                    .max_body_size(this->options.max_body_bytes))
      .connection_state_listener(std::make_shared<ConnectionListener>(ConnectionListener{weak}))
      .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) {
        this->port = acceptor.local_endpoint().port();
      })
      .socket_options_setter([](auto& socket_options) {
        asio::error_code ignored;
        socket_options.set_option(asio::ip::tcp::no_delay(true), ignored);
      })
      .request_handler([weak](const restinio::request_handle_t& request) {
        if (const auto core = weak.lock()) core->Received(request);
        return restinio::request_accepted();
      });
  const std::size_t limit = this->options.max_connections;
  settings.max_parallel_connections(limit == 0 ? std::numeric_limits<std::size_t>::max() : limit);
  return std::make_unique<RestinioServer>(restinio::external_io_context(this->loop),
                                          std::move(settings));
}

void ServerCore::Accepted(restinio::connection_id_t id) {
  auto connection = std::make_shared<ServerConnection>();
  connection->socket = ServerSocket::Newest();
  const std::weak_ptr<ServerConnection> weak = connection;
  connection->socket->Attach(this->shared_from_this(), [weak](int status) {
    const auto rejected = weak.lock();
    // An earlier request's response is still due: the caller would take this one for it.
    if (!rejected || !rejected->exchanges.empty()) return std::string();
    return RejectionText(status);
  });
  this->connections.emplace(id, std::move(connection));
}

void ServerCore::Closed(restinio::connection_id_t id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  const auto connection = found->second;
  this->connections.erase(found);
  this->open_exchanges -= connection->exchanges.size();
  for (const OpenExchangePointer& exchange : std::exchange(connection->exchanges, {})) {
    if (!exchange->request) continue;
    exchange->request.reset();
    exchange->caller_gone = true;
    this->PostHook(exchange);
  }
}

void ServerCore::Received(const restinio::request_handle_t& request) {
  const auto found = this->connections.find(request->connection_id());
  if (found == this->connections.end()) return;
  Request parsed = MakeRequest(*request);
  if (const int status = MalformedStatus(*request, parsed)) return Reject(request, status);
  auto exchange = std::make_shared<OpenExchange>();
  exchange->core = this->weak_from_this();
  exchange->connection_id = request->connection_id();
  exchange->request = request;
  found->second->exchanges.push_back(exchange);
  ++this->open_exchanges;
  this->handler(std::move(parsed), std::make_shared<ServerExchange>(std::move(exchange)));
}

void ServerCore::Respond(const OpenExchangePointer& exchange, Response response) {
  if (!exchange->request) return;
  const auto request = std::exchange(exchange->request, nullptr);
  exchange->caller_gone_hook = nullptr;
  const auto code = restinio::http_status_code_t(static_cast<std::uint16_t>(response.status));
  const restinio::http_status_line_t status_line(code, std::string(ReasonPhrase(response.status)));
  const auto written = [weak = this->weak_from_this(), exchange](const asio::error_code&) {
    if (const auto core = weak.lock()) core->Written(exchange);
  };
  const bool has_no_body = response.status == kNoContent || response.status == kNotModified ||
                           request->header().method() == restinio::http_method_head();
  if (has_no_body) {
    auto builder = request->create_response<restinio::user_controlled_output_t>(status_line);
    SendHead(builder, std::move(response.headers), this->stopping);
    builder.done(written);
    return;
  }
  auto builder = request->create_response(status_line);
  SendHead(builder, std::move(response.headers), this->stopping);
  builder.set_body(std::move(response.body));
  builder.done(written);
}

void ServerCore::SetHook(const OpenExchangePointer& exchange, std::function<void()> hook) {
  if (!exchange->request && !exchange->caller_gone) return;
  exchange->caller_gone_hook = std::move(hook);
  if (exchange->caller_gone) this->PostHook(exchange);
}

void ServerCore::PostHook(const OpenExchangePointer& exchange) const {
  asio::post(this->loop, [exchange] {
    if (const auto hook = std::exchange(exchange->caller_gone_hook, nullptr)) hook();
  });
}

void ServerCore::Written(const OpenExchangePointer& exchange) {
  const auto found = this->connections.find(exchange->connection_id);
  if (found == this->connections.end()) return;
  this->open_exchanges -= std::erase(found->second->exchanges, exchange);
}

void ServerCore::StopAccepting() {
  this->stopping = true;
  if (this->server) this->server->close_sync();
}

void ServerCore::CloseConnection(restinio::connection_id_t id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) return;
  asio::error_code ignored;
  found->second->socket->close(ignored);
  this->Closed(id);
}

void ServerCore::Close() {
  this->StopAccepting();
  this->open_exchanges = 0;
  for (const auto& [id, connection] : std::exchange(this->connections, {})) {
    for (const OpenExchangePointer& exchange : std::exchange(connection->exchanges, {})) {
      exchange->request.reset();
      exchange->caller_gone_hook = nullptr;
    }
    asio::error_code ignored;
    connection->socket->close(ignored);
  }
}

}  // namespace

class Server::Implementation {
 public:
  Implementation(asio::io_context& loop, ServerOptions options, Handler handler)
      : core(std::make_shared<ServerCore>(loop, std::move(options), std::move(handler))) {}

  std::shared_ptr<ServerCore> core;
};

Server::Server(asio::io_context& loop, ServerOptions options, Handler handler)
    : implementation(
          std::make_unique<Implementation>(loop, std::move(options), std::move(handler))) {}

Server::~Server() { this->Close(); }

tl::expected<void, std::string> Server::Start() {
  ServerCore& core = *this->implementation->core;
  try {
    core.server = core.MakeServer();
    core.server->open_sync();
  } catch (const std::exception& error) {
    return tl::make_unexpected("cannot listen on " + core.options.address + ":" +
                               std::to_string(core.options.port) + ": " + error.what());
  }
  return {};
}

std::uint16_t Server::Port() const { return this->implementation->core->port; }

void Server::StopAccepting() { this->implementation->core->StopAccepting(); }

void Server::CloseConnection(std::uint64_t connection_id) {
  this->implementation->core->CloseConnection(connection_id);
}

std::size_t Server::OpenExchanges() const { return this->implementation->core->open_exchanges; }

void Server::Close() { this->implementation->core->Close(); }

}  // namespace fireflyrun::http
