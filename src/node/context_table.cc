#include "node/context_table.h"

#include "node/call_context.h"

namespace fireflyrun::node {

void ContextTable::Add(const std::shared_ptr<CallContext>& context) {
  context->handle = Id128::Random();
  this->contexts[context->handle] = context;
}

void ContextTable::Remove(const Id128& handle) { this->contexts.erase(handle); }

std::shared_ptr<CallContext> ContextTable::Find(std::string_view handle) const {
  const auto id = Id128::FromHex(handle);
  if (!id) return nullptr;
  const auto found = this->contexts.find(*id);
  return found == this->contexts.end() ? nullptr : found->second;
}

}  // namespace fireflyrun::node
