#include "store/etcd_store.h"

#include <unordered_map>
#include <utility>

#include "http/client.h"
#include "store/etcd_codec.h"
#include "store/etcd_endpoints.h"
#include "store/etcd_watch.h"

namespace fireflyrun::store {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{16} << 20;
constexpr int kStatusOk = 200;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusClientClosed = 499;
constexpr int kFirstClientErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

/// The store rejects a request with a 4xx status before executing it, except for 408 and 499, which
/// report a request aborted during execution. With any other status the request may have taken
/// effect, also with 503, which the gateway gives for a time-out within the store.
StoreErrorKind KindOfStatus(int status) {
  if (status == kStatusRequestTimeout || status == kStatusClientClosed) {
    return StoreErrorKind::kUnknown;
  }
  if (status == kStatusTooManyRequests) return StoreErrorKind::kNotNow;
  const bool refused = status >= kFirstClientErrorStatus && status < kFirstServerErrorStatus;
  return refused ? StoreErrorKind::kRejected : StoreErrorKind::kUnknown;
}

}  // namespace

class EtcdStore::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  using AnswerHandler = std::function<void(tl::expected<std::string, StoreError>)>;

  Implementation(http::Client& http_client, TimerService& timer_service, EtcdStoreOptions settings)
      : client(http_client),
        timers(timer_service),
        options(std::move(settings)),
        endpoints(std::make_shared<EtcdEndpoints>(this->options.endpoints)) {}

  ~Implementation() {
    for (const auto& [id, watch] : this->watches) {
      watch->Stop();
    }
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  /// Sends a request and passes the text of its answer to `decode`.
  template <typename Value, typename Decode>
  void Call(const char* path, std::string body, Decode decode, Handler<Value> handler) {
    this->Attempt(
        path, std::move(body), this->endpoints->Attempts(),
        [decode, handler = std::move(handler)](tl::expected<std::string, StoreError> answer) {
          if (!answer) {
            handler(tl::unexpected(std::move(answer.error())));
            return;
          }
          handler(decode(*answer).map_error([](std::string message) {
            return StoreError{StoreErrorKind::kUnknown, std::move(message)};
          }));
        });
  }

  WatchId Watch(std::string prefix, Revision first_revision,
                std::function<void(ChangeBatch)> on_changes,
                std::function<void(StoreError)> on_end) {
    const WatchId id = ++this->last_watch;
    auto watch = std::make_shared<EtcdWatch>(this->client, this->timers, this->endpoints,
                                             this->options.watch_silence_limit);
    this->watches.emplace(id, watch);
    watch->Start(std::move(prefix), first_revision, std::move(on_changes),
                 [weak = this->weak_from_this(), id, on_end = std::move(on_end)](StoreError error) {
                   if (const auto self = weak.lock()) self->watches.erase(id);
                   on_end(std::move(error));
                 });
    return id;
  }

  void CancelWatch(WatchId id) {
    const auto found = this->watches.find(id);
    if (found == this->watches.end()) return;
    const std::shared_ptr<EtcdWatch> watch = found->second;
    this->watches.erase(found);
    watch->Stop();
  }

 private:
  void Attempt(const char* path, std::string body, std::size_t attempts_left,
               AnswerHandler handler) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = this->endpoints->Url(path);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body;
    request.timeout = this->options.request_timeout;
    request.max_response_bytes = kMaxAnswerBytes;
    // On a reused connection libcurl may resend a request: a resent transaction fails its own
    // conditions and looks like a conflict. A reused connection may also be dead unnoticed.
    request.fresh_connection = true;
    const std::string url = request.url;
    this->client.Send(
        std::move(request),
        [weak = this->weak_from_this(), path, url, body = std::move(body), attempts_left,
         handler = std::move(handler)](tl::expected<http::Response, http::ClientError> result) {
          const auto self = weak.lock();
          if (!self) return;
          if (result) {
            handler(ReadAnswer(std::move(*result)));
            return;
          }
          self->endpoints->SwitchFrom(url);
          const bool not_sent = result.error().kind == http::ClientErrorKind::kNotSent;
          if (not_sent && attempts_left > 1) {
            self->Attempt(path, body, attempts_left - 1, handler);
            return;
          }
          const auto kind = not_sent ? StoreErrorKind::kNotSent : StoreErrorKind::kUnknown;
          handler(tl::unexpected(StoreError{kind, result.error().message}));
        });
  }

  static tl::expected<std::string, StoreError> ReadAnswer(http::Response response) {
    if (response.status == kStatusOk) return std::move(response.body);
    return tl::unexpected(StoreError{
        KindOfStatus(response.status),
        "status " + std::to_string(response.status) + ": " + etcd::DecodeErrorText(response.body)});
  }

  http::Client& client;
  TimerService& timers;
  EtcdStoreOptions options;
  std::shared_ptr<EtcdEndpoints> endpoints;
  std::unordered_map<WatchId, std::shared_ptr<EtcdWatch>> watches;
  WatchId last_watch = 0;
};

EtcdStore::EtcdStore(http::Client& client, TimerService& timers, EtcdStoreOptions options)
    : implementation(std::make_shared<Implementation>(client, timers, std::move(options))) {}

EtcdStore::~EtcdStore() = default;

void EtcdStore::List(std::string prefix, Handler<Listing> handler) {
  this->implementation->Call<Listing>("/v3/kv/range", etcd::EncodeRange(prefix), &etcd::DecodeRange,
                                      std::move(handler));
}

void EtcdStore::Commit(Transaction transaction, Handler<TransactionResult> handler) {
  this->implementation->Call<TransactionResult>("/v3/kv/txn", etcd::EncodeTransaction(transaction),
                                                &etcd::DecodeTransaction, std::move(handler));
}

void EtcdStore::GrantLease(std::chrono::seconds time_to_live, Handler<LeaseId> handler) {
  this->implementation->Call<LeaseId>("/v3/lease/grant", etcd::EncodeLeaseGrant(time_to_live),
                                      &etcd::DecodeLeaseGrant, std::move(handler));
}

void EtcdStore::KeepLeaseAlive(LeaseId lease, Handler<std::chrono::seconds> handler) {
  this->implementation->Call<std::chrono::seconds>(
      "/v3/lease/keepalive", etcd::EncodeLease(lease), &etcd::DecodeLeaseKeepAlive,
      [handler = std::move(handler)](tl::expected<std::chrono::seconds, StoreError> result) {
        if (result && result->count() <= 0) {
          handler(tl::unexpected(StoreError{StoreErrorKind::kRejected, "the lease has expired"}));
          return;
        }
        handler(std::move(result));
      });
}

void EtcdStore::RevokeLease(LeaseId lease, Handler<LeaseId> handler) {
  const auto decode = [lease](std::string_view) { return etcd::Decoded<LeaseId>(lease); };
  this->implementation->Call<LeaseId>("/v3/lease/revoke", etcd::EncodeLease(lease), decode,
                                      std::move(handler));
}

EtcdStore::WatchId EtcdStore::Watch(std::string prefix, Revision first_revision,
                                    std::function<void(ChangeBatch)> on_changes,
                                    std::function<void(StoreError)> on_end) {
  return this->implementation->Watch(std::move(prefix), first_revision, std::move(on_changes),
                                     std::move(on_end));
}

void EtcdStore::CancelWatch(WatchId watch) { this->implementation->CancelWatch(watch); }

}  // namespace fireflyrun::store
