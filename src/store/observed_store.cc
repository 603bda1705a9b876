#include "store/observed_store.h"

#include <utility>

#include "common/log_event.h"

namespace fireflyrun::store {
namespace {

StoreCallResult ResultOf(const StoreError* error) {
  if (error == nullptr) return StoreCallResult::kOk;
  switch (error->kind) {
    case StoreErrorKind::kNotSent:
      return StoreCallResult::kNotSent;
    case StoreErrorKind::kUnknown:
      return StoreCallResult::kUnknown;
    case StoreErrorKind::kRejected:
      return StoreCallResult::kRejected;
    case StoreErrorKind::kNotNow:
      return StoreCallResult::kNotNow;
    case StoreErrorKind::kCompacted:
      break;
  }
  return StoreCallResult::kCompacted;
}

}  // namespace

ObservedStore::ObservedStore(std::unique_ptr<Store> observed_store)
    : store(std::move(observed_store)), observations(std::make_shared<Observations>()) {
  const auto on_change = [this](const GenerationChange& change) {
    ++this->generation_changes;
    LogEvent(LogLevel::kWarning, "store", "generation-changed")
        .Add("from", change.from)
        .Add("to", change.to);
  };
  this->generation_subscription = this->store->Generation().OnChange(on_change);
}

ObservedStore::~ObservedStore() = default;

void ObservedStore::Observations::Record(StoreCall call, const StoreError* error) {
  const StoreCallResult result = ResultOf(error);
  ++this->counts[static_cast<std::size_t>(call)][static_cast<std::size_t>(result)];
  const bool no_response =
      result == StoreCallResult::kNotSent || result == StoreCallResult::kUnknown;
  const SteadyTime now = SteadyClock::now();
  if (no_response && !std::exchange(this->lost, true)) {
    LogEvent(LogLevel::kWarning, "store", "store-lost")
        .Add("call", kStoreCallNames.NameOf(call))
        .Add("cause", kStoreCallResultNames.NameOf(result))
        .Add("detail", error->message)
        .Add("heard_ms_ago", now - this->last_response);
  } else if (!no_response && std::exchange(this->lost, false)) {
    LogEvent(LogLevel::kInfo, "store", "store-regained")
        .Add("call", kStoreCallNames.NameOf(call))
        .Add("heard_ms_ago", now - this->last_response);
  }
  if (!no_response) this->last_response = now;
}

template <typename Value>
Store::Handler<Value> ObservedStore::Observe(StoreCall call, Handler<Value> handler) const {
  return [call, observed = this->observations,
          handler = std::move(handler)](tl::expected<Value, StoreError> result) {
    observed->Record(call, result ? nullptr : &result.error());
    handler(std::move(result));
  };
}

void ObservedStore::List(std::string prefix, Handler<Listing> handler) {
  this->store->List(std::move(prefix), this->Observe(StoreCall::kList, std::move(handler)));
}

void ObservedStore::Commit(Transaction transaction, Handler<TransactionResult> handler) {
  this->store->Commit(std::move(transaction),
                      this->Observe(StoreCall::kCommit, std::move(handler)));
}

void ObservedStore::GrantLease(std::chrono::seconds time_to_live, Handler<LeaseId> handler) {
  this->store->GrantLease(time_to_live, this->Observe(StoreCall::kGrantLease, std::move(handler)));
}

void ObservedStore::KeepLeaseAlive(LeaseId lease, Handler<std::chrono::seconds> handler) {
  this->store->KeepLeaseAlive(lease, this->Observe(StoreCall::kKeepLeaseAlive, std::move(handler)));
}

void ObservedStore::RevokeLease(LeaseId lease, Handler<LeaseId> handler) {
  this->store->RevokeLease(lease, this->Observe(StoreCall::kRevokeLease, std::move(handler)));
}

Store::WatchId ObservedStore::Watch(std::string prefix, Revision first_revision,
                                    std::function<void(ChangeBatch)> on_changes,
                                    std::function<void(StoreError)> on_end) {
  auto observed = this->observations;
  return this->store->Watch(
      std::move(prefix), first_revision,
      [observed, on_changes = std::move(on_changes)](ChangeBatch batch) {
        observed->Record(StoreCall::kWatch, nullptr);
        on_changes(std::move(batch));
      },
      [observed, on_end = std::move(on_end)](StoreError error) {
        observed->Record(StoreCall::kWatch, &error);
        on_end(std::move(error));
      });
}

void ObservedStore::CancelWatch(WatchId watch) { this->store->CancelWatch(watch); }

std::uint64_t ObservedStore::Count(StoreCall call, StoreCallResult result) const {
  return this->observations
      ->counts[static_cast<std::size_t>(call)][static_cast<std::size_t>(result)];
}

}  // namespace fireflyrun::store
