#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/timer_service.h"
#include "common/timer_subscription.h"
#include "peer/call_table.h"
#include "peer/connection.h"
#include "peer/inbound_link.h"
#include "peer/link_server.h"

namespace fireflyrun::peer {

/// The state of a LinkServer, referenced weakly by the hooks of its connections and by open
/// replies.
class LinkServer::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(TimerService& timer_service, LinkOptions link_options, CallHook call_hook,
                 CancelHook cancel_hook);

  tl::expected<void, std::string> Start();
  void Close();

  std::uint16_t Port() const { return this->port; }
  const CallTable& Calls() const { return this->calls; }
  std::size_t OpenLinks() const { return this->links.size(); }
  const LinkCounters& Counters() const { return *this->counters; }

 private:
  using Link = std::shared_ptr<InboundLink>;
  using CallerKey = std::pair<std::string, std::uint64_t>;
  struct Arrival {
    Id128 call_id;
    Call call;
  };

  void Accept();
  void Open(asio::ip::tcp::socket socket);
  void CloseLink(Link link);
  void Sweep();

  /// Cancels the calls of callers that must have given them up but could not cancel them.
  void CancelOrphanedCalls(SteadyTime now);
  /// True if the caller's own side of the link has given its calls up by now.
  bool HasGivenUp(const InboundCaller& caller, SteadyTime now) const;
  /// Cancels what earlier incarnations of the node left, and drops the answers retained for them.
  void EndEarlierIncarnations(const pb::Hello& hello);
  void CancelOpenCall(const Id128& call_id);
  void CancelAll(const std::vector<Id128>& orphans);

  void OnFrame(const Link& link, pb::Frame& frame);
  void OnHello(const Link& link, const pb::Hello& hello);
  void OnHeartbeat(const Link& link, pb::Heartbeat& heartbeat);
  /// Counts and returns how long the call was on its way, by its caller's knowledge of this node's
  /// clock; zero if it has none. Too long by the quickest reply's time on its way back.
  Duration TakeTransitTime(const pb::CallHead& head);
  void OnCallHead(const Link& link, pb::CallHead& head);
  void OnCallChunk(const Link& link, pb::BodyChunk& chunk);
  void OnCancel(const Link& link, const pb::Cancel& cancel);
  void OnAnswerAck(const pb::AnswerAck& ack);
  void OnStateQuery(const Link& link, const pb::StateQuery& query);

  void DropPartial(const Link& link, const Id128& call_id);
  void Run(const Link& link, const Id128& call_id, Call call);
  /// Passes the calls on that have arrived and were not cancelled by what arrived with them.
  void DeliverArrivals();
  void Refuse(const Link& link, const Id128& call_id, std::string_view reason);
  void Finish(const Id128& call_id, Answer answer);
  bool HasRoomFor(const Answer& answer) const;
  std::shared_ptr<const policy::HeldBytesShare> CountAnswer(const Answer& answer) const;
  void Flush(const std::shared_ptr<Connection>& connection);

  TimerService& timers;
  LinkOptions options;
  CallHook on_call;
  CancelHook on_cancel;
  std::shared_ptr<LinkCounters> counters = std::make_shared<LinkCounters>();
  asio::ip::tcp::acceptor acceptor;
  std::uint16_t port = 0;
  std::set<Link> links;
  std::map<CallerKey, std::shared_ptr<InboundCaller>> callers;
  CallTable calls;
  std::vector<Arrival> arrivals;
  bool delivering = false;
  /// Connections with answers that were given while calls were passed on.
  std::set<std::shared_ptr<Connection>> unflushed;
  SteadyTime last_sweep;
  SteadyTime running_since;  ///< Since this process last paused, or since its start.
  TimerSubscription sweep_timer;
  TimerSubscription accept_timer;
  bool closed = false;
};

}  // namespace fireflyrun::peer
