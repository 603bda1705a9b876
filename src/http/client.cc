#include "http/client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/transfer.h"

namespace fireflyrun::http {
namespace {

constexpr std::size_t kMaxPooledHandles = 64;

/// One connection's socket. libcurl owns the file descriptor; it stays registered with the event
/// loop from its first use until libcurl closes it.
struct ClientSocket {
  ClientSocket(asio::io_context& loop, curl_socket_t file) : descriptor(loop, file) {}

  asio::posix::stream_descriptor descriptor;
  bool wants_read = false;
  bool wants_write = false;
  bool waits_read = false;
  bool waits_write = false;
  bool closed = false;
};

/// 0 when the socket has none.
int LocalPortOf(curl_socket_t file) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  const int failed = getsockname(file, reinterpret_cast<sockaddr*>(&address), &size);
  return failed == 0 && address.sin_family == AF_INET ? ntohs(address.sin_port) : 0;
}

void InitializeCurl() {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialized;
}

}  // namespace

class Client::Implementation {
 public:
  Implementation(asio::io_context& event_loop, std::size_t max_idle_connections);
  ~Implementation();
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  RequestId Start(ClientRequest request, ChunkHandler on_chunk, Handler handler);
  void Cancel(RequestId id);

 private:
  using SocketPointer = std::shared_ptr<ClientSocket>;
  using TransferPointer = std::shared_ptr<Transfer>;

  static int OnSocketChange(CURL*, curl_socket_t file, int what, void* client, void*);
  static int OnTimerChange(CURLM*, long milliseconds, void* client);
  static int OnCloseSocket(void* client, curl_socket_t file);

  void WatchSocket(curl_socket_t file, int what);
  void CloseSocket(curl_socket_t file);
  void ArmSocket(const SocketPointer& socket);
  void ArmRead(const SocketPointer& socket);
  void ArmWrite(const SocketPointer& socket);
  void SetTimer(long milliseconds);
  void Act(curl_socket_t file, int events);
  bool DeliverChunks(const std::weak_ptr<bool>& guard);
  void DeliverEnds(const std::weak_ptr<bool>& guard);
  void PostResult(Handler handler, ClientError error);
  void Recycle(Transfer& transfer);
  void StartAnew(Transfer& transfer);
  /// libcurl looks for bytes on a kept connection only when it was idle for a second.
  bool HasUnreadBytes(int local_port) const;
  Transfer::EasyHandle TakeHandle();

  asio::io_context& loop;
  asio::steady_timer timer;
  std::uint64_t timer_generation = 0;
  CURLM* multi;
  RequestId last_id = 0;
  std::unordered_map<RequestId, TransferPointer> transfers;
  std::unordered_map<curl_socket_t, SocketPointer> sockets;
  std::vector<Transfer::EasyHandle> idle_handles;
  std::size_t streams = 0;
  /// Expires with the client; whatever is queued on the loop checks it first.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

Client::Implementation::Implementation(asio::io_context& event_loop,
                                       std::size_t max_idle_connections)
    : loop(event_loop), timer(event_loop) {
  InitializeCurl();
  this->multi = curl_multi_init();
  const auto connections = static_cast<long>(std::max<std::size_t>(max_idle_connections, 1));
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, connections);
  curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Implementation::OnSocketChange);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Implementation::OnTimerChange);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
}

Client::Implementation::~Implementation() {
  this->alive.reset();
  for (const auto& [id, transfer] : this->transfers) {
    curl_multi_remove_handle(this->multi, transfer->Easy());
  }
  this->transfers.clear();
  this->idle_handles.clear();
  // Closes the kept connections, through OnCloseSocket().
  curl_multi_cleanup(this->multi);
}

Client::RequestId Client::Implementation::Start(ClientRequest request, ChunkHandler on_chunk,
                                                Handler handler) {
  const RequestId id = ++this->last_id;
  auto transfer = std::make_shared<Transfer>(
      id, std::move(request), std::move(handler), std::move(on_chunk),
      [this](int local_port) { return this->HasUnreadBytes(local_port); });
  if (auto prepared = transfer->Prepare(this->TakeHandle()); !prepared) {
    this->PostResult(transfer->TakeHandler(), std::move(prepared.error()));
    return id;
  }
  if (transfer->Streams()) ++this->streams;
  CURL* easy = transfer->Easy();
  this->transfers.emplace(id, std::move(transfer));
  curl_multi_add_handle(this->multi, easy);
  return id;
}

