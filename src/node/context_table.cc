#include "node/context_table.h"

#include <utility>

#include "node/call_context.h"

namespace fireflyrun::node {

void ContextTable::Add(const std::shared_ptr<CallContext>& context) {
  context->handle = Id128::Random();
  this->contexts[context->handle] = context;
  if (!context->request_id.empty()) this->by_request[context->request_id].push_back(context);
}

std::shared_ptr<CallContext> ContextTable::Extract(const Id128& handle) {
  auto removed = this->contexts.extract(handle);
  if (removed.empty()) return nullptr;
  const auto same = this->by_request.find(removed.mapped()->request_id);
  if (same == this->by_request.end()) return std::move(removed.mapped());
  std::erase(same->second, removed.mapped());
  if (same->second.empty()) this->by_request.erase(same);
  return std::move(removed.mapped());
}

void ContextTable::Remove(const Id128& handle) { this->Extract(handle); }

void ContextTable::RemoveCancelled(const Id128& handle, SteadyTime now) {
  const auto context = this->Extract(handle);
  if (!context) return;
  this->cancelled.push_back({handle.ToHex(), context->request_id, context->deadline});
  ++this->cancelled_names[handle.ToHex()];
  if (!context->request_id.empty()) ++this->cancelled_names[context->request_id];
  this->ForgetCancelled(now);
}

/// Deadlines aren't in order, so a call may be remembered until those before it are forgotten.
void ContextTable::ForgetCancelled(SteadyTime now) {
  while (!this->cancelled.empty()) {
    const CancelledCall& oldest = this->cancelled.front();
    const bool full = this->cancelled.size() > kMaxCancelledCalls;
    if (!full && oldest.deadline > now) return;
    this->ForgetName(oldest.handle);
    this->ForgetName(oldest.request_id);
    this->cancelled.pop_front();
  }
}

void ContextTable::ForgetName(const std::string& name) {
  const auto found = this->cancelled_names.find(name);
  if (found != this->cancelled_names.end() && --found->second == 0) {
    this->cancelled_names.erase(found);
  }
}

bool ContextTable::IsCancelled(std::string_view handle_or_request_id) const {
  return this->cancelled_names.contains(std::string(handle_or_request_id));
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
