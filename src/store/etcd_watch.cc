#include "store/etcd_watch.h"

#include <utility>

#include "common/timer_service.h"
#include "store/etcd_codec.h"
#include "store/etcd_endpoints.h"
#include "store/watch_message.h"

namespace fireflyrun::store {
namespace {

constexpr std::size_t kMaxLineBytes = std::size_t{16} << 20;
constexpr Duration kReopenDelay = std::chrono::milliseconds(100);

}  // namespace

EtcdWatch::EtcdWatch(http::Client& http_client, TimerService& timer_service,
                     std::shared_ptr<EtcdEndpoints> store_endpoints, Duration silence)
    : client(http_client),
      timers(timer_service),
      endpoints(std::move(store_endpoints)),
      silence_limit(silence) {}

EtcdWatch::~EtcdWatch() = default;

void EtcdWatch::Start(std::string watched_prefix, Revision first_revision, ChangesHook changes_hook,
                      EndHook end_hook) {
  this->prefix = std::move(watched_prefix);
  this->next_revision = first_revision;
  this->on_changes = std::move(changes_hook);
  this->on_end = std::move(end_hook);
  this->OpenStream();
}

void EtcdWatch::Stop() {
  if (this->stopped) return;
  this->stopped = true;
  this->CloseStream();
}

void EtcdWatch::OpenStream() {
  const std::uint64_t stream_generation = ++this->generation;
  this->received_message = false;
  this->buffer.clear();
  this->url = this->endpoints->Url("/v3/watch");
  http::ClientRequest request;
  request.method = "POST";
  request.url = this->url;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = etcd::EncodeWatch(this->prefix, this->next_revision);
  request.timeout = Duration::zero();
  request.fresh_connection = true;
  const std::weak_ptr<EtcdWatch> weak = this->weak_from_this();
  const auto current = [weak, stream_generation]() -> std::shared_ptr<EtcdWatch> {
    auto self = weak.lock();
    return self && !self->stopped && self->generation == stream_generation ? self : nullptr;
  };
  this->stream = this->client.Stream(
      std::move(request),
      [current](std::string_view chunk) {
        if (const auto self = current()) self->OnChunk(chunk);
      },
      [current](tl::expected<http::Response, http::ClientError> result) {
        if (const auto self = current()) self->OnStreamEnd(std::move(result));
      });
  this->ArmSilenceTimer();
}

void EtcdWatch::CloseStream() {
  ++this->generation;
  this->silence_timer.Reset();
  this->client.Cancel(std::exchange(this->stream, 0));
}

void EtcdWatch::ArmSilenceTimer() {
  this->silence_timer = this->timers.After(this->silence_limit, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) self->OnSilence();
  });
}

void EtcdWatch::OnSilence() {
  this->Reopen(
      {StoreErrorKind::kUnknown, "the watch received no message within the silence limit"});
}

void EtcdWatch::OnChunk(std::string_view chunk) {
  this->failed_connects = 0;
  this->ArmSilenceTimer();
  this->buffer += chunk;
  const std::uint64_t stream_generation = this->generation;
  std::size_t start = 0;
  for (std::size_t end = 0; (end = this->buffer.find('\n', start)) != std::string::npos;) {
    const std::string line = this->buffer.substr(start, end - start);
    start = end + 1;
    if (!line.empty()) this->OnLine(line);
    if (this->stopped || this->generation != stream_generation) return;
  }
  this->buffer.erase(0, start);
  if (this->buffer.size() <= kMaxLineBytes) return;
  this->End({StoreErrorKind::kUnknown, "a watch message exceeds the maximum length"});
}

void EtcdWatch::OnLine(std::string_view line) {
  auto message = etcd::DecodeWatch(line);
  if (message) {
    this->received_message = true;
    this->OnMessage(std::move(*message));
    return;
  }
  this->Reopen({StoreErrorKind::kUnknown, message.error()});
}

void EtcdWatch::OnMessage(WatchMessage message) {
  if (message.cancelled && message.compact_revision > 0) {
    this->End({StoreErrorKind::kCompacted, message.reason});
    return;
  }
  if (message.cancelled) {
    this->End({StoreErrorKind::kRejected, message.reason});
    return;
  }
  // A creation message reports the store revision but does not imply that older changes were
  // delivered.
  const bool starts_at_next = message.created && this->next_revision == 0;
  const bool reports_progress =
      message.IsProgress() && message.store_revision >= this->next_revision;
  if (starts_at_next || reports_progress) this->next_revision = message.store_revision + 1;
  const std::uint64_t stream_generation = this->generation;
  for (ChangeBatch& batch : message.batches) {
    if (batch.revision < this->next_revision) continue;
    this->next_revision = batch.revision + 1;
    this->on_changes(std::move(batch));
    if (this->stopped || this->generation != stream_generation) return;
  }
}

void EtcdWatch::OnStreamEnd(tl::expected<http::Response, http::ClientError> result) {
  const bool not_sent = !result && result.error().kind == http::ClientErrorKind::kNotSent;
  if (not_sent && ++this->failed_connects < this->endpoints->Attempts()) {
    this->endpoints->SwitchFrom(this->url);
    this->OpenStream();
    return;
  }
  if (not_sent) {
    this->endpoints->SwitchFrom(this->url);
    this->End({StoreErrorKind::kNotSent, result.error().message});
    return;
  }
  const std::string reason =
      result ? "the store ended the watch with status " + std::to_string(result->status)
             : result.error().message;
  this->Reopen({StoreErrorKind::kUnknown, reason});
}

void EtcdWatch::Reopen(StoreError reason) {
  this->endpoints->SwitchFrom(this->url);
  if (!this->received_message) {
    this->End(std::move(reason));
    return;
  }
  this->CloseStream();
  // Limits the rate of watch requests to a store that ends each watch immediately.
  this->silence_timer = this->timers.After(kReopenDelay, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->stopped) self->OpenStream();
  });
}

void EtcdWatch::End(StoreError error) {
  const auto keep_alive = this->shared_from_this();
  this->Stop();
  this->on_end(std::move(error));
}

}  // namespace fireflyrun::store
