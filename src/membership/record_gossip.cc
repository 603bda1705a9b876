#include "membership/record_gossip.h"

#include <algorithm>
#include <utility>

#include "common/random.h"
#include "membership/control_address.h"
#include "membership/revision_codec.h"

namespace fireflyrun::membership {

namespace {

constexpr std::uint32_t kMaxChunks = 4096;            // Chunks in one transfer.
constexpr std::size_t kEnvelopeHeadroomBytes = 1024;  // Bytes for the envelope around a chunk.

}  // namespace

RecordGossip::RecordGossip(ControlContext& shared, RecordHooks record_hooks)
    : context(shared), hooks(std::move(record_hooks)) {}

records::BookRevision RecordGossip::LocalRevision() const {
  return this->hooks.local_revision ? this->hooks.local_revision() : records::BookRevision();
}

std::uint64_t RecordGossip::StoreGeneration() const {
  return this->hooks.store_generation ? this->hooks.store_generation() : 0;
}

void RecordGossip::OnStoreGeneration(std::uint64_t generation) {
  if (this->hooks.on_store_generation) this->hooks.on_store_generation(generation);
}

void RecordGossip::Publish(std::string_view change_set) {
  pb::ChangeSet message;
  if (!message.ParseFromArray(change_set.data(), static_cast<int>(change_set.size()))) return;
  this->Push(message, true);
}

void RecordGossip::Push(const pb::ChangeSet& change_set, bool to_other_zones) {
  PeerPicker& picker = this->context.picker;
  pb::Part notice;
  notice.mutable_record_notice()->set_revision(change_set.revision());
  pb::Part part;
  const std::size_t bound = this->context.options.max_message_bytes - kEnvelopeHeadroomBytes;
  if (change_set.ByteSizeLong() <= bound) {
    *part.mutable_change_set() = change_set;
  } else {
    part = notice;
  }
  const auto peers = picker.PickNeighbors(this->context.options.fanout);
  this->context.outbox.AddToAll(peers, part, SendPriority::kUpdate);
  if (!to_other_zones || !picker.SelfIsDelegate()) return;
  // Delegates of other zones usually have the change from their own store watch.
  std::vector<std::string> remotes;
  for (const MemberState* remote : picker.RemoteDelegates()) {
    remotes.push_back(ControlAddressOf(remote->member));
  }
  this->context.outbox.AddToAll(remotes, notice, SendPriority::kUpdate);
}

void RecordGossip::OnChangeSet(const pb::ChangeSet& change_set, const std::string& from,
                               bool from_own_zone) {
  const records::BookRevision local = this->LocalRevision();
  if (RevisionOf(change_set.revision()) <= local) return;
  const bool is_whole = change_set.previous_revision() == 0;
  const bool follows = is_whole || RevisionOf(change_set.previous_revision()) == local;
  const bool applied = follows && this->hooks.apply_change_set &&
                       this->hooks.apply_change_set(change_set.SerializeAsString());
  if (applied) {
    this->Push(change_set, from_own_zone);
  } else {
    this->RequestChanges(from);
  }
}

void RecordGossip::OnRevision(const records::BookRevision& revision, const std::string& from) {
  const records::BookRevision local = this->LocalRevision();
  const bool is_newer = revision > local;
  if (is_newer &&
      (!this->hooks.accepts_peer_records || this->hooks.accepts_peer_records(revision))) {
    this->RequestChanges(from);
  }
  if (revision >= local) return;
  // A node that missed a push gets this notice in reply to its own next digest, without waiting
  // until another node picks it for an exchange.
  pb::Part part;
  pb::RecordNotice& notice = *part.mutable_record_notice();
  notice.set_revision(static_cast<std::uint64_t>(local.number));
  notice.set_rest(local.rest);
  this->context.outbox.Add(from, part, SendPriority::kUpdate);
}

void RecordGossip::RequestChanges(const std::string& peer) {
  const SteadyTime now = SteadyClock::now();
  const bool is_recent = now - this->requested_at < this->context.options.exchange_period;
  if (this->request_pending && is_recent) return;
  this->request_pending = true;
  this->requested_at = now;
  pb::Part part;
  const records::BookRevision local = this->LocalRevision();
  pb::RecordRequest& request = *part.mutable_record_request();
  request.set_since_revision(static_cast<std::uint64_t>(local.number));
  request.set_since_rest(local.rest);
  this->context.outbox.Add(peer, part, SendPriority::kUpdate);
}

void RecordGossip::OnRequest(const pb::RecordRequest& request, const std::string& from) {
  const records::BookRevision since = RevisionOf(request.since_revision(), request.since_rest());
  const bool is_ahead = since < this->LocalRevision();
  if (!is_ahead || !this->hooks.changes_since) return;
  const std::string transfer = this->hooks.changes_since(since);
  const std::size_t max_chunk_bytes =
      this->context.options.max_message_bytes - kEnvelopeHeadroomBytes;
  const std::size_t count =
      std::max<std::size_t>(1, (transfer.size() + max_chunk_bytes - 1) / max_chunk_bytes);
  const std::uint64_t id = RandomBits();
  for (std::size_t i = 0; i < count; ++i) {
    pb::Part part;
    pb::TransferChunk& chunk = *part.mutable_transfer_chunk();
    chunk.set_transfer_id(id);
    chunk.set_index(static_cast<std::uint32_t>(i));
    chunk.set_count(static_cast<std::uint32_t>(count));
    chunk.set_data(transfer.substr(i * max_chunk_bytes, max_chunk_bytes));
    this->context.outbox.Add(from, part, SendPriority::kBulk);
  }
}

void RecordGossip::OnChunk(const pb::TransferChunk& chunk, const std::string& from) {
  if (chunk.count() == 0 || chunk.count() > kMaxChunks || chunk.index() >= chunk.count()) return;
  Incoming& transfer = this->incoming;
  const bool is_same = transfer.transfer_id == chunk.transfer_id() && transfer.from == from &&
                       transfer.chunks.size() == chunk.count();
  if (!is_same) {
    transfer.transfer_id = chunk.transfer_id();
    transfer.from = from;
    transfer.chunks.assign(chunk.count(), {});
    transfer.missing = chunk.count();
  }
  std::string& chunk_data = transfer.chunks[chunk.index()];
  if (!chunk_data.empty()) return;
  chunk_data = chunk.data();
  this->requested_at = SteadyClock::now();
  if (--transfer.missing > 0) return;

  std::string whole;
  for (const std::string& data : transfer.chunks) whole += data;
  transfer = {};
  this->request_pending = false;
  if (this->hooks.apply_transfer) this->hooks.apply_transfer(whole);
}

}  // namespace fireflyrun::membership
