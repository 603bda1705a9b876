// Measures one node's membership and ticket ledger in one process at the sizes that a fleet of
// processes on one machine cannot reach.

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <cstdio>
#include <functional>
#include <memory>

#include "bench/capacity_samples.h"
#include "common/random.h"
#include "common/timer_service.h"
#include "membership/control.pb.h"
#include "membership/member_codec.h"
#include "membership/membership.h"
#include "membership/name_hash.h"
#include "peer/call_table.h"
#include "policy/ticket_ledger.h"

namespace fireflyrun::bench {
namespace {

namespace pb = membership::pb;

constexpr int kZones = 14;
constexpr int kUpdates = 2000;
constexpr int kWatchChecks = 200;
constexpr int kPort = 7403;
constexpr std::size_t kNoLimit = std::size_t{1} << 40;
constexpr std::chrono::milliseconds kExchangeTime{500};
constexpr std::size_t kAnswerBytes = 200;

double AllocatedBytes() { return static_cast<double>(mallinfo2().uordblks); }

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

std::string ZoneName(int zone) { return "zone-" + std::to_string(zone); }

membership::Member MakeMember(int number) {
  membership::Member member;
  member.node = "host-" + std::to_string(10'000 + number) + ".example";
  member.incarnation = RandomBits();
  member.version = 1;
  member.zone = ZoneName(number % kZones);
  member.region = "region-" + std::to_string(number % kZones % 6);
  member.ip = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250);
  member.caller_port = 7400;
  member.peer_port = 7402;
  member.control_port = kPort;
  member.admin_port = 7401;
  member.service = "service-" + std::to_string(number % 68);
  member.slots = 20;
  member.target_state = membership::TargetState::kServing;
  member.ticket_window = 7;
  return member;
}

/// The members of one zone by descending delegate rank.
std::vector<membership::Member> RankedZone(int nodes) {
  std::vector<membership::Member> zone;
  for (int i = 0; i < nodes; i += kZones) zone.push_back(MakeMember(i));
  const auto rank = [](const membership::Member& member) {
    return MixBits(membership::HashName(member.node) ^ membership::HashName(member.zone));
  };
  std::sort(zone.begin(), zone.end(),
            [&rank](const auto& left, const auto& right) { return rank(left) > rank(right); });
  return zone;
}

/// One node's membership with the entries of all others; messages that it sends are discarded.
class IsolatedMembership {
 public:
  IsolatedMembership(int nodes, bool is_delegate);

  void Deliver(const pb::Part& part);
  /// Delivers a newer version of another node's entry.
  void DeliverUpdate();
  void RunReadyHandlers() {
    this->loop.restart();
    this->loop.poll();
  }

  asio::io_context loop;
  TimerService timers{loop};
  std::vector<membership::Member> members;
  std::unique_ptr<membership::Membership> node;

 private:
  std::size_t next = 0;
  std::string self;
};

IsolatedMembership::IsolatedMembership(int nodes, bool is_delegate) {
  const auto zone = RankedZone(nodes);
  membership::MembershipOptions options;
  options.cluster = "measured";
  options.self = is_delegate ? zone.front() : zone.back();
  options.flush_period = Duration::zero();
  options.exchange_period = std::chrono::milliseconds(1);
  options.ping_period = std::chrono::hours(1);
  options.bytes_per_second = kNoLimit;
  options.burst_bytes = kNoLimit;
  options.max_queued_bytes = kNoLimit;
  this->self = options.self.node;
  const auto send = [](const std::string&, const std::string&) {};
  this->node = std::make_unique<membership::Membership>(this->timers, options, send,
                                                        membership::RecordHooks());
  for (int i = 0; i < nodes; ++i) {
    membership::Member member = MakeMember(i);
    if (member.node != this->self) this->members.push_back(std::move(member));
  }
  pb::Envelope all;
  for (const auto& member : this->members) {
    *all.add_parts()->mutable_member() = membership::EncodeMember(member);
  }
  all.set_cluster("measured");
  all.set_node("sender");
  all.set_zone(ZoneName(0));
  all.set_address("10.9.9.9:7403");
  this->node->OnMessage(all.SerializeAsString());
  this->RunReadyHandlers();
}

void IsolatedMembership::Deliver(const pb::Part& part) {
  pb::Envelope envelope;
  envelope.set_cluster("measured");
  envelope.set_node("sender");
  envelope.set_incarnation(1);
  envelope.set_zone(ZoneName(0));
  envelope.set_address("10.9.9.9:7403");
  *envelope.add_parts() = part;
  this->node->OnMessage(envelope.SerializeAsString());
  this->RunReadyHandlers();
}

void IsolatedMembership::DeliverUpdate() {
  membership::Member& member = this->members[this->next++ % this->members.size()];
  ++member.version;
  pb::Part part;
  *part.mutable_member() = membership::EncodeMember(member);
  part.mutable_member()->set_pushed(true);
  this->Deliver(part);
}

/// Measures one membership against the number of members, which are spread over kZones zones.
/// Samples state one zone so that a line is fitted through them.
class MembershipMeasures {
 public:
  explicit MembershipMeasures(CapacitySamples& all_samples) : samples(all_samples) {}

  void Run(int nodes) {
    this->MeasureMemory(nodes);
    for (const bool is_delegate : {false, true}) this->MeasureRole(nodes, is_delegate);
  }

 private:
  void AddSample(const std::string& measure, int nodes, double value) {
    this->samples.Add(measure, 1, nodes, value);
  }

