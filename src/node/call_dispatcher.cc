#include "node/call_dispatcher.h"

#include <utility>

#include "node/dispatch.h"

namespace fireflyrun::node {

CallDispatcher::CallDispatcher(DispatchServices used_services)
    : services(std::move(used_services)) {}

CallDispatcher::~CallDispatcher() {
  for (const auto& [id, dispatch] : this->dispatches) dispatch->Abandon();
}

CallDispatcher::DispatchId CallDispatcher::Start(OutboundCall call, Handler handler) {
  const DispatchId id = ++this->last_id;
  auto dispatch = std::make_shared<Dispatch>(
      this->services, std::move(call), [this, id, handler = std::move(handler)](CallResult result) {
        this->dispatches.erase(id);
        handler(std::move(result));
      });
  this->dispatches[id] = dispatch;
  dispatch->Start();
  return id;
}

void CallDispatcher::Cancel(DispatchId id) {
  const auto node = this->dispatches.extract(id);
  if (!node.empty()) node.mapped()->Cancel();
}

void CallDispatcher::OnParentEnded(DispatchId id, policy::RefusalReason why) {
  const auto found = this->dispatches.find(id);
  if (found == this->dispatches.end()) return;
  // Keeps the dispatch alive: ending it removes it from the table.
  const std::shared_ptr<Dispatch> dispatch = found->second;
  dispatch->OnParentEnded(why);
}

void CallDispatcher::OnDrainEnded() {
  // A copy keeps the dispatches alive: ending one removes it from the table, and its parent's end
  // may end others.
  const auto open = this->dispatches;
  for (const auto& [id, dispatch] : open) {
    if (this->dispatches.contains(id)) dispatch->OnDrainEnded();
  }
}

}  // namespace fireflyrun::node
