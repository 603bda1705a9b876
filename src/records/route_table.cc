#include "records/route_table.h"

#include <utility>

namespace fireflyrun::records {

bool RouteTable::Add(std::string_view host, std::string_view prefix, RouteEntry entry) {
  const HostName parts = SplitHost(host);
  Ports& ports = this->hosts[std::string(parts.name)];
  return ports[std::string(parts.port)].Add(prefix, std::move(entry));
}

const RouteEntry* RouteTable::Find(std::string_view host, std::string_view path) const {
  path = path.substr(0, path.find('?'));
  const HostName parts = SplitHost(host);
  if (!parts.name.empty()) {
    if (const RouteEntry* found = this->FindHost(parts, path)) return found;
  }
  return this->FindHost({}, path);
}

const RouteEntry* RouteTable::FindHost(const HostName& host, std::string_view path) const {
  const auto ports = this->hosts.find(host.name);
  if (ports == this->hosts.end()) return nullptr;
  if (!host.port.empty()) {
    const auto routes = ports->second.find(host.port);
    const RouteEntry* found = routes == ports->second.end() ? nullptr : routes->second.Find(path);
    if (found != nullptr) return found;
  }
  const auto routes = ports->second.find(std::string_view());
  return routes == ports->second.end() ? nullptr : routes->second.Find(path);
}

}  // namespace fireflyrun::records
