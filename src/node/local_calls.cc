#include "node/local_calls.h"

#include <asio/post.hpp>
#include <utility>

namespace fireflyrun::node {

LocalCalls::LocalCalls(asio::io_context& event_loop, Hooks call_hooks)
    : loop(event_loop), hooks(std::move(call_hooks)) {}

void LocalCalls::Send(peer::Call call, AnswerHandler handler) {
  const Id128 call_id = Id128::FromBytes(call.head.call_id()).value_or(Id128::Random());
  this->in_transit.insert(call_id);
  asio::post(this->loop,
             [this, call_id, call = std::move(call), handler = std::move(handler)]() mutable {
               this->Deliver(call_id, std::move(call), std::move(handler));
             });
}

void LocalCalls::Deliver(const Id128& call_id, peer::Call call, AnswerHandler handler) {
  if (this->in_transit.erase(call_id) == 0) return;
  this->hooks.on_call(std::move(call), [this, handler = std::move(handler)](peer::Answer answer) {
    asio::post(this->loop,
               [handler, answer = std::move(answer)]() mutable { handler(std::move(answer)); });
  });
}

void LocalCalls::Cancel(const Id128& call_id) {
  if (this->in_transit.erase(call_id) > 0) return;
  this->hooks.on_cancel(call_id);
}

}  // namespace fireflyrun::node
