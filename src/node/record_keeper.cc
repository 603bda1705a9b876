#include "node/record_keeper.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "common/log.h"
#include "common/log_event.h"
#include "common/timer_service.h"
#include "membership/membership.h"
#include "node/record_codec.h"
#include "store/record_source.h"

namespace fireflyrun::node {
namespace {

constexpr Duration kCheckPeriod = std::chrono::milliseconds(500);
/// Waits this long for the source to deliver a revision of other nodes before querying them.
constexpr Duration kSourceWaitLimit = std::chrono::milliseconds(500);

}  // namespace

RecordKeeper::RecordKeeper(TimerService& timer_service, store::RecordSource* record_source,
                           bool every_node_follows_source)
    : timers(timer_service),
      source(record_source),
      always_follows_source(every_node_follows_source) {
  this->book.OnChange([this](const records::RecordBook&) { this->OnBookChanged(); });
}

membership::RecordHooks RecordKeeper::Hooks() {
  membership::RecordHooks hooks;
  hooks.local_revision = [this] { return this->book.Revision(); };
  hooks.apply_change_set = [this](std::string_view bytes) {
    const auto change_set = DecodeChangeSet(bytes);
    return change_set && this->book.ApplyChangeSet(*change_set) == records::ChangeResult::kApplied;
  };
  hooks.apply_transfer = [this](std::string_view bytes) {
    const auto transfer = DecodeTransfer(bytes);
    return transfer && this->book.MergeTransfer(*transfer);
  };
  hooks.changes_since = [this](const records::BookRevision& revision) {
    return EncodeTransfer(this->book.ChangesSince(revision));
  };
  if (this->always_follows_source) {
    hooks.accepts_peer_records = [this](const records::BookRevision& revision) {
      return this->AcceptsPeerRecords(revision);
    };
  }
  return hooks;
}

bool RecordKeeper::AcceptsPeerRecords(const records::BookRevision& revision) {
  const SteadyTime now = SteadyClock::now();
  if (this->awaited_revision <= this->book.Revision()) {
    this->awaited_revision = revision;
    this->awaited_since = now;
    this->ReadStore();
  }
  return now - this->awaited_since >= kSourceWaitLimit;
}

void RecordKeeper::Publish(const records::ChangeSet& change_set) {
  // If every node follows the source, each receives the change set itself.
  if (!this->always_follows_source) this->membership->PublishChangeSet(EncodeChangeSet(change_set));
}

void RecordKeeper::Start(membership::Membership& fleet) {
  this->membership = &fleet;
  this->check_timer = this->timers.Every(kCheckPeriod, [this] { this->Check(); });
  if (this->always_follows_source) {
    this->Check();
  } else {
    this->ReadStore();
  }
}

void RecordKeeper::Stop() {
  this->check_timer.Reset();
  if (this->watching) this->source->StopWatch();
  this->watching = false;
}

void RecordKeeper::Check() {
  if (this->source == nullptr) return;
  const bool should_watch = this->always_follows_source || this->membership->ShouldWatchStore();
  if (should_watch && !this->watching) this->WatchStore();
  if (!should_watch && this->watching) {
    this->source->StopWatch();
    this->watching = false;
  }
  const bool without_records = this->book.Revision() == 0 && !this->watching;
  if (this->read_pending || without_records) this->ReadStore();
}

void RecordKeeper::WatchStore() {
  this->watching = true;
  Log(LogLevel::kInfo, "records", "event=watching");
  this->source->WatchFrom(
      this->book.Revision().number, [this](records::ChangeSet set) { this->OnChangeSet(set); },
      [this](records::Transfer transfer) { this->OnTransfer(transfer); });
}

void RecordKeeper::OnChangeSet(const records::ChangeSet& change_set) {
  const auto result = this->book.ApplyChangeSet(change_set);
  if (result == records::ChangeResult::kGap) {
    this->ReadStore();
  } else if (result == records::ChangeResult::kApplied) {
    this->Publish(change_set);
  }
}

void RecordKeeper::OnTransfer(const records::Transfer& transfer) {
  const records::BookRevision before = this->book.Revision();
  if (!this->book.MergeTransfer(transfer)) return;
  // The merged book also gives the changes between the two revisions.
  const auto changes = this->book.ChangesSince(before);
  this->Publish({changes.from_revision.number, changes.to_revision.number, changes.entries});
}

void RecordKeeper::ReadStore() {
  if (this->source == nullptr || this->reading) return;
  this->reading = true;
  this->read_pending = true;
  this->source->Read([this](tl::expected<store::RecordListing, store::StoreError> listing) {
    this->reading = false;
    if (!listing) return;
    this->read_pending = false;
    this->OnTransfer(listing->transfer);
  });
}

void RecordKeeper::OnBookChanged() {
  this->configuration = records::Configuration::Build(this->book);
  if (this->on_configuration) this->on_configuration(*this->configuration);
  LogEvent(LogLevel::kInfo, "records", "in-force")
      .Add("revision", records::FormatRevision(this->book.Revision()))
      .Add("records", this->book.Entries().size());
  for (const Finding& problem : this->configuration->Problems()) {
    LogEvent(LogLevel::kWarning, "records", "unusable-record")
        .Add("place", problem.place)
        .Add("problem", problem.message);
  }
}

Findings RecordKeeper::Problems() const {
  Findings problems = this->source == nullptr ? Findings() : this->source->Problems();
  if (!this->configuration) return problems;
  const Findings& more = this->configuration->Problems();
  problems.insert(problems.end(), more.begin(), more.end());
  return problems;
}

std::string RecordKeeper::Describe() const {
  nlohmann::json document;
  const records::BookRevision& revision = this->book.Revision();
  if (revision.rest.empty()) {
    document["revision"] = revision.number;
  } else {
    document["revision"] = records::FormatRevision(revision);
  }
  document["records"] = nlohmann::json::array();
  for (const auto& entry : this->book.Entries()) {
    document["records"].push_back({{"key", records::FormatRecordKey(entry.key)},
                                   {"revision", entry.revision},
                                   {"retired", entry.retired},
                                   {"body", nlohmann::json::parse(entry.body, nullptr, false)}});
  }
  document["problems"] = FormatFindings(this->Problems());
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace fireflyrun::node
