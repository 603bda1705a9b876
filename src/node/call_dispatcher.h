#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "node/call_result.h"
#include "node/dispatch_services.h"
#include "node/outbound_call.h"
#include "policy/refusal_reason.h"

namespace fireflyrun::node {

class Dispatch;

/// Dispatches the calls that start at this node, with all their attempts.
class CallDispatcher {
 public:
  using DispatchId = std::uint64_t;
  using Handler = std::function<void(CallResult)>;

  explicit CallDispatcher(DispatchServices used_services);
  ~CallDispatcher();
  CallDispatcher(const CallDispatcher&) = delete;
  CallDispatcher& operator=(const CallDispatcher&) = delete;

  /// `handler` runs once, never inside Start(), unless the call is cancelled.
  DispatchId Start(OutboundCall call, Handler handler);

  /// Cancels a call whose caller no longer needs the answer, and its current attempt.
  void Cancel(DispatchId id);

  /// Ends a call because its parent has ended. The handler runs at once, or when the current
  /// attempt has reported whether it ran.
  void OnParentEnded(DispatchId id, policy::RefusalReason why);

  /// Ends all calls in progress, as the node's drain has ended. Their handlers run at once.
  void OnDrainEnded();

  std::size_t InProgress() const { return this->dispatches.size(); }

 private:
  DispatchServices services;
  std::unordered_map<DispatchId, std::shared_ptr<Dispatch>> dispatches;
  DispatchId last_id = 0;
};

}  // namespace fireflyrun::node
