#include "membership/view.h"

#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace fireflyrun::membership {
namespace {

const SteadyTime kStart{std::chrono::hours(1)};

Member MakeMember(const std::string& node, std::uint64_t incarnation, std::uint64_t version) {
  Member member;
  member.node = node;
  member.incarnation = incarnation;
  member.version = version;
  member.zone = "z1";
  member.ip = "127.0.0.1";
  member.control_port = 1;
  return member;
}

Member MakeSelf() { return MakeMember("self", 5, 1); }

/// An entry whose fields are a function of (node, incarnation, version), as for a real node.
Member EntryFrom(int node, int incarnation, int version) {
  Member member = MakeMember("n" + std::to_string(node), incarnation, version);
  member.zone = "z" + std::to_string((node + incarnation) % 3);
  member.service = version % 2 == 0 ? "s" + std::to_string(version % 3) : "";
  member.target_state = member.service.empty() ? TargetState::kAbsent : TargetState::kServing;
  member.stopped = version == 4;
  return member;
}

std::vector<Member> AnyEntries() {
  std::vector<Member> entries;
  const auto keys = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(1, 4), rc::gen::inRange(0, 5)));
  entries.reserve(keys.size());
  for (const auto& [node, incarnation, version] : keys) {
    entries.push_back(EntryFrom(node, incarnation, version));
  }
  return entries;
}

/// The contents of a view, independent of the order of arrival.
std::vector<std::string> ContentsOf(const View& view) {
  std::vector<std::string> contents;
  for (const std::string& zone : view.Zones()) {
    contents.push_back(zone + " " + std::to_string(view.DigestOf(zone)) + " " +
                       std::to_string(view.CountPresent(zone)));
    for (const MemberState* state : view.MembersOf(zone)) {
      contents.push_back(state->member.node + " " + std::to_string(state->fingerprint));
    }
  }
  for (const char* service : {"s0", "s1", "s2"}) {
    for (const MemberState* state : view.Candidates(service)) {
      contents.push_back(std::string(service) + " " + state->member.node);
    }
  }
  std::sort(contents.begin(), contents.end());
  return contents;
}

RC_GTEST_PROP(ViewProperty, MergeIsIndependentOfOrderAndRepetition, ()) {
  std::vector<Member> entries = AnyEntries();
  View forward(MakeSelf(), kStart);
  View backward(MakeSelf(), kStart);
  for (const Member& entry : entries) forward.Merge(entry, kStart);
  std::reverse(entries.begin(), entries.end());
  for (const Member& entry : entries) {
    backward.Merge(entry, kStart);
    RC_ASSERT(backward.Merge(entry, kStart) == MergeResult::kStale);
  }
  RC_ASSERT(ContentsOf(forward) == ContentsOf(backward));
}

RC_GTEST_PROP(ViewProperty, OlderEntryNeverReplacesANewerOne, ()) {
  View view(MakeSelf(), kStart);
  for (const Member& entry : AnyEntries()) {
    const MemberState* state = view.Find(entry.node);
    const auto before = state == nullptr
                            ? std::pair<std::uint64_t, std::uint64_t>(0, 0)
                            : std::pair(state->member.incarnation, state->member.version);
    view.Merge(entry, kStart);
    state = view.Find(entry.node);
    const auto after = std::pair(state->member.incarnation, state->member.version);
    RC_ASSERT(after >= before);
    RC_ASSERT(after >= std::pair(entry.incarnation, entry.version));
  }
}

RC_GTEST_PROP(ViewProperty, FingerprintExchangeMakesTwoViewsEqual, ()) {
  View left(MakeSelf(), kStart);
  View right(MakeSelf(), kStart);
  for (const Member& entry : AnyEntries()) left.Merge(entry, kStart);
  for (const Member& entry : AnyEntries()) right.Merge(entry, kStart);
  for (int round = 0; round < 2; ++round) {
    for (const char* zone : {"z0", "z1", "z2"}) {
      for (const MemberState* state : right.MissingFrom(zone, left.FingerprintsIn(zone))) {
        left.Merge(Member(state->member), kStart);
      }
      for (const MemberState* state : left.FindByFingerprint(
               zone, right.UnknownFingerprints(zone, left.FingerprintsIn(zone)))) {
        right.Merge(Member(state->member), kStart);
      }
    }
  }
  for (const MemberState* state : left.MembersOf("z0")) {
    const MemberState* other = right.Find(state->member.node);
    if (state->IsPresent() && other->IsPresent()) {
      RC_ASSERT(state->fingerprint == other->fingerprint);
    }
  }
}

