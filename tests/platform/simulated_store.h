#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "store/store.h"
#include "tests/platform/simulated_timers.h"
#include "tests/standins/metadata_model.h"

namespace fireflyrun::platform {

/// The host of a simulated metadata store, which several nodes call.
struct SimulatedStoreHost {
  standins::MetadataModel model{1000};
  bool is_away = false;  ///< Connections are reset, calls that arrive are not carried out.
};

/// What one node sees of the store's host, through a network whose delays a generator draws. The
/// messages are those of the platform. Watches never report anything.
class SimulatedStore : public store::Store {
 public:
  SimulatedStore(SimulatedTimers& simulated_timers, SimulatedStoreHost& store_host,
                 std::uint32_t seed)
      : timers(simulated_timers), host(store_host), random(seed) {}

  void List(std::string prefix, Handler<store::Listing> handler) override;
  void Commit(store::Transaction transaction, Handler<store::TransactionResult> handler) override;
  void GrantLease(std::chrono::seconds time_to_live, Handler<store::LeaseId> handler) override;
  void KeepLeaseAlive(store::LeaseId lease, Handler<std::chrono::seconds> handler) override;
  void RevokeLease(store::LeaseId lease, Handler<store::LeaseId> handler) override;
  WatchId Watch(std::string prefix, store::Revision first_revision,
                std::function<void(store::ChangeBatch)> on_changes,
                std::function<void(store::StoreError)> on_end) override;
  void CancelWatch(WatchId watch) override;

  /// While it is cut off, its calls and the answers to them get lost.
  void SetCutOff(bool cut_off) { this->is_cut_off = cut_off; }
  /// So far, answered or not.
  int Calls() const { return this->calls; }

  /// The time that each message takes from now on, in place of a drawn one.
  void SetDelay(Duration new_delay) { this->fixed_delay = new_delay; }

 private:
  using Answer = standins::MetadataAnswer;
  template <typename Value>
  using Decoder = std::function<tl::expected<Value, store::StoreError>(const Answer&)>;
  template <typename Value>
  struct Call;

  template <typename Value>
  void Send(std::function<Answer()> perform, Decoder<Value> decode, Handler<Value> handler);
  template <typename Value>
  void OnArrival(const std::shared_ptr<Call<Value>>& call);
  template <typename Value>
  void OnAnswer(const std::shared_ptr<Call<Value>>& call, const Answer& answer, std::uint64_t era);
  template <typename Value>
  void FailAtTimeout(const std::shared_ptr<Call<Value>>& call, store::StoreErrorKind kind);
  bool Accept(std::uint64_t era, std::uint64_t sent_in);
  Duration DrawDelay();

  SimulatedTimers& timers;
  SimulatedStoreHost& host;
  std::mt19937 random;
  bool is_cut_off = false;
  int calls = 0;
  std::optional<Duration> fixed_delay;
};

}  // namespace fireflyrun::platform
