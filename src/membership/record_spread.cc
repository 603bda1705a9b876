#include "membership/record_spread.h"

#include <algorithm>
#include <utility>

#include "common/random.h"
#include "membership/control_address.h"

namespace fireflyrun::membership {

namespace {

constexpr std::uint32_t kMaxPieces = 4096;
constexpr std::size_t kPieceHeadroom = 1024;  // For the envelope around a piece.

}  // namespace

RecordSpread::RecordSpread(ControlContext& shared, RecordHooks record_hooks)
    : context(shared), hooks(std::move(record_hooks)) {}

std::uint64_t RecordSpread::LocalRevision() const {
  return this->hooks.local_revision ? this->hooks.local_revision() : 0;
}

void RecordSpread::Publish(std::string_view change_set) {
  pb::ChangeSet message;
  if (!message.ParseFromArray(change_set.data(), static_cast<int>(change_set.size()))) return;
  this->Push(message, true);
}

void RecordSpread::Push(const pb::ChangeSet& change_set, bool to_other_zones) {
  PeerPicker& picker = this->context.picker;
  pb::Part notice;
  notice.mutable_record_notice()->set_revision(change_set.revision());
  pb::Part part;
  const std::size_t bound = this->context.options.max_message_bytes - kPieceHeadroom;
  if (change_set.ByteSizeLong() <= bound) {
    *part.mutable_change_set() = change_set;
  } else {
    part = notice;
  }
  const auto peers = picker.PickNeighbours(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, part, Lane::kNews);
  if (!to_other_zones || !picker.SelfIsDelegate()) return;
  // Delegates of other zones mostly have the change from their own watch of the store.
  std::vector<std::string> remotes;
  for (const MemberState* remote : picker.RemoteDelegates()) {
    remotes.push_back(ControlAddressOf(remote->member));
  }
  this->context.outbox.AddToAll(remotes, notice, Lane::kNews);
}

void RecordSpread::OnChangeSet(const pb::ChangeSet& change_set, const std::string& from,
                               bool from_own_zone) {
  const std::uint64_t local = this->LocalRevision();
  if (change_set.revision() <= local) return;
  const bool is_whole = change_set.previous_revision() == 0;
  const bool follows = is_whole || change_set.previous_revision() == local;
  const bool applied = follows && this->hooks.apply_change_set &&
                       this->hooks.apply_change_set(change_set.SerializeAsString());
  if (applied) {
    this->Push(change_set, from_own_zone);
  } else {
    this->Ask(from);
  }
}

void RecordSpread::OnRevision(std::uint64_t revision, const std::string& from) {
  const std::uint64_t local = this->LocalRevision();
  const bool is_news = revision > local;
  if (is_news &&
      (!this->hooks.accepts_peer_records || this->hooks.accepts_peer_records(revision))) {
    this->Ask(from);
  }
  if (revision >= local) return;
  // Whoever missed a push learns of it from its own next digest, without waiting to be picked.
  pb::Part part;
  part.mutable_record_notice()->set_revision(local);
  this->context.outbox.Add(from, part, Lane::kNews);
}

void RecordSpread::Ask(const std::string& peer) {
  const SteadyTime now = SteadyClock::now();
  const bool is_recent = now - this->asked_at < this->context.options.exchange_period;
  if (this->is_asking && is_recent) return;
  this->is_asking = true;
  this->asked_at = now;
  pb::Part part;
  part.mutable_record_request()->set_since_revision(this->LocalRevision());
  this->context.outbox.Add(peer, part, Lane::kNews);
}

void RecordSpread::OnRequest(const pb::RecordRequest& request, const std::string& from) {
  const bool is_ahead = request.since_revision() < this->LocalRevision();
  if (!is_ahead || !this->hooks.changes_since) return;
  const std::string transfer = this->hooks.changes_since(request.since_revision());
  const std::size_t piece = this->context.options.max_message_bytes - kPieceHeadroom;
  const std::size_t count = std::max<std::size_t>(1, (transfer.size() + piece - 1) / piece);
  const std::uint64_t id = RandomBits();
  for (std::size_t i = 0; i < count; ++i) {
    pb::Part part;
    pb::TransferChunk& chunk = *part.mutable_transfer_chunk();
    chunk.set_transfer_id(id);
    chunk.set_index(static_cast<std::uint32_t>(i));
    chunk.set_count(static_cast<std::uint32_t>(count));
    chunk.set_data(transfer.substr(i * piece, piece));
    this->context.outbox.Add(from, part, Lane::kBulk);
  }
}

void RecordSpread::OnChunk(const pb::TransferChunk& chunk, const std::string& from) {
  if (chunk.count() == 0 || chunk.count() > kMaxPieces || chunk.index() >= chunk.count()) return;
  Incoming& transfer = this->incoming;
  const bool is_same = transfer.transfer_id == chunk.transfer_id() && transfer.from == from &&
                       transfer.pieces.size() == chunk.count();
  if (!is_same) {
    transfer.transfer_id = chunk.transfer_id();
    transfer.from = from;
    transfer.pieces.assign(chunk.count(), {});
    transfer.missing = chunk.count();
  }
  std::string& piece = transfer.pieces[chunk.index()];
  if (!piece.empty()) return;
  piece = chunk.data();
  this->asked_at = SteadyClock::now();
  if (--transfer.missing > 0) return;

  std::string whole;
  for (const std::string& data : transfer.pieces) whole += data;
  transfer = {};
  this->is_asking = false;
  if (this->hooks.apply_transfer) this->hooks.apply_transfer(whole);
}

}  // namespace fireflyrun::membership
