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

/// Sends single attempts of calls: grants them retries, reports their results to the target
/// chooser, and converts every outcome to an AttemptResult.
class AttemptSender {
 public:
  using Handler = std::function<void(AttemptResult)>;
  using AnswerHandler = std::function<void(tl::expected<peer::Answer, peer::LinkError>)>;

  /// Access to other nodes and to this node's own target service.
  struct Hooks {
    std::function<void(const peer::PeerAddress&, peer::Call, SteadyTime deadline, AnswerHandler)>
        send;
    std::function<void(const std::string& node, const Id128& call_id)> cancel;
    std::function<Duration(const std::string& node)> one_way_delay;
    /// Reports whether the node answered the attempt at all.
    std::function<void(const std::string& node, bool answered)> report;
  };

  AttemptSender(Hooks sender_hooks, policy::TargetChooser& target_chooser);

  /// `handler` runs once, never inside Send(), unless the attempt is cancelled. Returns the
  /// attempt's id.
  Id128 Send(const OutboundCall& call, const Attempt& attempt, Handler handler);

  /// The handler does not run, and the retries granted to the attempt are lost. Unknown ids are
  /// ignored.
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