void Client::Implementation::Cancel(RequestId id) {
  const auto found = this->transfers.find(id);
  if (found == this->transfers.end()) return;
  const TransferPointer transfer = found->second;
  this->transfers.erase(found);
  this->Recycle(*transfer);
  this->PostResult(transfer->TakeHandler(), {ClientErrorKind::kCancelled, "cancelled"});
}

void Client::Implementation::PostResult(Handler handler, ClientError error) {
  asio::post(this->loop, [guard = std::weak_ptr<bool>(this->alive), handler = std::move(handler),
                          error = std::move(error)]() mutable {
    if (!guard.expired()) handler(tl::make_unexpected(std::move(error)));
  });
}

Transfer::EasyHandle Client::Implementation::TakeHandle() {
  if (!this->idle_handles.empty()) {
    Transfer::EasyHandle handle = std::move(this->idle_handles.back());
    this->idle_handles.pop_back();
    return handle;
  }
  Transfer::EasyHandle handle = Transfer::MakeHandle();
  curl_easy_setopt(handle.get(), CURLOPT_CLOSESOCKETFUNCTION, &Implementation::OnCloseSocket);
  curl_easy_setopt(handle.get(), CURLOPT_CLOSESOCKETDATA, this);
  return handle;
}

void Client::Implementation::Recycle(Transfer& transfer) {
  if (transfer.Streams()) --this->streams;
  curl_multi_remove_handle(this->multi, transfer.Easy());
  Transfer::EasyHandle handle = transfer.ReleaseHandle();
  if (this->idle_handles.size() < kMaxPooledHandles) {
    this->idle_handles.push_back(std::move(handle));
  }
}

void Client::Implementation::StartAnew(Transfer& transfer) {
  curl_multi_remove_handle(this->multi, transfer.Easy());
  transfer.PrepareForNewConnection();
  curl_multi_add_handle(this->multi, transfer.Easy());
}

