#pragma once

#include <cstddef>
#include <string>

namespace fireflyrun::policy {

struct TargetChooserOptions {
  std::string node = {};  ///< The choosing node.
  std::string zone = {};
  std::string region = {};
  std::size_t subset_size = 8;  ///< Targets per service and tier.
};

}  // namespace fireflyrun::policy
