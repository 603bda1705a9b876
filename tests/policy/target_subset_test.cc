#include "policy/target_subset.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace fireflyrun::policy {
namespace {

std::vector<Candidate> MakeCandidates(std::size_t count) {
  std::vector<Candidate> candidates(count);
  for (std::size_t i = 0; i < count; ++i) candidates[i].node = "10.0.0." + std::to_string(i);
  return candidates;
}

std::set<std::string> SubsetOf(const std::vector<Candidate>& candidates, const std::string& caller,
                               std::size_t size) {
  std::vector<const Candidate*> all;
  all.reserve(candidates.size());
  for (const Candidate& candidate : candidates) all.push_back(&candidate);
  std::set<std::string> nodes;
  for (const Candidate* chosen : TargetSubset(all, /*service=*/"tills", caller, size)) {
    nodes.insert(chosen->node);
  }
  return nodes;
}

RC_GTEST_PROP(TargetSubsetTest, RemovingATargetChangesAtMostOneElement, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 60);
  const auto size = *rc::gen::inRange<std::size_t>(1, 12);
  const auto removed_index = *rc::gen::inRange<std::size_t>(0, count);
  const auto caller = *rc::gen::string<std::string>();
  auto candidates = MakeCandidates(count);
  const auto before = SubsetOf(candidates, caller, size);
  RC_ASSERT(before.size() == std::min(count, size));
  candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(removed_index));
  // The order of the candidates must not matter either.
  std::reverse(candidates.begin(), candidates.end());
  const auto after = SubsetOf(candidates, caller, size);
  std::set<std::string> dropped_nodes;
  std::set_difference(before.begin(), before.end(), after.begin(), after.end(),
                      std::inserter(dropped_nodes, dropped_nodes.end()));
  RC_ASSERT(dropped_nodes.size() <= 1U);
}

TEST(TargetSubsetTest, SubsetsOfManyCallersUseAllTargetsEvenly) {
  const auto candidates = MakeCandidates(50);
  std::map<std::string, int> uses;
  for (int caller = 0; caller < 1000; ++caller) {
    for (const auto& node : SubsetOf(candidates, std::to_string(caller), 8)) uses[node] += 1;
  }
  ASSERT_EQ(uses.size(), 50U);
  // The mean is 1000 callers * 8 elements / 50 targets = 160 uses per target.
  for (const auto& [node, count] : uses) EXPECT_NEAR(count, 160, 80) << node;
}

}  // namespace
}  // namespace fireflyrun::policy
