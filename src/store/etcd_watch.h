#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "common/timer_subscription.h"
#include "http/client.h"
#include "store/key_value.h"
#include "store/store_error.h"

namespace fireflyrun {
class TimerService;
}

namespace fireflyrun::store {

class EtcdEndpoints;
struct WatchMessage;

/// One watch over the etcd JSON gateway. It reopens at the next revision when its stream ends or
/// stays silent, provided that the stream delivered at least one message.
class EtcdWatch : public std::enable_shared_from_this<EtcdWatch> {
 public:
  using ChangesHook = std::function<void(ChangeBatch)>;
  using EndHook = std::function<void(StoreError)>;

  EtcdWatch(http::Client& http_client, TimerService& timer_service,
            std::shared_ptr<EtcdEndpoints> store_endpoints, Duration silence);
  ~EtcdWatch();
  EtcdWatch(const EtcdWatch&) = delete;
  EtcdWatch& operator=(const EtcdWatch&) = delete;

  void Start(std::string watched_prefix, Revision first_revision, ChangesHook changes_hook,
             EndHook end_hook);

  /// No hook runs after this.
  void Stop();

 private:
  void OpenStream();
  void CloseStream();
  void ArmSilenceTimer();
  void OnSilence();
  void OnChunk(std::string_view chunk);
  void OnLine(std::string_view line);
  void OnMessage(WatchMessage message);
  void OnStreamEnd(tl::expected<http::Response, http::ClientError> result);
  void Reopen(StoreError reason);
  void End(StoreError error);

  http::Client& client;
  TimerService& timers;
  std::shared_ptr<EtcdEndpoints> endpoints;
  Duration silence_limit;
  std::string prefix;
  Revision next_revision = 0;
  ChangesHook on_changes;
  EndHook on_end;
  std::string url;
  std::string buffer;
  http::Client::RequestId stream = 0;
  std::uint64_t generation = 0;  ///< Of the current stream; events of older ones are ignored.
  std::size_t failed_connects = 0;
  bool received_message = false;  ///< On the current stream.
  bool stopped = false;
  TimerSubscription silence_timer;
};

}  // namespace fireflyrun::store
