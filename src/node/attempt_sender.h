#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

#include "common/clock.h"
#include "common/id128.h"
#include "node/attempt.h"
#include "node/attempt_result.h"
#include "peer/call.h"
#include "peer/link_error.h"
#include "policy/retry_allotment.h"
#include "policy/retry_grant.h"

namespace fireflyrun::policy {
class TargetChooser;
}

namespace fireflyrun::node {

struct OutboundCall;

/// Sends single attempts of calls: lends them retries, tells the target chooser what came of them,
/// and turns every way in which they end into an AttemptResult.
class AttemptSender {
 public:
  using Handler = std::function<void(AttemptResult)>;
  using AnswerHandler = std::function<void(tl::expected<peer::Answer, peer::LinkError>)>;

  /// The way to another node, or to this node's own target service.
  struct Hooks {
    std::function<void(const peer::PeerAddress&, peer::Call, SteadyTime deadline, AnswerHandler)>
        send;
    std::function<void(const std::string& node, const Id128& call_id)> cancel;
    std::function<Duration(const std::string& node)> one_way_delay;
    /// What the attempt shows about the node: true when it answered at all.
    std::function<void(const std::string& node, bool answered)> report;
  };

  AttemptSender(Hooks path, policy::TargetChooser& target_chooser);

  /// `handler` runs once, never inside Send(), unless the attempt is cancelled. Returns its id.
  Id128 Send(const OutboundCall& call, const Attempt& attempt, Handler handler);

  /// The handler will not run; what was lent with the attempt is lost. Unknown ids are ignored.
  void Cancel(const Id128& call_id);

 private:
  struct Pending {
    std::string node;
    std::string level_key;
    SteadyTime sent_at;
    std::shared_ptr<policy::RetryAllotment> allotment;
    policy::RetryGrant grant;
    Handler handler;
  };

  peer::Call BuildCall(const OutboundCall& call, const Attempt& attempt, const Id128& call_id,
                       const policy::RetryGrant& grant) const;
  void OnEnded(const Id128& call_id, tl::expected<peer::Answer, peer::LinkError> ended);
  void Report(const Pending& pending, const AttemptResult& result);

  Hooks hooks;
  policy::TargetChooser& chooser;
  std::unordered_map<Id128, Pending> pending_attempts;
};

}  // namespace fireflyrun::node
