#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <unordered_set>

#include "common/id128.h"
#include "peer/call.h"

namespace fireflyrun::node {

/// The way of calls to the node's own target, in place of a link: calls and answers arrive on a
/// later turn of the event loop. A call that is cancelled before its turn does not arrive.
class LocalCalls {
 public:
  using AnswerHandler = std::function<void(peer::Answer)>;

  struct Hooks {
    /// A call arrives; the handler takes its answer, once.
    std::function<void(peer::Call, AnswerHandler)> on_call;
    /// A call that has arrived is cancelled.
    std::function<void(const Id128& call_id)> on_cancel;
  };

  LocalCalls(asio::io_context& event_loop, Hooks call_hooks);

  void Send(peer::Call call, AnswerHandler handler);
  void Cancel(const Id128& call_id);

 private:
  void Deliver(const Id128& call_id, peer::Call call, AnswerHandler handler);

  asio::io_context& loop;
  Hooks hooks;
  std::unordered_set<Id128> in_transit;
};

}  // namespace fireflyrun::node
