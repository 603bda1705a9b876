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

/// Where the store is and how long to wait for it.
struct EtcdStoreOptions {
  std::vector<std::string> endpoints;  ///< `IP:PORT`, tried in turn while no connection is made.
  Duration request_timeout = std::chrono::seconds(3);
  /// A watch that gets nothing, not even a progress notification, for this long is made anew.
  Duration watch_silence_limit = std::chrono::seconds(30);
};

/// Store over the etcd v3 JSON gateway. The protocol is that of etcd's published API: base64 keys
/// and values, 64-bit integers as strings, watches as streams of one JSON object a line.
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
  /// `first_revision` 0 starts with what comes next.
  WatchId Watch(std::string prefix, Revision first_revision,
                std::function<void(ChangeBatch)> on_changes,
                std::function<void(StoreError)> on_end) override;
  void CancelWatch(WatchId watch) override;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation;
};

}  // namespace fireflyrun::store
