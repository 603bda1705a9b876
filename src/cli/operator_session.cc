#include "cli/operator_session.h"

#include <optional>
#include <utility>

#include "cli/operator_options.h"
#include "store/roster.h"

namespace fireflyrun::cli {
namespace {

constexpr std::size_t kIdleConnections = 2;

store::EtcdStoreOptions StoreOptions(const OperatorOptions& options) {
  store::EtcdStoreOptions store_options;
  store_options.endpoints = options.store_endpoints;
  return store_options;
}

}  // namespace

OperatorSession::OperatorSession(const OperatorOptions& options)
    : cluster(options.cluster),
      configured_admin_addresses(options.admin_addresses),
      client(this->loop, kIdleConnections),
      store(this->client, this->timers, StoreOptions(options)),
      record_store(this->store, this->timers, options.cluster) {}

template <typename Result, typename Start>
Result OperatorSession::Await(Start start) {
  std::optional<Result> result;
  start([&result](Result value) { result = std::move(value); });
  this->loop.restart();
  while (!result) {
    this->loop.run_one();
  }
  return std::move(*result);
}

tl::expected<store::RecordListing, store::StoreError> OperatorSession::Read() {
  return this->Await<tl::expected<store::RecordListing, store::StoreError>>(
      [this](auto handler) { this->record_store.Read(handler); });
}

store::ApplyOutcome OperatorSession::Apply(const std::vector<records::Record>& changed,
                                           const store::RecordListing& read) {
  return this->Await<store::ApplyOutcome>(
      [&](auto handler) { this->record_store.Apply(changed, read, handler); });
}

store::ApplyOutcome OperatorSession::Retire(const std::vector<records::RecordKey>& keys,
                                            const store::RecordListing& read) {
  return this->Await<store::ApplyOutcome>(
      [&](auto handler) { this->record_store.Retire(keys, read, handler); });
}

tl::expected<std::vector<std::string>, store::StoreError> OperatorSession::AdminAddresses() {
  if (!this->configured_admin_addresses.empty()) return this->configured_admin_addresses;
  using Entries = tl::expected<std::vector<store::RosterEntry>, store::StoreError>;
  const auto entries = this->Await<Entries>(
      [this](auto handler) { store::ReadRoster(this->store, this->cluster, handler); });
  return entries.map([](const std::vector<store::RosterEntry>& roster) {
    std::vector<std::string> addresses;
    addresses.reserve(roster.size());
    for (const store::RosterEntry& entry : roster) {
      addresses.push_back(entry.admin_address);
    }
    return addresses;
  });
}

}  // namespace fireflyrun::cli
