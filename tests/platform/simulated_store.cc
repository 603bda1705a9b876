#include "tests/platform/simulated_store.h"

#include <utility>

#include "platform/metadata_codec.h"

namespace fireflyrun::platform {

using std::chrono::milliseconds;
using store::StoreError;
using store::StoreErrorKind;

namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(3);
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 412;

tl::unexpected<StoreError> Fail(StoreErrorKind kind, std::string message) {
  return tl::unexpected(StoreError{kind, std::move(message)});
}

/// Decodes an answer of status 200 by `decode`; any other one is a rejection.
template <typename Decode>
auto DecodeOk(const standins::MetadataAnswer& answer, Decode decode)
    -> tl::expected<typename decltype(decode(""))::value_type, StoreError> {
  if (answer.status != kStatusOk) return Fail(StoreErrorKind::kRejected, answer.body.dump());
  return decode(answer.body.dump()).map_error([](DecodeError error) {
    return StoreError{StoreErrorKind::kUnknown, std::move(error)};
  });
}

tl::expected<store::Listing, StoreError> ReadListing(const standins::MetadataAnswer& answer) {
  return DecodeOk(answer, &DecodeRange).map([](ListingPage page) {
    return store::Listing{std::move(page.items), page.as_of};
  });
}

tl::expected<store::TransactionResult, StoreError> ReadCommit(
    const standins::MetadataAnswer& answer) {
  if (answer.status != kStatusConflict) return DecodeOk(answer, &DecodeCommitted);
  return DecodeConflict(answer.body.dump()).map_error([](DecodeError error) {
    return StoreError{StoreErrorKind::kRejected, std::move(error)};
  });
}

}  // namespace

template <typename Value>
struct SimulatedStore::Call {
  std::function<Answer()> perform;
  Decoder<Value> decode;
  Handler<Value> handler;
  std::uint64_t sent_in = 0;  ///< The store's generation then.
  SteadyTime sent_at;
};

Duration SimulatedStore::DrawDelay() {
  if (this->fixed_delay) return *this->fixed_delay;
  constexpr std::uint32_t kSlowShare = 20;
  const bool is_slow = this->random() % kSlowShare == 0;
  const std::uint32_t most_ms = is_slow ? 400 : 10;
  return milliseconds(1 + this->random() % most_ms);
}

template <typename Value>
void SimulatedStore::Send(std::function<Answer()> perform, Decoder<Value> decode,
                          Handler<Value> handler) {
  ++this->calls;
  auto call = std::make_shared<Call<Value>>(
      Call<Value>{std::move(perform), std::move(decode), std::move(handler),
                  this->Generation().Number(), this->timers.Now()});
  if (this->is_cut_off) return this->FailAtTimeout(call, StoreErrorKind::kNotSent);
  this->timers.Post(this->DrawDelay(), [this, call] { this->OnArrival(call); });
}

template <typename Value>
void SimulatedStore::OnArrival(const std::shared_ptr<Call<Value>>& call) {
  if (this->is_cut_off) return this->FailAtTimeout(call, StoreErrorKind::kUnknown);
  if (this->host.is_away) {
    this->timers.Post(this->DrawDelay(), [call] {
      call->handler(Fail(StoreErrorKind::kUnknown, "the connection was reset"));
    });
    return;
  }
  const Answer answer = call->perform();
  const auto era = static_cast<std::uint64_t>(this->host.model.Era());
  this->timers.Post(this->DrawDelay(),
                    [this, call, answer, era] { this->OnAnswer(call, answer, era); });
}

template <typename Value>
void SimulatedStore::OnAnswer(const std::shared_ptr<Call<Value>>& call, const Answer& answer,
                              std::uint64_t era) {
  if (this->is_cut_off) return this->FailAtTimeout(call, StoreErrorKind::kUnknown);
  if (this->Accept(era, call->sent_in)) return call->handler(call->decode(answer));
  call->handler(Fail(StoreErrorKind::kUnknown, "the store's era changed meanwhile"));
}

template <typename Value>
void SimulatedStore::FailAtTimeout(const std::shared_ptr<Call<Value>>& call, StoreErrorKind kind) {
  const Duration left = call->sent_at + kRequestTimeout - this->timers.Now();
  this->timers.Post(left, [call, kind] { call->handler(Fail(kind, "timeout")); });
}

/// As platform/metadata_caller does.
bool SimulatedStore::Accept(std::uint64_t era, std::uint64_t sent_in) {
  this->Generation().Observe(era);
  const std::uint64_t known = this->Generation().Number();
  return sent_in == 0 ? era == known : sent_in == known;
}

void SimulatedStore::List(std::string prefix, Handler<store::Listing> handler) {
  this->Send<store::Listing>(
      [this, prefix = std::move(prefix)] { return this->host.model.Range(prefix, ""); },
      &ReadListing, std::move(handler));
}

void SimulatedStore::Commit(store::Transaction transaction,
                            Handler<store::TransactionResult> handler) {
  this->Send<store::TransactionResult>(
      [this, text = EncodeTransaction(transaction)] {
        return this->host.model.Transact(nlohmann::json::parse(text));
      },
      &ReadCommit, std::move(handler));
}

void SimulatedStore::GrantLease(std::chrono::seconds time_to_live,
                                Handler<store::LeaseId> handler) {
  this->Send<store::LeaseId>(
      [this, text = EncodeLease(time_to_live)] {
        return this->host.model.GrantLease(nlohmann::json::parse(text), this->timers.Now());
      },
      [](const Answer& answer) {
        return DecodeOk(answer, &DecodeLease).map([](const LeaseGrant& grant) {
          return grant.lease;
        });
      },
      std::move(handler));
}

void SimulatedStore::KeepLeaseAlive(store::LeaseId lease, Handler<std::chrono::seconds> handler) {
  this->Send<std::chrono::seconds>(
      [this, lease] { return this->host.model.RenewLease(lease, this->timers.Now()); },
      [](const Answer& answer) { return DecodeOk(answer, &DecodeRenewal); }, std::move(handler));
}

void SimulatedStore::RevokeLease(store::LeaseId lease, Handler<store::LeaseId> handler) {
  this->Send<store::LeaseId>(
      [this, lease] { return this->host.model.EndLease(lease); },
      [lease](const Answer&) -> tl::expected<store::LeaseId, StoreError> { return lease; },
      std::move(handler));
}

store::Store::WatchId SimulatedStore::Watch(std::string /*prefix*/,
                                            store::Revision /*first_revision*/,
                                            std::function<void(store::ChangeBatch)> /*on_changes*/,
                                            std::function<void(StoreError)> /*on_end*/) {
  return 1;
}

void SimulatedStore::CancelWatch(WatchId /*watch*/) {}

}  // namespace fireflyrun::platform
