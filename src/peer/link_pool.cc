#include "peer/link_pool.h"

#include <algorithm>
#include <asio/post.hpp>
#include <cstdint>
#include <map>
#include <utility>

#include "common/timer_service.h"
#include "peer/boot_time_codec.h"
#include "peer/checksum.h"
#include "peer/frame_codec.h"
#include "peer/link.h"

namespace fireflyrun::peer {

class LinkPool::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(TimerService& timer_service, LinkOptions link_options)
      : timers(timer_service),
        options(std::move(link_options)),
        last_number(static_cast<std::uint64_t>(SteadyClock::now().time_since_epoch().count())) {}

  void Send(const PeerAddress& peer, Call call, SteadyTime deadline, AnswerHandler handler);
  void Cancel(const Id128& call_id);
  Duration OneWayDelay(const std::string& node) const;
  std::size_t OpenLinks() const;
  std::size_t PendingCalls() const;
  std::size_t PendingCancels() const;
  const LinkCounters& Counters() const { return *this->counters; }
  void Close();
  void Drop();

 private:
  using LinkKey = std::pair<std::string, std::uint64_t>;

  std::shared_ptr<Link> LinkTo(const PeerAddress& peer);
  std::shared_ptr<Link> FindLink(const Id128& call_id) const;
  void Refuse(AnswerHandler handler, std::string message);
  void DropUnusedLinks();

  TimerService& timers;
  LinkOptions options;
  std::uint64_t last_number;  ///< Starts at the clock, so that a later pool's numbers are higher.
  std::shared_ptr<LinkCounters> counters = std::make_shared<LinkCounters>();
  std::map<LinkKey, std::shared_ptr<Link>> links;
  bool closed = false;
};

void LinkPool::Implementation::Send(const PeerAddress& peer, Call call, SteadyTime deadline,
                                    AnswerHandler handler) {
  if (this->closed) return this->Refuse(std::move(handler), "the link pool is closed");
  const auto call_id = Id128::FromBytes(call.head.call_id());
  if (!call_id) return this->Refuse(std::move(handler), "the call id is not 16 bytes long");
  if (call.head.ByteSizeLong() > kMaxHeadBytes) {
    return this->Refuse(std::move(handler), "the head is too long");
  }
  if (call.body.size() > this->options.max_body_bytes) {
    return this->Refuse(std::move(handler), "the body is too long");
  }
  const auto link = this->LinkTo(peer);
  if (link->HasCall(*call_id)) return this->Refuse(std::move(handler), "the call id is in use");
  call.head.set_body_length(call.body.size());
  call.head.set_body_crc32(Checksum(call.body));
  if (call.deadline == SteadyTime()) call.deadline = deadline;
  if (call.head.deadline_us() == 0) {
    call.head.set_deadline_us(EncodeMicroseconds(deadline - SteadyClock::now()));
  }
  ++this->counters->calls;
  link->Send(*call_id, std::move(call), deadline, std::move(handler));
}

void LinkPool::Implementation::Refuse(AnswerHandler handler, std::string message) {
  asio::post(this->timers.Loop(),
             [handler = std::move(handler), message = std::move(message)]() mutable {
               handler(tl::make_unexpected(LinkError{LinkErrorKind::kNotSent, std::move(message)}));
             });
}

std::shared_ptr<Link> LinkPool::Implementation::LinkTo(const PeerAddress& peer) {
  auto& link = this->links[LinkKey(peer.node, peer.incarnation)];
  if (link) {
    link->SetAddress(peer);
    return link;
  }
  link = std::make_shared<Link>(this->timers, this->options, peer, this->counters,
                                [this] { return ++this->last_number; });
  const auto added = link;
  this->DropUnusedLinks();
  return this->links[LinkKey(peer.node, peer.incarnation)] = added;
}

void LinkPool::Implementation::DropUnusedLinks() {
  std::erase_if(this->links, [](const auto& entry) { return entry.second->IsUnused(); });
}

std::shared_ptr<Link> LinkPool::Implementation::FindLink(const Id128& call_id) const {
  for (const auto& [key, link] : this->links) {
    if (link->HasCall(call_id)) return link;
  }
  return nullptr;
}

void LinkPool::Implementation::Cancel(const Id128& call_id) {
  if (const auto link = this->FindLink(call_id)) link->Cancel(call_id);
}

Duration LinkPool::Implementation::OneWayDelay(const std::string& node) const {
  Duration delay{};
  for (auto link = this->links.lower_bound(LinkKey(node, 0));
       link != this->links.end() && link->first.first == node; ++link) {
    delay = link->second->OneWayDelay();
  }
  return delay;
}

std::size_t LinkPool::Implementation::OpenLinks() const {
  std::size_t open = 0;
  for (const auto& [key, link] : this->links) open += link->IsOpen() ? 1 : 0;
  return open;
}

std::size_t LinkPool::Implementation::PendingCalls() const {
  std::size_t pending = 0;
  for (const auto& [key, link] : this->links) pending += link->PendingCalls();
  return pending;
}

std::size_t LinkPool::Implementation::PendingCancels() const {
  std::size_t pending = 0;
  for (const auto& [key, link] : this->links) pending += link->PendingCancels();
  return pending;
}

void LinkPool::Implementation::Close() {
  this->closed = true;
  for (const auto& [key, link] : this->links) link->Close();
}

void LinkPool::Implementation::Drop() {
  this->closed = true;
  for (const auto& [key, link] : this->links) link->Drop();
}

LinkPool::LinkPool(TimerService& timers, LinkOptions options)
    : implementation(std::make_shared<Implementation>(timers, std::move(options))) {}

LinkPool::~LinkPool() { this->implementation->Drop(); }

void LinkPool::Send(const PeerAddress& peer, Call call, SteadyTime deadline,
                    AnswerHandler handler) {
  this->implementation->Send(peer, std::move(call), deadline, std::move(handler));
}

void LinkPool::Cancel(const Id128& call_id) { this->implementation->Cancel(call_id); }

Duration LinkPool::OneWayDelay(const std::string& node) const {
  return this->implementation->OneWayDelay(node);
}

std::size_t LinkPool::OpenLinks() const { return this->implementation->OpenLinks(); }

std::size_t LinkPool::PendingCalls() const { return this->implementation->PendingCalls(); }

std::size_t LinkPool::PendingCancels() const { return this->implementation->PendingCancels(); }

const LinkCounters& LinkPool::Counters() const { return this->implementation->Counters(); }

void LinkPool::Close() { this->implementation->Close(); }

}  // namespace fireflyrun::peer
