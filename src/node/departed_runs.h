#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace fireflyrun::node {

/// The runs of targets that said that they leave. None takes that back, also where its word comes
/// before the first that was heard of it.
class DepartedRuns {
 public:
  /// `born` is 0 where it isn't told: then the run is the next one heard of under this id.
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
