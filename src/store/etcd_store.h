#pragma once

#include <memory>
#include <string>
#include <vector>

#include "common/clock.h"
#include "store/store.h"

namespace fireflyrun {
class TimerService;
}
namespace fireflyrun::http {
class Client;
}

namespace fireflyrun::store {

/// Addresses and timeouts of the store.
struct EtcdStoreOptions {
  std::vector<std::string> endpoints;  ///< `IP:PORT`, tried in turn until one accepts a connection.
  Duration request_timeout = std::chrono::seconds(3);
  /// A watch that receives nothing for this long, not even a progress notification, is reopened.
  Duration watch_silence_limit = std::chrono::seconds(30);
};

/// Store over the etcd v3 JSON gateway, as in etcd's published API: keys and values in base64,
/// 64-bit integers as strings, watches as streams with one JSON object per line.
class EtcdStore : public Store {
 public:
  EtcdStore(http::Client& client, TimerService& timers, EtcdStoreOptions options);
  ~EtcdStore() override;
  EtcdStore(const EtcdStore&) = delete;
  EtcdStore& operator=(const EtcdStore&) = delete;

  void List(std::string prefix, Handler<Listing> handler) override;
  void Commit(Transaction transaction, Handler<TransactionResult> handler) override;
  void GrantLease(std::chrono::seconds time_to_live, Handler<LeaseId> handler) override;
  void KeepLeaseAlive(LeaseId lease, Handler<std::chrono::seconds> handler) override;
  void RevokeLease(LeaseId lease, Handler<LeaseId> handler) override;
  /// A `first_revision` of 0 starts with the next change.
  WatchId Watch(std::string prefix, Revision first_revision,
                std::function<void(ChangeBatch)> on_changes,
                std::function<void(StoreError)> on_end) override;
  void CancelWatch(WatchId watch) override;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
