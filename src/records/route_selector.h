#pragma once

#include <string>

namespace fireflyrun::records {

/// Which calls a route takes.
struct RouteSelector {
  std::string host;  ///< Empty is any host.
  std::string prefix;
};

}  // namespace fireflyrun::records
