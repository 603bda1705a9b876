#include "policy/key_bindings.h"

namespace fireflyrun::policy {

tl::expected<Ticket, RefusalReason> KeyBindings::Bind(std::string_view service,
                                                      std::string_view key, const Ticket& ticket) {
  std::pair binding_key{std::string(service), std::string(key)};
  const auto binding = this->bindings.find(binding_key);
  if (binding != this->bindings.end()) return binding->second;
  if (this->bindings.size() >= this->capacity) return tl::unexpected(RefusalReason::kKeyLimit);
  this->bindings.emplace(std::move(binding_key), ticket);
  return ticket;
}

tl::expected<Ticket, RefusalReason> KeyBindings::Move(std::string_view service,
                                                      std::string_view key, const Ticket& from,
                                                      const Ticket& successor) {
  const auto binding = this->bindings.find({std::string(service), std::string(key)});
  if (binding == this->bindings.end()) return tl::unexpected(RefusalReason::kKeyLimit);
  if (binding->second == from) binding->second = successor;
  return binding->second;
}

}  // namespace fireflyrun::policy
