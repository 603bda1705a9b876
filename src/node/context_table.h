#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/id128.h"

namespace fireflyrun::node {

struct CallContext;

/// The contexts of the calls that the local target is running, by handle and by request id. A call
/// that was cancelled while it ran is remembered until its deadline, because its target may
/// continue it and make further child calls.
class ContextTable {
 public:
  static constexpr std::size_t kMaxCancelledCalls = 10'000;

  /// Generates a random handle, stores it in the context, and keeps the context until Remove().
  void Add(const std::shared_ptr<CallContext>& context);
  void Remove(const Id128& handle);
  /// Removes the context of a call that was cancelled. Beyond kMaxCancelledCalls the oldest is
  /// forgotten.
  void RemoveCancelled(const Id128& handle, SteadyTime now);

  /// Null when the handle is malformed or its call has ended.
  std::shared_ptr<CallContext> Find(std::string_view handle) const;
  /// Finds the latest running call of a request by the request's id; null when none runs.
  std::shared_ptr<CallContext> FindRequest(std::string_view request_id) const;
  /// True for the handle and for the request id of a call that was cancelled.
  bool IsCancelled(std::string_view handle_or_request_id) const;
  std::size_t Size() const { return this->contexts.size(); }

 private:
  struct CancelledCall {
    std::string handle;
    std::string request_id;
    SteadyTime deadline;
  };

  std::shared_ptr<CallContext> Extract(const Id128& handle);
  void ForgetCancelled(SteadyTime now);
  void ForgetName(const std::string& name);

  std::unordered_map<Id128, std::shared_ptr<CallContext>> contexts;
  /// By request id; a request that its caller repeats may run more than once at a time.
  std::unordered_map<std::string, std::vector<std::shared_ptr<CallContext>>> by_request;
  std::deque<CancelledCall> cancelled;  ///< Oldest first.
  /// Handles and request ids of `cancelled`, with the number of its entries that have them.
  std::unordered_map<std::string, int> cancelled_names;
};

}  // namespace fireflyrun::node
