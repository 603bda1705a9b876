#include "node/level_key.h"

#include "records/route_policy.h"

namespace fireflyrun::node {

std::string LevelKey(const records::RoutePolicy& route) {
  return route.service + '/' + route.class_name;
}

}  // namespace fireflyrun::node
