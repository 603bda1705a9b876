#include "store/etcd_endpoints.h"

#include <algorithm>
#include <utility>

namespace fireflyrun::store {

EtcdEndpoints::EtcdEndpoints(std::vector<std::string> addresses)
    : endpoints(std::move(addresses)) {}

std::string EtcdEndpoints::Url(const std::string& path) const {
  const std::string address = this->endpoints.empty() ? "" : this->endpoints[this->current];
  return "http://" + address + path;
}

std::size_t EtcdEndpoints::Attempts() const {
  return std::max<std::size_t>(this->endpoints.size(), 1);
}

void EtcdEndpoints::SwitchFrom(const std::string& failed_url) {
  if (this->endpoints.empty() || !failed_url.starts_with(this->Url("/"))) return;
  this->current = (this->current + 1) % this->endpoints.size();
}

}  // namespace fireflyrun::store
