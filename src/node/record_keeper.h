#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "common/clock.h"
#include "common/finding.h"
#include "common/timer_subscription.h"
#include "membership/record_hooks.h"
#include "records/book_revision.h"
#include "records/change_set.h"
#include "records/configuration.h"
#include "records/record_book.h"
#include "records/transfer.h"

namespace fireflyrun {
class TimerService;
}
namespace fireflyrun::membership {
class Membership;
}
namespace fireflyrun::store {
class RecordSource;
}

namespace fireflyrun::node {

/// Keeps the node's record book up to date. Either every node follows the source and queries other
/// nodes only when the source fails; or only the delegates of each zone and nodes without records
/// read the source, and changes spread from node to node.
class RecordKeeper {
 public:
  /// `record_source` may be null: records then come from other nodes only.
  RecordKeeper(TimerService& timer_service, store::RecordSource* record_source,
               bool every_node_follows_source);

  /// The hooks through which membership reads and updates the record book.
  membership::RecordHooks Hooks();

  void Start(membership::Membership& fleet);
  void Stop();

  /// The configuration in force; null before the first records.
  std::shared_ptr<const records::Configuration> InForce() const { return this->configuration; }
  /// Sets the hook that runs whenever the records in force change.
  void OnConfiguration(std::function<void(const records::Configuration&)> hook) {
    this->on_configuration = std::move(hook);
  }
  const records::RecordBook& Book() const { return this->book; }

  /// What the source or the records in force contain that can't be used as it is written there.
  Findings Problems() const;

  /// The revision is a number, or a text if it has a rest:
  /// `{"revision", "records": [{"key", "schema", "revision", "retired", "body"}], "problems"}`.
  std::string Describe() const;

 private:
  void Check();
  /// True if records of this revision, which other nodes have, should be accepted from them.
  bool AcceptsPeerRecords(const records::BookRevision& revision);
  void Publish(const records::ChangeSet& change_set);
  void WatchStore();
  void OnChangeSet(const records::ChangeSet& change_set);
  void OnTransfer(const records::Transfer& transfer);
  void ReadStore();
  void OnBookChanged();

  TimerService& timers;
  store::RecordSource* source;
  membership::Membership* membership = nullptr;
  records::RecordBook book;
  std::shared_ptr<const records::Configuration> configuration;
  std::function<void(const records::Configuration&)> on_configuration;
  TimerSubscription check_timer;
  bool always_follows_source = false;
  records::BookRevision awaited_revision;  ///< Reported by other nodes, not yet by the source.
  SteadyTime awaited_since;
  bool watching = false;
  bool reading = false;
  bool read_pending = false;  ///< True until a read of the source succeeds.
};

}  // namespace fireflyrun::node
