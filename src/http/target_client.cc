#include "http/target_client.h"

#include <algorithm>
#include <asio/post.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/timer_service.h"
#include "http/status.h"
#include "http/target_address.h"
#include "http/target_connection.h"
#include "http/target_exchange.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{32} << 10;
/// After so many full buffers in a row, other connections have their turn.
constexpr int kMaxReadsInARow = 8;
/// Deadlines that lie closer together are served by one wake-up.
constexpr Duration kWakeStep = std::chrono::milliseconds(2);
constexpr const char* kNoTimeLeft = "no time is left";

}  // namespace

class TargetClient::Implementation {
 public:
  Implementation(TimerService& timer_service, TargetClientOptions client_options);
  ~Implementation();
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  RequestId Send(TargetRequest request, Handler handler);
  void Cancel(RequestId id);
  bool CancelUnsent(RequestId id);
  void SetMaxConnections(std::size_t max_connections);
  std::size_t HeldBytes() const { return this->held_bytes; }

  TargetClientCounters counters;

 private:
  using Result = tl::expected<Response, ClientError>;
  enum class WriteOutcome { kGoesOn, kNothingSent };
  enum class ConnectionEnd { kKeep, kClose, kAbort };

  TargetAddress& AddressOf(const std::string& text);

  void Start(TargetExchange& exchange);
  bool StartOnIdle(TargetExchange& exchange);
  void StartOnNew(TargetExchange& exchange);
  void StartWaiting(TargetAddress& address);
  WriteOutcome Write(TargetConnection& connection);
  bool WriteOn(TargetConnection& connection);

  void OnConnected(TargetConnection& connection, const asio::error_code& error);
  void OnReadable(TargetConnection& connection);
  void OnWritable(TargetConnection& connection);
  bool ReadOnce(TargetConnection& connection);
  void CountHeld(std::size_t before, std::size_t after);
  bool GiveWay(const TargetConnection& reading);
  void OnIdleEnd(TargetConnection& connection);

  void Detach(TargetExchange& exchange, ConnectionEnd end);
  void Succeed(TargetExchange& exchange);
  void Fail(TargetExchange& exchange, ClientError error);
  void FailFromLoop(TargetExchange& exchange, std::string message);
  void End(TargetExchange& exchange, Result result);

  void WakeAt(SteadyTime time);
  void Wake();
  void SweepIdle(SteadyTime now);
  bool ExpireExchanges(SteadyTime now);
  void PlanNextWake(SteadyTime now);

  TimerService& timers;
  TargetClientOptions options;
  std::shared_ptr<const TargetConnection::Hooks> hooks;
  std::unordered_map<std::string, TargetAddress> addresses;
  std::unordered_map<RequestId, std::unique_ptr<TargetExchange>> exchanges;
  RequestId last_id = 0;
  std::size_t held_bytes = 0;         ///< Of answers in progress.
  policy::HeldBytesShare held_share;  ///< The same.
  TimerSubscription timer;
  SteadyTime next_wake = SteadyTime::max();
  std::vector<char> read_buffer;
  /// Expires with the client; whatever is queued on the loop checks it first.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

TargetClient::Implementation::Implementation(TimerService& timer_service,
                                             TargetClientOptions client_options)
    : timers(timer_service),
      options(std::move(client_options)),
      held_share(this->options.held_bytes, policy::MessageKind::kAnswer),
      read_buffer(kReadBufferBytes) {
  TargetConnection::Hooks made;
  made.on_connected = [this](TargetConnection& connection, const asio::error_code& error) {
    this->OnConnected(connection, error);
  };
  made.on_readable = [this](TargetConnection& connection) { this->OnReadable(connection); };
  made.on_writable = [this](TargetConnection& connection) { this->OnWritable(connection); };
  this->hooks = std::make_shared<const TargetConnection::Hooks>(std::move(made));
}

TargetClient::Implementation::~Implementation() {
  this->alive.reset();
  for (const auto& [id, exchange] : this->exchanges) {
    if (exchange->connection) exchange->connection->Abort();
  }
  for (auto& [text, address] : this->addresses) address.CloseAll();
}

TargetClient::RequestId TargetClient::Implementation::Send(TargetRequest request, Handler handler) {
  const RequestId id = ++this->last_id;
  auto checked = TargetExchange::Check(request);
  auto made = std::make_unique<TargetExchange>(id, std::move(request), std::move(handler));
  TargetExchange& exchange = *this->exchanges.emplace(id, std::move(made)).first->second;
  if (!checked) {
    this->FailFromLoop(exchange, std::move(checked.error().message));
    return id;
  }
  this->WakeAt(exchange.Request().deadline);
  exchange.address = &this->AddressOf(exchange.Request().address);
  this->Start(exchange);
  return id;
}

void TargetClient::Implementation::Cancel(RequestId id) {
  const auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) return;
  this->Detach(*found->second, ConnectionEnd::kAbort);
  const auto ended = std::move(found->second);
  this->exchanges.erase(found);
  if (ended->address != nullptr) this->StartWaiting(*ended->address);
}

