#pragma once

#include <string>
#include <vector>

namespace fireflyrun::metrics {

/// One label of a sample.
struct Label {
  std::string name;
  std::string value;

  bool operator==(const Label&) const = default;
};

using Labels = std::vector<Label>;

}  // namespace fireflyrun::metrics
