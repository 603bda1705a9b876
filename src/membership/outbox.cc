#include "membership/outbox.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "membership/control_address.h"

namespace fireflyrun::membership {

namespace {

constexpr double kBulkReserve = 0.25;  // Share of burst_bytes that bulk parts leave unused.
constexpr char kPartsTag = (pb::Envelope::kPartsFieldNumber << 3) | 2;

void AppendPart(std::string& message, const std::string& part) {
  message.push_back(kPartsTag);
  std::size_t length = part.size();
  while (length >= 0x80) {
    message.push_back(static_cast<char>((length & 0x7F) | 0x80));
    length >>= 7;
  }
  message.push_back(static_cast<char>(length));
  message.append(part);
}

std::string HeaderOf(const MembershipOptions& options) {
  pb::Envelope envelope;
  envelope.set_cluster(options.cluster);
  envelope.set_node(options.self.node);
  envelope.set_incarnation(options.self.incarnation);
  envelope.set_zone(options.self.zone);
  envelope.set_address(ControlAddressOf(options.self));
  return envelope.SerializeAsString();
}

}  // namespace

Outbox::Outbox(TimerService& timer_service, const MembershipOptions& membership_options,
               SendHook send_hook, ControlCounters& shared_counters)
    : timers(timer_service),
      options(membership_options),
      send(std::move(send_hook)),
      counters(shared_counters),
      header(HeaderOf(membership_options)),
      tokens(static_cast<double>(membership_options.burst_bytes)),
      refilled_at(SteadyClock::now()) {}

void Outbox::Add(const std::string& address, const pb::Part& part, SendPriority priority) {
  this->AddToAll({address}, part, priority);
}

void Outbox::AddToAll(const std::vector<std::string>& addresses, const pb::Part& part,
                      SendPriority priority) {
  if (addresses.empty()) return;
  const auto* field = pb::Part::descriptor()->FindFieldByNumber(part.body_case());
  if (field == nullptr) return;
  this->counters.parts_sent[field->name()] += addresses.size();
  const auto bytes = std::make_shared<const std::string>(part.SerializeAsString());
  for (const std::string& address : addresses) this->Enqueue(address, bytes, priority);
}

void Outbox::Enqueue(const std::string& address, const PartBytes& part, SendPriority priority) {
  const bool is_full = this->queued_bytes + part->size() > this->options.max_queued_bytes;
  if (is_full && priority != SendPriority::kUrgent) {
    ++this->counters.dropped_queue_full;
    return;
  }
  this->peers[address][static_cast<std::size_t>(priority)].push_back(part);
  this->queued_bytes += part->size();
  if (this->flush_armed) return;
  this->flush_armed = true;
  this->flush_timer = this->timers.After(this->options.flush_period, [this] { this->Flush(); });
}

void Outbox::Refill() {
  const SteadyTime now = SteadyClock::now();
  const std::chrono::duration<double> elapsed = now - this->refilled_at;
  this->refilled_at = now;
  const double added = elapsed.count() * static_cast<double>(this->options.bytes_per_second);
  this->tokens = std::min(static_cast<double>(this->options.burst_bytes), this->tokens + added);
}

bool Outbox::MaySend(std::size_t priority) const {
  if (priority == static_cast<std::size_t>(SendPriority::kUrgent)) return true;
  if (priority == static_cast<std::size_t>(SendPriority::kUpdate)) return this->tokens > 0;
  return this->tokens > kBulkReserve * static_cast<double>(this->options.burst_bytes);
}

void Outbox::Flush() {
  this->flush_armed = false;
  this->Refill();
  std::vector<std::string> order;
  order.reserve(this->peers.size());
  for (const auto& [address, queues] : this->peers) order.push_back(address);
  const auto start = std::lower_bound(order.begin(), order.end(), this->next_peer);
  std::rotate(order.begin(), start, order.end());

  for (const std::string& address : order) {
    QueuesByPriority& queues = this->peers[address];
    this->FlushPeer(address, queues);
    const bool is_empty =
        std::all_of(queues.begin(), queues.end(), [](const Queue& queue) { return queue.empty(); });
    if (is_empty) this->peers.erase(address);
  }
  if (!order.empty()) this->next_peer = order.size() > 1 ? order[1] : order[0];
  if (this->peers.empty() || this->flush_armed) return;
  this->flush_armed = true;
  this->flush_timer = this->timers.After(this->options.flush_period, [this] { this->Flush(); });
}

void Outbox::FlushPeer(const std::string& address, QueuesByPriority& queues) {
  std::string message;
  for (std::size_t priority = 0; priority < kPriorityCount; ++priority) {
    Queue& queue = queues[priority];
    while (!queue.empty() && this->MaySend(priority)) {
      const PartBytes part = queue.front();
      queue.pop_front();
      this->queued_bytes -= part->size();
      const bool is_over = message.size() + part->size() > this->options.max_message_bytes;
      if (is_over && !message.empty()) this->Emit(address, std::exchange(message, {}));
      if (message.empty()) {
        message = this->header;
        this->tokens -= static_cast<double>(this->header.size());
      }
      AppendPart(message, *part);
      this->tokens -= static_cast<double>(part->size());
    }
  }
  if (!message.empty()) this->Emit(address, std::move(message));
}

void Outbox::Emit(const std::string& address, std::string message) {
  ++this->counters.messages_sent;
  this->counters.bytes_sent += message.size();
  this->send(address, std::move(message));
}

}  // namespace fireflyrun::membership
