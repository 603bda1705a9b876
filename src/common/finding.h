#pragma once

#include <string>
#include <vector>

namespace fireflyrun {

/// One thing wrong with an input, with the place where it stands.
struct Finding {
  std::string place;    ///< `FILE:/json/pointer`, a flag, or a variable.
  std::string message;  ///< What is wrong and what is allowed.
};

using Findings = std::vector<Finding>;

/// One finding a line, `PLACE: MESSAGE`.
std::string FormatFindings(const Findings& findings);

}  // namespace fireflyrun