TEST(View, RaisesOwnVersionAboveReceivedEntryWithoutAdoptingIt) {
  View view(MakeSelf(), kStart);
  Member echo = MakeMember("self", 5, 9);
  echo.stopped = true;
  EXPECT_EQ(view.Merge(echo, kStart), MergeResult::kStale);
  EXPECT_EQ(view.Self().version, 10U);
  EXPECT_FALSE(view.Self().stopped);
  EXPECT_TRUE(view.Conflicts().empty());
}

/// The host's clock went back between two runs of the node.
TEST(View, NewRunWithALowerIncarnationReplacesTheEndedOne) {
  View others(MakeMember("other", 1, 1), kStart);
  Member ended = MakeMember("self", 9, 7);
  ended.stopped = true;
  others.Merge(ended, kStart);
  View view(MakeSelf(), kStart);
  EXPECT_EQ(others.Merge(view.Self(), kStart), MergeResult::kStale);
  EXPECT_EQ(view.Merge(ended, kStart), MergeResult::kStale);
  EXPECT_TRUE(view.Conflicts().empty());
  EXPECT_EQ(view.Self().incarnation, 5U);
  EXPECT_FALSE(view.Self().stopped);
  EXPECT_EQ(others.Merge(view.Self(), kStart), MergeResult::kNewer);
  EXPECT_FALSE(others.Find("self")->member.stopped);
  EXPECT_EQ(others.Merge(ended, kStart), MergeResult::kStale);
  // A later run takes over the generation, and its own higher incarnation decides.
  View later(MakeMember("self", 12, 1), kStart);
  EXPECT_EQ(later.Merge(view.Self(), kStart), MergeResult::kStale);
  EXPECT_EQ(later.Self().generation, view.Self().generation);
  EXPECT_EQ(others.Merge(later.Self(), kStart), MergeResult::kNewer);
  EXPECT_EQ(others.Find("self")->member.incarnation, 12U);
}

TEST(View, ReportsTwoNodesWithOneNameAndAddress) {
  View view(MakeSelf(), kStart);
  for (std::size_t run = 1; run <= View::kMaxOutrankedRuns; ++run) {
    Member other = MakeMember("self", 5 + run, 0);
    other.generation = view.Self().generation;
    EXPECT_EQ(view.Merge(other, kStart), MergeResult::kStale);
    EXPECT_TRUE(view.Conflicts().empty());
  }
  Member last = MakeMember("self", 99, 0);
  last.generation = view.Self().generation;
  EXPECT_EQ(view.Merge(last, kStart), MergeResult::kConflict);
  ASSERT_EQ(view.Conflicts().size(), 1U);
  EXPECT_EQ(view.Conflicts()[0].place, "self");
}

TEST(View, ReportsTwoNodesWithOneName) {
  View view(MakeSelf(), kStart);
  Member namesake = MakeMember("self", 6, 0);
  namesake.control_port = 2;
  EXPECT_EQ(view.Merge(namesake, kStart), MergeResult::kConflict);
  EXPECT_EQ(view.Self().incarnation, 5U);
  EXPECT_EQ(view.Self().generation, 0U);
  EXPECT_EQ(view.Merge(MakeMember("self", 4, 0), kStart), MergeResult::kStale);

  view.Merge(MakeMember("other", 1, 1), kStart);
  Member elsewhere = MakeMember("other", 1, 1);
  elsewhere.control_port = 2;
  EXPECT_EQ(view.Merge(elsewhere, kStart), MergeResult::kConflict);
  EXPECT_EQ(view.Merge(elsewhere, kStart), MergeResult::kStale);
  ASSERT_EQ(view.Conflicts().size(), 2U);
  EXPECT_EQ(view.Conflicts()[1].place, "other");
}