bool TargetClient::Implementation::CancelUnsent(RequestId id) {
  const auto found = this->exchanges.find(id);
  if (found == this->exchanges.end() || !found->second->NothingWritten()) return false;
  this->Cancel(id);
  return true;
}

void TargetClient::Implementation::SetMaxConnections(std::size_t max_connections) {
  this->options.max_connections = max_connections;
  for (auto& [text, address] : this->addresses) {
    address.ApplyLimits();
    this->StartWaiting(address);
  }
}

TargetAddress& TargetClient::Implementation::AddressOf(const std::string& text) {
  return this->addresses.try_emplace(text, text, this->options, this->counters).first->second;
}

void TargetClient::Implementation::Start(TargetExchange& exchange) {
  TargetAddress& address = *exchange.address;
  if (address.waiting.empty() && this->StartOnIdle(exchange)) return;
  if (!address.waiting.empty() || !address.MakeRoom()) {
    address.waiting.push_back(&exchange);
    return;
  }
  this->StartOnNew(exchange);
}

/// Tries the idle connections until one takes the request's first byte. Also ends a request for
/// which no time is left; returns false if the request still needs a connection.
bool TargetClient::Implementation::StartOnIdle(TargetExchange& exchange) {
  TargetAddress& address = *exchange.address;
  if (!exchange.PrepareToWrite()) {
    this->FailFromLoop(exchange, kNoTimeLeft);
    return true;
  }
  exchange.Reader().SetConnectionReused(true);
  while (auto connection = address.TakeIdle(exchange.Request())) {
    exchange.connection = connection;
    connection->exchange = &exchange;
    if (this->Write(*connection) == WriteOutcome::kGoesOn) {
      ++this->counters.connections_reused;
      return true;
    }
    ++this->counters.connections_found_dead;
    this->Detach(exchange, ConnectionEnd::kAbort);
  }
  return false;
}

void TargetClient::Implementation::StartOnNew(TargetExchange& exchange) {
  TargetAddress& address = *exchange.address;
  exchange.Reader().SetConnectionReused(false);
  auto connection = std::make_shared<TargetConnection>(this->timers.Loop(), address, this->hooks);
  if (const auto error = connection->Connect(this->options.unacknowledged_limit)) {
    this->FailFromLoop(exchange, error.message());
    return;
  }
  address.CountOpened();
  connection->exchange = &exchange;
  exchange.connection = std::move(connection);
  exchange.connect_deadline = SteadyClock::now() + this->options.connect_timeout;
  this->WakeAt(exchange.connect_deadline);
}

/// Starts requests that wait, in order, as far as there are connections for them.
void TargetClient::Implementation::StartWaiting(TargetAddress& address) {
  while (!address.waiting.empty()) {
    TargetExchange& exchange = *address.waiting.front();
    if (!this->StartOnIdle(exchange)) {
      if (!address.MakeRoom()) return;
      this->StartOnNew(exchange);
    }
    address.waiting.pop_front();
  }
}

TargetClient::Implementation::WriteOutcome TargetClient::Implementation::Write(
    TargetConnection& connection) {
  TargetExchange& exchange = *connection.exchange;
  while (exchange.MayWrite()) {
    asio::error_code error;
    exchange.CountWritten(connection.Write(exchange.Unwritten(), error));
    if (error == asio::error::would_block) {
      connection.WatchWrites();
      return WriteOutcome::kGoesOn;
    }
    if (!error) continue;
    if (exchange.NothingWritten()) return WriteOutcome::kNothingSent;
    // The target may have answered before it closed; the read side tells.
    exchange.StopWriting();
  }
  return WriteOutcome::kGoesOn;
}

/// Writes on from the loop; false when that ended the request.
bool TargetClient::Implementation::WriteOn(TargetConnection& connection) {
  if (this->Write(connection) == WriteOutcome::kGoesOn) return true;
  this->Fail(
      *connection.exchange,
      ClientError{ClientErrorKind::kNotSent, "the connection closed before the request was sent"});
  return false;
}

void TargetClient::Implementation::OnConnected(TargetConnection& connection,
                                               const asio::error_code& error) {
  TargetExchange& exchange = *connection.exchange;
  exchange.connect_deadline = SteadyTime::max();
  if (error) {
    this->Fail(exchange, ClientError{ClientErrorKind::kNotSent, error.message()});
    return;
  }
  ++this->counters.connections_opened;
  if (!exchange.PrepareToWrite()) {
    this->Fail(exchange, ClientError{ClientErrorKind::kNotSent, kNoTimeLeft});
    return;
  }
  if (!connection.IsQuiet()) {
    this->Fail(exchange, ClientError{ClientErrorKind::kNotSent,
                                     "the target sent or closed before a request"});
    return;
  }
  connection.WatchReads();
  this->WriteOn(connection);
}