  void MeasureMemory(int nodes) {
    const double before = AllocatedBytes();
    IsolatedMembership isolated(nodes, false);
    isolated.members = {};
    this->AddSample("view_allocated_bytes", nodes, AllocatedBytes() - before);
  }

  void MeasureRole(int nodes, bool is_delegate) {
    const std::string role = is_delegate ? "delegate_" : "node_";
    IsolatedMembership isolated(nodes, is_delegate);
    const auto& counters = isolated.node->Counters();
    double bytes = static_cast<double>(counters.bytes_sent);
    double start = ThreadSeconds();
    for (int i = 0; i < kUpdates; ++i) isolated.DeliverUpdate();
    const double update_seconds = ThreadSeconds() - start;
    this->AddSample(role + "news_processor_microseconds", nodes, 1e6 * update_seconds / kUpdates);
    this->AddSample(role + "news_sent_bytes", nodes,
                    (static_cast<double>(counters.bytes_sent) - bytes) / kUpdates);
    start = ThreadSeconds();
    for (int i = 0; i < kWatchChecks; ++i) isolated.node->ShouldWatchStore();
    this->AddSample(role + "watch_check_processor_microseconds", nodes,
                    1e6 * (ThreadSeconds() - start) / kWatchChecks);
    this->MeasureFirstView(isolated, role, nodes);
    this->MeasureExchange(isolated, role, nodes);
  }

  void MeasureFirstView(IsolatedMembership& isolated, const std::string& role, int nodes) {
    const auto& counters = isolated.node->Counters();
    const double bytes = static_cast<double>(counters.bytes_sent);
    pb::Part join;
    join.mutable_join();
    isolated.Deliver(join);
    const double welcome = static_cast<double>(counters.bytes_sent) - bytes;
    for (int zone = 0; zone < kZones; ++zone) {
      pb::Part marks;
      marks.mutable_marks()->set_zone(ZoneName(zone));
      isolated.Deliver(marks);
    }
    const double first_view = static_cast<double>(counters.bytes_sent) - bytes;
    this->AddSample(role + "welcome_sent_bytes", nodes, welcome);
    this->AddSample(role + "first_view_sent_bytes", nodes, first_view);
  }

  void MeasureExchange(IsolatedMembership& isolated, const std::string& role, int nodes) {
    const auto& counters = isolated.node->Counters();
    const double bytes = static_cast<double>(counters.bytes_sent);
    const auto messages = counters.messages_sent;
    isolated.node->Start();
    const double start = ThreadSeconds();
    isolated.loop.restart();
    isolated.loop.run_for(kExchangeTime);
    const double used = ThreadSeconds() - start;
    const auto sent = static_cast<double>(counters.messages_sent - messages);
    this->AddSample(role + "digest_sent_bytes", nodes,
                    (static_cast<double>(counters.bytes_sent) - bytes) / sent);
    this->AddSample(role + "digest_processor_microseconds", nodes, 1e6 * used / sent);
  }

  CapacitySamples& samples;
};

/// Measures the memory of completed tickets; `answer` may return null.
void MeasureTickets(CapacitySamples& samples, int tickets, const std::string& kind,
                    const std::function<std::shared_ptr<const std::string>()>& answer) {
  const double before = AllocatedBytes();
  const SteadyTime now = SteadyClock::now();
  policy::TicketLedgerLimits limits;
  limits.entries_per_window = kNoLimit;
  limits.answer_bytes = kNoLimit;
  policy::TicketLedger ledger("host-1", 1, limits, now);
  for (int i = 0; i < tickets; ++i) {
    const policy::Ticket ticket = ledger.IssueOwn(now);
    ledger.Claim(ticket, std::nullopt, now);
    ledger.Start(ticket, now);
    ledger.Complete(ticket, answer());
  }
  samples.Add(kind + "_allocated_bytes", 1, tickets, AllocatedBytes() - before);
}

/// Measures the memory of calls that are finished and acknowledged.
void MeasureAcknowledgedCalls(CapacitySamples& samples, int calls) {
  const double before = AllocatedBytes();
  const SteadyTime now = SteadyClock::now();
  peer::CallTable table(kNoLimit, kNoLimit);
  const auto caller = std::make_shared<peer::InboundCaller>();
  for (int i = 0; i < calls; ++i) {
    const Id128 id = Id128::Random();
    table.Begin(id, caller, now, now);
    table.Finish(id, peer::Answer(), now);
    table.Acknowledge(id, now);
  }
  samples.Add("seen_calls_allocated_bytes", 1, calls, AllocatedBytes() - before);
}

int Run(const std::string& json_path) {
  CapacitySamples samples;
  MembershipMeasures measures(samples);
  // Keeps one-time allocations of the libraries out of the first measure.
  { const IsolatedMembership warm_up(kZones, false); }
  for (const int nodes : {336, 672, 1344, 2700, 5400}) measures.Run(nodes);
  for (const int count : {10'000, 20'000, 40'000, 80'000, 160'000}) {
    MeasureTickets(samples, count, "ticket_without_answer", [] { return nullptr; });
    MeasureTickets(samples, count, "ticket_with_answer_of_200_bytes",
                   [] { return std::make_shared<const std::string>(kAnswerBytes, 'x'); });
    MeasureAcknowledgedCalls(samples, count);
  }
  samples.PrintFits(0);
  samples.WriteJson(json_path);
  return 0;
}

}  // namespace
}  // namespace fireflyrun::bench

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: capacity_parts_bench FILE.json\n");
    return 2;
  }
  return fireflyrun::bench::Run(argv[1]);
}
