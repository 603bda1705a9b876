#include "node/level_key.h"

#include "records/call_policy.h"

namespace fireflyrun::node {

std::string LevelKey(const records::CallPolicy& route) {
  return route.service + '/' + route.class_name;
}

}  // namespace fireflyrun::node
