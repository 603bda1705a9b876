#include "tests/peer/peer_harness.h"

#include <stdexcept>
#include <utility>

namespace fireflyrun::peer {

PeerHarness::PeerHarness(LinkOptions base) : options(std::move(base)) {
  this->StartServer(kIncarnation);
  const asio::ip::tcp::endpoint target(asio::ip::address_v4::loopback(), this->server->Port());
  this->proxy = std::make_unique<standins::FaultProxy>(this->loop, 0, target);
  this->address = {"b", kIncarnation, "127.0.0.1", this->proxy->Port()};
  LinkOptions caller = this->options;
  caller.node = "a";
  caller.incarnation = 1;
  this->pool = std::make_unique<LinkPool>(this->timers, caller);
}

LinkOptions PeerHarness::ShortLimits() {
  LinkOptions options;
  options.cluster = "test";
  options.heartbeat_period = std::chrono::milliseconds(20);
  options.silence_timeout = std::chrono::milliseconds(150);
  options.connect_timeout = std::chrono::milliseconds(200);
  options.give_up_timeout = std::chrono::milliseconds(600);
  return options;
}

LinkOptions PeerHarness::ServerOptions(std::uint64_t incarnation) const {
  LinkOptions called = this->options;
  called.node = "b";
  called.incarnation = incarnation;
  return called;
}

void PeerHarness::StartServer(std::uint64_t incarnation) {
  this->server = std::make_unique<LinkServer>(
      this->timers, this->ServerOptions(incarnation),
      [this](Call call, LinkServer::Reply reply) {
        this->ran.push_back(*Id128::FromBytes(call.head.call_id()));
        if (this->on_call) return this->on_call(std::move(call), std::move(reply));
        Answer answer;
        answer.head.set_outcome(pb::OUTCOME_ANSWERED);
        answer.body = std::move(call.body);
        reply(std::move(answer));
      },
      [this](const Id128& call_id) {
        this->cancelled.push_back(call_id);
        if (this->on_cancel) this->on_cancel();
      });
  const auto started = this->server->Start();
  if (!started) throw std::runtime_error(started.error());
}

bool PeerHarness::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const SteadyTime end = SteadyClock::now() + limit;
  while (!condition()) {
    if (SteadyClock::now() >= end) return false;
    this->loop.run_one_for(std::chrono::milliseconds(10));
    this->loop.restart();
  }
  return true;
}

std::shared_ptr<SentCall> PeerHarness::Send(std::string body, Duration limit, bool at_most_once) {
  auto sent = std::make_shared<SentCall>();
  sent->id = Id128::Random();
  Call call;
  call.head.set_call_id(sent->id.ToBytes());
  call.head.set_at_most_once(at_most_once);
  call.body = std::move(body);
  this->pool->Send(this->address, std::move(call), SteadyClock::now() + limit,
                   [sent](tl::expected<Answer, LinkError> result) {
                     ++sent->results;
                     sent->result = std::move(result);
                   });
  return sent;
}

bool PeerHarness::WarmUp() {
  const auto call = this->Send("warm");
  return this->RunUntilDone(call) && call->Answered("warm");
}

}  // namespace fireflyrun::peer
