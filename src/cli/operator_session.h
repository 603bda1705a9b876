#pragma once

#include <asio/io_context.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/timer_service.h"
#include "http/client.h"
#include "records/record.h"
#include "records/record_key.h"
#include "store/apply_outcome.h"
#include "store/etcd_store.h"
#include "store/record_listing.h"
#include "store/record_store.h"
#include "store/store_error.h"

namespace fireflyrun::cli {

struct OperatorOptions;

/// One subcommand's access to the store. Each method blocks until it has a result.
class OperatorSession {
 public:
  explicit OperatorSession(const OperatorOptions& options);
  OperatorSession(const OperatorSession&) = delete;
  OperatorSession& operator=(const OperatorSession&) = delete;

  tl::expected<store::RecordListing, store::StoreError> Read();
  store::ApplyOutcome Apply(const std::vector<records::Record>& changed,
                            const store::RecordListing& read);
  store::ApplyOutcome Retire(const std::vector<records::RecordKey>& keys,
                             const store::RecordListing& read);

  /// Admin addresses of the nodes to query: those of the options if any, else the roster's.
  tl::expected<std::vector<std::string>, store::StoreError> AdminAddresses();

 private:
  template <typename Result, typename Start>
  Result Await(Start start);

  std::string cluster;
  std::vector<std::string> configured_admin_addresses;
  asio::io_context loop{1};
  TimerService timers{this->loop};
  http::Client client;
  store::EtcdStore store;
  store::RecordStore record_store;
};

}  // namespace fireflyrun::cli