void TargetClient::Implementation::OnReadable(TargetConnection& connection) {
  if (connection.exchange == nullptr) {
    this->OnIdleEnd(connection);
    return;
  }
  for (int reads = 0; reads < kMaxReadsInARow; ++reads) {
    if (!this->ReadOnce(connection)) return;
  }
}

void TargetClient::Implementation::OnWritable(TargetConnection& connection) {
  if (connection.exchange != nullptr) this->WriteOn(connection);
}

/// Reads once; false when there is nothing more to do now, and possibly no client any more.
bool TargetClient::Implementation::ReadOnce(TargetConnection& connection) {
  TargetExchange& exchange = *connection.exchange;
  asio::error_code error;
  const std::size_t size = connection.Read(asio::buffer(this->read_buffer), error);
  if (error == asio::error::would_block) return false;
  // A failed write takes the socket's error with it, so a reset reads as a clean end from then on.
  // Whatever ends before it was sent the whole request breaks off.
  const bool reset = error && (error != asio::error::eof || !exchange.FullyWritten());
  if (reset) {
    this->Fail(exchange, ClientError{ClientErrorKind::kConnectionLost, error.message()});
    return false;
  }
  exchange.Reader().SetRequestSent(exchange.FullyWritten());
  const std::size_t strays = exchange.Reader().StrayAnswers();
  const std::size_t held = exchange.Reader().HeldBytes();
  auto complete = error ? exchange.Reader().ConsumeEnd()
                        : exchange.Reader().Consume({this->read_buffer.data(), size});
  this->counters.stray_answers_skipped += exchange.Reader().StrayAnswers() - strays;
  this->CountHeld(held, exchange.Reader().HeldBytes());
  if (!complete) {
    this->Fail(exchange, std::move(complete.error()));
    return false;
  }
  if (*complete) {
    this->Succeed(exchange);
    return false;
  }
  if (!this->GiveWay(connection)) return false;
  return this->WriteOn(connection) && size == this->read_buffer.size();
}

void TargetClient::Implementation::CountHeld(std::size_t before, std::size_t after) {
  this->held_bytes += after - before;
  this->held_share.Set(this->held_bytes);
}

/// Fails the largest answer if too much is held. Returns false if that ended the request that
/// `reading` serves, which its handler may cancel, or the client.
bool TargetClient::Implementation::GiveWay(const TargetConnection& reading) {
  constexpr policy::MessageKind kAnswer = policy::MessageKind::kAnswer;
  const policy::HeldBytes& counted = *this->options.held_bytes;
  if (!counted.Exceeded(kAnswer)) return true;
  const auto largest = std::max_element(
      this->exchanges.begin(), this->exchanges.end(), [](const auto& one, const auto& other) {
        return one.second->Reader().HeldBytes() < other.second->Reader().HeldBytes();
      });
  if (!counted.MustGiveWay(kAnswer, largest->second->Reader().HeldBytes())) return true;
  const std::weak_ptr<bool> guard = this->alive;
  this->Fail(*largest->second, ClientError{ClientErrorKind::kTooLarge,
                                           "the answers in progress are too large together"});
  return !guard.expired() && reading.exchange != nullptr;
}

void TargetClient::Implementation::OnIdleEnd(TargetConnection& connection) {
  TargetAddress& address = connection.Address();
  address.CloseDead(connection.shared_from_this());
  this->StartWaiting(address);
}

/// Parts the request from its connection, or from the others that wait.
void TargetClient::Implementation::Detach(TargetExchange& exchange, ConnectionEnd end) {
  if (exchange.address == nullptr) return;
  TargetAddress& address = *exchange.address;
  const auto connection = std::exchange(exchange.connection, nullptr);
  if (!connection) {
    std::erase(address.waiting, &exchange);
    return;
  }
  connection->exchange = nullptr;
  this->CountHeld(exchange.Reader().HeldBytes(), 0);
  if (end == ConnectionEnd::kKeep) {
    this->WakeAt(address.KeepIdle(connection, exchange.Reader().KeepAliveTimeout()));
    return;
  }
  address.CountClosed();
  if (end == ConnectionEnd::kAbort) {
    connection->Abort();
  } else {
    connection->Close();
  }
}

