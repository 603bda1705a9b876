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
/// What other nodes have is awaited from the source for this long, before they are asked.
constexpr Duration kSourcePatience = std::chrono::milliseconds(500);

}  // namespace

RecordKeeper::RecordKeeper(TimerService& timer_service, store::RecordSource* record_source,
                           bool every_node_follows_source)
    : timers(timer_service), source(record_source), follows_always(every_node_follows_source) {
  this->book.OnChange([this](const records::RecordBook&) { this->OnBookChanged(); });
}

membership::RecordHooks RecordKeeper::Hooks() {
  membership::RecordHooks hooks;
  hooks.local_revision = [this] { return static_cast<std::uint64_t>(this->book.Revision()); };
  hooks.apply_change_set = [this](std::string_view bytes) {
    const auto change_set = DecodeChangeSet(bytes);
    return change_set && this->book.ApplyChangeSet(*change_set) == records::ChangeResult::kApplied;
  };
  hooks.apply_transfer = [this](std::string_view bytes) {
    const auto transfer = DecodeTransfer(bytes);
    return transfer && this->book.MergeTransfer(*transfer);
  };
  hooks.changes_since = [this](std::uint64_t revision) {
    return EncodeTransfer(this->book.ChangesSince(static_cast<std::int64_t>(revision)));
  };
  if (this->follows_always) {
    hooks.accepts_peer_records = [this](std::uint64_t revision) {
      return this->TakesFromPeers(revision);
    };
  }
  return hooks;
}

bool RecordKeeper::TakesFromPeers(std::uint64_t revision) {
  const SteadyTime now = SteadyClock::now();
  if (this->awaited_revision <= static_cast<std::uint64_t>(this->book.Revision())) {
    this->awaited_revision = revision;
    this->awaited_since = now;
    this->ReadStore();
  }
  return now - this->awaited_since >= kSourcePatience;
}

void RecordKeeper::Publish(const records::ChangeSet& change_set) {
  // Where every node follows the source, each has the news by itself.
  if (!this->follows_always) this->membership->PublishChangeSet(EncodeChangeSet(change_set));
}

void RecordKeeper::Start(membership::Membership& fleet) {
  this->membership = &fleet;
  this->check_timer = this->timers.Every(kCheckPeriod, [this] { this->Check(); });
  if (this->follows_always) {
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
  const bool wanted = this->follows_always || this->membership->ShouldWatchStore();
  if (wanted && !this->watching) this->WatchStore();
  if (!wanted && this->watching) {
    this->source->StopWatch();
    this->watching = false;
  }
  const bool without_records = this->book.Revision() == 0 && !this->watching;
  if (this->read_wanted || without_records) this->ReadStore();
}

void RecordKeeper::WatchStore() {
  this->watching = true;
  Log(LogLevel::kInfo, "records", "event=watching");
  this->source->WatchFrom(
      this->book.Revision(), [this](records::ChangeSet set) { this->OnChangeSet(set); },
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
  const std::int64_t before = this->book.Revision();
  if (!this->book.MergeTransfer(transfer)) return;
  // A whole transfer also states which changes lie between the two revisions.
  const auto news = this->book.ChangesSince(before);
  this->Publish({news.from_revision, news.to_revision, news.entries});
}

void RecordKeeper::ReadStore() {
  if (this->source == nullptr || this->reading) return;
  this->reading = true;
  this->read_wanted = true;
  this->source->Read([this](tl::expected<store::RecordListing, store::StoreError> listing) {
    this->reading = false;
    if (!listing) return;
    this->read_wanted = false;
    this->OnTransfer(listing->transfer);
  });
}

void RecordKeeper::OnBookChanged() {
  this->configuration = records::Configuration::Build(this->book);
  if (this->on_configuration) this->on_configuration(*this->configuration);
  LogEvent(LogLevel::kInfo, "records", "in-force")
      .Add("revision", this->book.Revision())
      .Add("records", this->book.Entries().size());
  for (const Finding& problem : this->configuration->Problems()) {
    LogEvent(LogLevel::kWarning, "records", "unusable-record")
        .Add("place", problem.place)
        .Add("problem", problem.message);
  }
}

std::string RecordKeeper::Describe() const {
  nlohmann::json document;
  document["revision"] = this->book.Revision();
  document["records"] = nlohmann::json::array();
  for (const auto& entry : this->book.Entries()) {
    document["records"].push_back({{"key", records::FormatRecordKey(entry.key)},
                                   {"revision", entry.revision},
                                   {"retired", entry.retired},
                                   {"body", nlohmann::json::parse(entry.body, nullptr, false)}});
  }
  document["problems"] =
      FormatFindings(this->configuration ? this->configuration->Problems() : Findings());
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace fireflyrun::node
