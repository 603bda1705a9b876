#include "node/departed_runs.h"

namespace fireflyrun::node {

void DepartedRuns::Add(const std::string& id, std::uint64_t born) {
  if (id.empty() || this->Contains(id, born)) return;
  this->runs.push_back({id, born});
  if (this->runs.size() > kMaxRuns) this->runs.pop_front();
}

bool DepartedRuns::Contains(const std::string& id, std::uint64_t born) {
  for (Run& run : this->runs) {
    if (run.id != id) continue;
    if (run.born == 0) run.born = born;
    if (run.born == born || born == 0) return true;
  }
  return false;
}

}  // namespace fireflyrun::node
