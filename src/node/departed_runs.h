#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace fireflyrun::node {

/// The runs of the local target whose departure was announced, at most the latest kMaxRuns. A
/// departure is final, even if it arrives before the first announcement of the run.
class DepartedRuns {
 public:
  /// Records the departure of a run; ignores an empty `id`. If `born` is 0 (unknown), the departure
  /// applies to the first run that is later passed with this id and a `born` other than 0; it is
  /// ignored if a departure of this id is already recorded.
  void Add(const std::string& id, std::uint64_t born);

  /// True if the run departed; if `born` is 0, true if any run with this id did. Not const, because
  /// it assigns `born` to a recorded departure of this id whose `born` is still unknown.
  bool Contains(const std::string& id, std::uint64_t born);

 private:
  struct Run {
    std::string id;
    std::uint64_t born = 0;
  };

  static constexpr std::size_t kMaxRuns = 32;

  std::deque<Run> runs;
};

}  // namespace fireflyrun::node
