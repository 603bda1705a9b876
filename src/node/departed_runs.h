#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace fireflyrun::node {

/// The runs of targets that announced their departure. A departure is final, even if it arrives
/// before the first announcement of its run.
class DepartedRuns {
 public:
  /// `born` is 0 when unknown: the run is then the next one that is announced under this id.
  void Add(const std::string& id, std::uint64_t born);

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
