#include "store/roster.h"

#include <algorithm>

#include "tests/store/store_fixture.h"

namespace fireflyrun::store {
namespace {

/// The store stand-in numbers its leases from here.
constexpr LeaseId kFirstLease = 7001;

class RosterTest : public StoreFixture {
 protected:
  std::unique_ptr<Roster> Join(const std::string& zone, const std::string& node) {
    auto roster = std::make_unique<Roster>(
        *this->store, this->timers, "test",
        RosterEntry{zone, node, "127.0.0.1:1", "127.0.0.1:" + std::to_string(this->last_port++)});
    roster->Start();
    return roster;
  }

  std::vector<RosterEntry> Read() {
    const auto entries = this->Await<tl::expected<std::vector<RosterEntry>, StoreError>>(
        [&](auto handler) { ReadRoster(*this->store, "test", handler); });
    EXPECT_TRUE(entries.has_value());
    return entries.value_or(std::vector<RosterEntry>());
  }

  int last_port = 2;
};

TEST_F(RosterTest, LimitsSlotsPerZone) {
  std::vector<std::unique_ptr<Roster>> rosters;
  for (int i = 0; i < kRosterSlotsPerZone; ++i) {
    rosters.push_back(this->Join("z-1", "n" + std::to_string(i)));
    this->RunUntil([&] { return rosters.back()->HoldsSlot(); });
  }
  const int lists = this->standin->Calls("/v3/kv/range");
  rosters.push_back(this->Join("z-1", "late"));
  rosters.push_back(this->Join("z-2", "far"));
  this->RunUntil([&] { return rosters.back()->HoldsSlot(); });
  EXPECT_EQ(this->standin->Calls("/v3/kv/range"), lists + 2);
  EXPECT_FALSE(rosters[kRosterSlotsPerZone]->HoldsSlot());
  const auto entries = this->Read();
  ASSERT_EQ(entries.size(), kRosterSlotsPerZone + 1U);
  EXPECT_EQ(entries.back(), (RosterEntry{"z-2", "far", "127.0.0.1:1", "127.0.0.1:7"}));
}

TEST_F(RosterTest, RestartedNodeReusesItsSlot) {
  auto first = this->Join("z", "n");
  this->RunUntil([&] { return first->HoldsSlot(); });
  first.reset();
  const auto second = this->Join("z", "n");
  this->RunUntil([&] { return second->HoldsSlot(); });
  const auto entries = this->Read();
  ASSERT_EQ(entries.size(), 1U);
  EXPECT_EQ(entries[0].admin_address, "127.0.0.1:3");
}

TEST_F(RosterTest, LeaveReleasesSlot) {
  const auto roster = this->Join("z", "n");
  this->RunUntil([&] { return roster->HoldsSlot(); });
  bool left = false;
  roster->Leave([&] { left = true; });
  this->RunUntil([&] { return left; });
  EXPECT_TRUE(this->Read().empty());
  EXPECT_FALSE(roster->HoldsSlot());
}

TEST_F(RosterTest, EarlierRunThatLeavesLateLeavesTheSlotToItsSuccessor) {
  const auto earlier = this->Join("z", "n");
  this->RunUntil([&] { return earlier->HoldsSlot(); });
  const auto later = this->Join("z", "n");
  this->RunUntil([&] { return later->HoldsSlot(); });
  bool left = false;
  earlier->Leave([&] { left = true; });
  this->RunUntil([&] { return left; });
  const auto entries = this->Read();
  ASSERT_EQ(entries.size(), 1U);
  EXPECT_EQ(entries[0].admin_address, "127.0.0.1:3");
}

TEST_F(RosterTest, HolderWhoseLeaseEndedTakesNothingFromTheNextHolder) {
  std::vector<std::unique_ptr<Roster>> rosters;
  for (int i = 0; i < kRosterSlotsPerZone; ++i) {
    rosters.push_back(this->Join("z", "n" + std::to_string(i)));
    this->RunUntil([&] { return rosters.back()->HoldsSlot(); });
  }
  // As if the first holder had stood still for longer than its lease.
  const auto ended = this->Await<tl::expected<LeaseId, StoreError>>(
      [&](auto handler) { this->store->RevokeLease(kFirstLease, handler); });
  ASSERT_TRUE(ended.has_value());
  const auto next = this->Join("z", "next");
  this->RunUntil([&] { return next->HoldsSlot(); });
  bool left = false;
  rosters.front()->Leave([&] { left = true; });
  this->RunUntil([&] { return left; });
  const auto entries = this->Read();
  EXPECT_EQ(entries.size(), static_cast<std::size_t>(kRosterSlotsPerZone));
  const auto is_next = [](const RosterEntry& entry) { return entry.node == "next"; };
  EXPECT_EQ(std::count_if(entries.begin(), entries.end(), is_next), 1);
}

}  // namespace
}  // namespace fireflyrun::store
