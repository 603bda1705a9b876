#include "membership/delegates.h"

#include <gtest/gtest.h>

#include <set>

namespace fireflyrun::membership {
namespace {

const SteadyTime kStart{std::chrono::hours(1)};

Member MakeMember(const std::string& node, const std::string& zone) {
  Member member;
  member.node = node;
  member.zone = zone;
  member.ip = "127.0.0.1";
  return member;
}

std::vector<std::string> NamesOf(const View::StatePointers& states) {
  std::vector<std::string> names;
  for (const MemberState* state : states) names.push_back(state->member.node);
  return names;
}

TEST(Delegates, AllViewsRankTheSameDelegates) {
  View left(MakeMember("n0", "z"), kStart);
  View right(MakeMember("n9", "z"), kStart);
  for (int i = 0; i < 10; ++i) left.Merge(MakeMember("n" + std::to_string(i), "z"), kStart);
  for (int i = 9; i >= 0; --i) right.Merge(MakeMember("n" + std::to_string(i), "z"), kStart);
  EXPECT_EQ(NamesOf(RankDelegates(left, "z")), NamesOf(RankDelegates(right, "z")));
  EXPECT_EQ(RankDelegates(left, "z").size(), kDelegatesPerZone);
}

TEST(Delegates, NextRankedReplacesUnreachableDelegateAndCutZoneKeepsItsOwn) {
  View view(MakeMember("self", "own"), kStart);
  for (int i = 0; i < 10; ++i) view.Merge(MakeMember("n" + std::to_string(i), "z"), kStart);
  const std::vector<std::string> ranked = NamesOf(RankDelegates(view, "z", 3));
  view.SetZoneCut("z", true, kStart);
  EXPECT_EQ(NamesOf(RankDelegates(view, "z", 3)), ranked);
  view.SetReachability(ranked[0], Reachability::kUnreachable, kStart);
  EXPECT_FALSE(IsDelegate(view, ranked[0], "z"));
  EXPECT_TRUE(IsDelegate(view, ranked[1], "z"));
  EXPECT_TRUE(IsDelegate(view, ranked[2], "z"));
}

TEST(Delegates, RankingDependsOnTheZone) {
  std::set<std::string> firsts;
  for (int z = 0; z < 20; ++z) {
    const std::string zone = "z" + std::to_string(z);
    View view(MakeMember("n0", zone), kStart);
    for (int i = 1; i < 10; ++i) view.Merge(MakeMember("n" + std::to_string(i), zone), kStart);
    firsts.insert(NamesOf(RankDelegates(view, zone, 1)).front());
  }
  EXPECT_GT(firsts.size(), 4U);
}

}  // namespace
}  // namespace fireflyrun::membership