void TargetClient::Implementation::Succeed(TargetExchange& exchange) {
  TargetConnection& connection = *exchange.connection;
  const bool failed = IsError(exchange.Reader().Status());
  if (failed) connection.AddFailure(exchange.Request().echo_header.value);
  const bool stays = exchange.Reader().ConnectionStaysUsable() && connection.MayFailAgain();
  const ConnectionEnd end = stays ? ConnectionEnd::kKeep : ConnectionEnd::kClose;
  // The target still expects the rest of a body that was not written in full.
  this->Detach(exchange, exchange.FullyWritten() ? end : ConnectionEnd::kAbort);
  this->End(exchange, exchange.Reader().TakeResponse());
}

void TargetClient::Implementation::Fail(TargetExchange& exchange, ClientError error) {
  if (exchange.NothingWritten()) error.kind = ClientErrorKind::kNotSent;
  this->Detach(exchange, ConnectionEnd::kAbort);
  this->End(exchange, tl::make_unexpected(std::move(error)));
}

/// Fails a request later, where its handler must not run yet.
void TargetClient::Implementation::FailFromLoop(TargetExchange& exchange, std::string message) {
  exchange.address = nullptr;  // It may be forgotten until then.
  asio::post(this->timers.Loop(), [this, guard = std::weak_ptr<bool>(this->alive),
                                   id = exchange.Id(), message = std::move(message)]() mutable {
    if (guard.expired()) return;
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) return;
    this->Fail(*found->second, ClientError{ClientErrorKind::kNotSent, std::move(message)});
  });
}

/// Calls the handler last, as it may destroy the client.
void TargetClient::Implementation::End(TargetExchange& exchange, Result result) {
  const auto node = this->exchanges.extract(exchange.Id());
  if (exchange.address != nullptr) this->StartWaiting(*exchange.address);
  const Handler handler = exchange.TakeHandler();
  handler(std::move(result));
}

/// One timer serves all requests and connections. It is only ever moved forward here: a time that
/// has lost its reason costs one early wake-up, less than a timer for each request.
void TargetClient::Implementation::WakeAt(SteadyTime time) {
  if (time >= this->next_wake) return;
  this->next_wake = time;
  const Duration delay = std::max(time - SteadyClock::now(), Duration::zero());
  this->timer = this->timers.After(delay, [this] { this->Wake(); });
}

void TargetClient::Implementation::Wake() {
  const SteadyTime now = SteadyClock::now();
  this->next_wake = SteadyTime::max();
  this->SweepIdle(now);
  if (this->ExpireExchanges(now)) this->PlanNextWake(now);
}

void TargetClient::Implementation::SweepIdle(SteadyTime now) {
  for (auto entry = this->addresses.begin(); entry != this->addresses.end();) {
    entry->second.CloseExpired(now);
    entry = entry->second.Unused() ? this->addresses.erase(entry) : std::next(entry);
  }
}

/// Returns false when a handler destroyed the client.
bool TargetClient::Implementation::ExpireExchanges(SteadyTime now) {
  std::vector<RequestId> expired;
  for (const auto& [id, exchange] : this->exchanges) {
    if (now >= std::min(exchange->Request().deadline, exchange->connect_deadline)) {
      expired.push_back(id);
    }
  }
  const std::weak_ptr<bool> guard = this->alive;
  for (const RequestId id : expired) {
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) continue;
    this->Fail(*found->second, ClientError{ClientErrorKind::kTimedOut, "the time ran out"});
    if (guard.expired()) return false;
  }
  return true;
}

void TargetClient::Implementation::PlanNextWake(SteadyTime now) {
  SteadyTime earliest = SteadyTime::max();
  for (const auto& [id, exchange] : this->exchanges) {
    earliest = std::min({earliest, exchange->Request().deadline, exchange->connect_deadline});
  }
  for (const auto& [text, address] : this->addresses) {
    earliest = std::min(earliest, address.NextExpiry());
  }
  if (earliest != SteadyTime::max()) this->WakeAt(std::max(earliest, now + kWakeStep));
}

TargetClient::TargetClient(TimerService& timers, TargetClientOptions options)
    : implementation(std::make_unique<Implementation>(timers, std::move(options))) {}

TargetClient::~TargetClient() = default;

TargetClient::RequestId TargetClient::Send(TargetRequest request, Handler handler) {
  return this->implementation->Send(std::move(request), std::move(handler));
}

void TargetClient::Cancel(RequestId id) { this->implementation->Cancel(id); }

bool TargetClient::CancelUnsent(RequestId id) { return this->implementation->CancelUnsent(id); }

void TargetClient::SetMaxConnections(std::size_t max_connections) {
  this->implementation->SetMaxConnections(max_connections);
}

std::size_t TargetClient::HeldBytes() const { return this->implementation->HeldBytes(); }

const TargetClientCounters& TargetClient::Counters() const {
  return this->implementation->counters;
}

}  // namespace fireflyrun::http
