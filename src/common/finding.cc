#include "common/finding.h"

namespace fireflyrun {

std::string FormatFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += finding.place;
    text += ": ";
    text += finding.message;
    text += '\n';
  }
  return text;
}

}  // namespace fireflyrun
