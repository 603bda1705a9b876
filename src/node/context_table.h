#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/id128.h"

namespace fireflyrun::node {

struct CallContext;

/// The contexts of the calls that the local target is running, by handle and by request id.
class ContextTable {
 public:
  /// Generates a random handle, stores it in the context, and keeps the context until Remove().
  void Add(const std::shared_ptr<CallContext>& context);
  void Remove(const Id128& handle);

  /// Null when the handle is malformed or its call has ended.
  std::shared_ptr<CallContext> Find(std::string_view handle) const;
  /// Finds the latest running call of a request by the request's id; null when none runs.
  std::shared_ptr<CallContext> FindRequest(std::string_view request_id) const;
  std::size_t Size() const { return this->contexts.size(); }

 private:
  std::unordered_map<Id128, std::shared_ptr<CallContext>> contexts;
  /// By request id; a request that its caller repeats may run more than once at a time.
  std::unordered_map<std::string, std::vector<std::shared_ptr<CallContext>>> by_request;
};

}  // namespace fireflyrun::node