bool Client::Implementation::HasUnreadBytes(int local_port) const {
  return std::any_of(this->sockets.begin(), this->sockets.end(), [local_port](const auto& entry) {
    const curl_socket_t file = entry.first;
    char byte = 0;
    return LocalPortOf(file) == local_port && recv(file, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  });
}

int Client::Implementation::OnSocketChange(CURL*, curl_socket_t file, int what, void* client,
                                           void*) {
  static_cast<Implementation*>(client)->WatchSocket(file, what);
  return 0;
}

int Client::Implementation::OnTimerChange(CURLM*, long milliseconds, void* client) {
  static_cast<Implementation*>(client)->SetTimer(milliseconds);
  return 0;
}

int Client::Implementation::OnCloseSocket(void* client, curl_socket_t file) {
  static_cast<Implementation*>(client)->CloseSocket(file);
  return 0;
}

void Client::Implementation::WatchSocket(curl_socket_t file, int what) {
  auto found = this->sockets.find(file);
  if (found == this->sockets.end()) {
    if (what == CURL_POLL_REMOVE) return;
    found = this->sockets.emplace(file, std::make_shared<ClientSocket>(this->loop, file)).first;
  }
  const SocketPointer& socket = found->second;
  socket->wants_read = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
  socket->wants_write = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
  this->ArmSocket(socket);
}

void Client::Implementation::CloseSocket(curl_socket_t file) {
  const auto found = this->sockets.find(file);
  if (found != this->sockets.end()) {
    found->second->closed = true;
    found->second->descriptor.release();
    this->sockets.erase(found);
  }
  ::close(file);
}

void Client::Implementation::ArmSocket(const SocketPointer& socket) {
  if (socket->closed) return;
  if (socket->wants_read && !socket->waits_read) this->ArmRead(socket);
  if (socket->wants_write && !socket->waits_write) this->ArmWrite(socket);
}

void Client::Implementation::ArmRead(const SocketPointer& socket) {
  socket->waits_read = true;
  socket->descriptor.async_wait(
      asio::posix::descriptor_base::wait_read,
      [this, socket, guard = std::weak_ptr<bool>(this->alive)](const asio::error_code& error) {
        socket->waits_read = false;
        if (error || guard.expired() || socket->closed || !socket->wants_read) return;
        this->Act(socket->descriptor.native_handle(), CURL_CSELECT_IN);
        if (!guard.expired()) this->ArmSocket(socket);
      });
}

void Client::Implementation::ArmWrite(const SocketPointer& socket) {
  socket->waits_write = true;
  socket->descriptor.async_wait(
      asio::posix::descriptor_base::wait_write,
      [this, socket, guard = std::weak_ptr<bool>(this->alive)](const asio::error_code& error) {
        socket->waits_write = false;
        if (error || guard.expired() || socket->closed || !socket->wants_write) return;
        this->Act(socket->descriptor.native_handle(), CURL_CSELECT_OUT);
        if (!guard.expired()) this->ArmSocket(socket);
      });
}

void Client::Implementation::SetTimer(long milliseconds) {
  const std::uint64_t generation = ++this->timer_generation;
  if (milliseconds < 0) {
    this->timer.cancel();
    return;
  }
  auto expire = [this, generation, guard = std::weak_ptr<bool>(this->alive)] {
    if (guard.expired() || generation != this->timer_generation) return;
    this->Act(CURL_SOCKET_TIMEOUT, 0);
  };
  if (milliseconds == 0) {
    asio::post(this->loop, std::move(expire));
    return;
  }
  this->timer.expires_after(std::chrono::milliseconds(milliseconds));
  this->timer.async_wait([expire = std::move(expire)](const asio::error_code& error) {
    if (!error) expire();
  });
}

void Client::Implementation::Act(curl_socket_t file, int events) {
  const std::weak_ptr<bool> guard = this->alive;
  int running = 0;
  curl_multi_socket_action(this->multi, file, events, &running);
  if (this->streams > 0 && !this->DeliverChunks(guard)) return;
  this->DeliverEnds(guard);
}

/// Returns false when a handler destroyed the client.
bool Client::Implementation::DeliverChunks(const std::weak_ptr<bool>& guard) {
  std::vector<TransferPointer> ready;
  for (const auto& [id, transfer] : this->transfers) {
    if (transfer->HasChunk()) ready.push_back(transfer);
  }
  for (const TransferPointer& transfer : ready) {
    if (!this->transfers.contains(transfer->Id())) continue;
    transfer->DeliverChunk();
    if (guard.expired()) return false;
  }
  return true;
}

void Client::Implementation::DeliverEnds(const std::weak_ptr<bool>& guard) {
  int queued = 0;
  while (const CURLMsg* message = curl_multi_info_read(this->multi, &queued)) {
    if (message->msg != CURLMSG_DONE) continue;
    // Copied: the message is gone once its handle is removed.
    const CURLcode code = message->data.result;
    Transfer* ended = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &ended);
    const auto found = this->transfers.find(ended->Id());
    const TransferPointer transfer = found->second;
    if (transfer->NeedsNewConnection()) {
      this->StartAnew(*transfer);
      continue;
    }
    this->transfers.erase(found);
    auto result = transfer->Finish(code);
    this->Recycle(*transfer);
    const Handler handler = transfer->TakeHandler();
    handler(std::move(result));
    if (guard.expired()) return;
  }
}

Client::Client(asio::io_context& loop, std::size_t max_idle_connections)
    : implementation(std::make_unique<Implementation>(loop, max_idle_connections)) {}

Client::~Client() = default;

Client::RequestId Client::Send(ClientRequest request, Handler handler) {
  return this->implementation->Start(std::move(request), nullptr, std::move(handler));
}

Client::RequestId Client::Stream(ClientRequest request, ChunkHandler on_chunk, Handler on_end) {
  return this->implementation->Start(std::move(request), std::move(on_chunk), std::move(on_end));
}

void Client::Cancel(RequestId id) { this->implementation->Cancel(id); }

}  // namespace fireflyrun::http
