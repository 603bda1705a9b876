#include "store/withdrawn_tickets.h"

namespace fireflyrun::store {

void WithdrawnTickets::Add(const std::string& store_key, const std::string& ticket,
                           SteadyTime now) {
  this->Forget(store_key, ticket);
  this->tickets.push_back({store_key, ticket, now});
  if (this->tickets.size() > RecentBindings::kMostKept) this->tickets.pop_front();
}

void WithdrawnTickets::Forget(const std::string& store_key, const std::string& ticket) {
  std::erase_if(this->tickets, [&](const RecentBindings::Binding& withdrawn) {
    return withdrawn.store_key == store_key && withdrawn.ticket == ticket;
  });
}

std::vector<RecentBindings::Binding> WithdrawnTickets::All(SteadyTime now) {
  std::erase_if(this->tickets, [now](const RecentBindings::Binding& withdrawn) {
    return now - withdrawn.seen_at > RecentBindings::kKeptTime;
  });
  return {this->tickets.begin(), this->tickets.end()};
}

}  // namespace fireflyrun::store