TEST(View, KeepsTombstoneOfStoppedMemberForAnHour) {
  View view(MakeSelf(), kStart);
  view.Merge(MakeMember("n", 1, 1), kStart);
  const std::uint64_t digest = view.DigestOf("z1");
  Member stopped = MakeMember("n", 1, 2);
  stopped.stopped = true;
  EXPECT_EQ(view.Merge(stopped, kStart), MergeResult::kNewer);
  EXPECT_NE(view.DigestOf("z1"), digest);
  view.RemoveExpired(kStart + View::kTombstoneLifetime - std::chrono::seconds(1));
  EXPECT_EQ(view.Merge(MakeMember("n", 1, 1), kStart), MergeResult::kStale);
  EXPECT_EQ(view.CountPresent(), 1U);
  view.RemoveExpired(kStart + View::kTombstoneLifetime);
  EXPECT_EQ(view.Find("n"), nullptr);
}

TEST(View, RemovesUnreachableMemberAfterADayAndRejectsItsOldEntry) {
  View view(MakeSelf(), kStart);
  view.Merge(MakeMember("n", 1, 1), kStart);
  view.SetReachability("n", Reachability::kUnreachable, kStart);
  view.RemoveExpired(kStart + View::kMaxUnreachableTime - std::chrono::seconds(1));
  EXPECT_EQ(view.CountPresent(), 2U);
  view.RemoveExpired(kStart + View::kMaxUnreachableTime);
  EXPECT_EQ(view.CountPresent(), 1U);
  EXPECT_EQ(view.Merge(MakeMember("n", 1, 1), kStart), MergeResult::kStale);
  EXPECT_EQ(view.Merge(MakeMember("n", 1, 2), kStart), MergeResult::kNewer);
  EXPECT_TRUE(view.Find("n")->IsReachable());
}

TEST(View, CutZoneDoesNotChangeIndividualReachability) {
  View view(MakeSelf(), kStart);
  for (const char* node : {"a", "b"}) {
    Member member = MakeMember(node, 1, 1);
    member.zone = "z2";
    member.service = "calendar";
    member.target_state = TargetState::kServing;
    view.Merge(member, kStart);
  }
  int changes = 0;
  view.Subscribe([&](ViewChange change, const MemberState&) {
    changes += change == ViewChange::kReachability ? 1 : 0;
  });
  EXPECT_EQ(changes, 0);
  view.SetReachability("a", Reachability::kUnreachable, kStart);
  view.SetZoneCut("z2", true, kStart);
  EXPECT_TRUE(view.Candidates("calendar").empty());
  EXPECT_EQ(view.CountPresent("z2"), 2U);
  view.SetZoneCut("z2", false, kStart);
  ASSERT_EQ(view.Candidates("calendar").size(), 1U);
  EXPECT_EQ(view.Candidates("calendar")[0]->member.node, "b");
  EXPECT_EQ(changes, 3);
}

TEST(View, LargeFleetFitsInLittleMemory) {
  constexpr std::size_t kMaxBytes = 1'500'000;
  const std::size_t before = mallinfo2().uordblks;
  View view(MakeSelf(), kStart);
  for (int i = 0; i < 2700; ++i) {
    Member member = MakeMember("upstream-host-" + std::to_string(i) + ".example", 1, 1);
    member.zone = "region-1-zone-" + std::to_string(i % 14);
    member.region = "region-1";
    member.ip = "10.100.200.250";
    member.service = "service-number-" + std::to_string(i % 40);
    view.Merge(member, kStart);
  }
  const std::size_t used = mallinfo2().uordblks - before;
  RecordProperty("view_bytes", std::to_string(used));
  EXPECT_LT(used, kMaxBytes);
}

}  // namespace
}  // namespace fireflyrun::membership
