#include "node/context_table.h"

#include "node/call_context.h"

namespace fireflyrun::node {

void ContextTable::Add(const std::shared_ptr<CallContext>& context) {
  context->handle = Id128::Random();
  this->contexts[context->handle] = context;
  if (!context->request_id.empty()) this->by_request[context->request_id].push_back(context);
}

void ContextTable::Remove(const Id128& handle) {
  const auto removed = this->contexts.extract(handle);
  if (removed.empty()) return;
  const auto same = this->by_request.find(removed.mapped()->request_id);
  if (same == this->by_request.end()) return;
  std::erase(same->second, removed.mapped());
  if (same->second.empty()) this->by_request.erase(same);
}

std::shared_ptr<CallContext> ContextTable::FindRequest(std::string_view request_id) const {
  const auto found = this->by_request.find(std::string(request_id));
  return found == this->by_request.end() ? nullptr : found->second.back();
}

std::shared_ptr<CallContext> ContextTable::Find(std::string_view handle) const {
  const auto id = Id128::FromHex(handle);
  if (!id) return nullptr;
  const auto found = this->contexts.find(*id);
  return found == this->contexts.end() ? nullptr : found->second;
}

}  // namespace fireflyrun::node
