// A metadata store that comes back from an older copy: what each user of it does then.

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "platform/configuration_source.h"
#include "records/record_book.h"
#include "store/base64.h"
#include "store/key_binder.h"
#include "store/roster.h"
#include "tests/platform/platform_fixture.h"

namespace fireflyrun::platform {
namespace {

using standins::MetadataStandin;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Return = MetadataStandin::Return;

constexpr const char* kConfigurationKey = "op/config";
/// So long after the store's return the roster is whole again.
constexpr seconds kReturnTime{2};
constexpr Duration kCopyAge = milliseconds(300);
const std::vector<Return> kReturns = {Return::kAtOnce, Return::kCut, Return::kSilent};

std::string Version(int version) {
  const std::string service = "s" + std::to_string(version);
  return R"({"version":)" + std::to_string(version) + R"(,"routes":{},"services":{")" + service +
         R"(":{}}})";
}

class StoreGenerationTest : public PlatformFixture {
 protected:
  void RunFor(Duration time) {
    const SteadyTime end = SteadyClock::now() + time;
    while (SteadyClock::now() < end) this->loop.run_one_until(end);
  }

  /// What is written from now on is lost by a GoBack(kCopyAge) that follows soon.
  void LetCopiesBeTaken() { this->RunFor(kCopyAge); }

  std::unique_ptr<MetadataStore> MakeStore() {
    return std::make_unique<MetadataStore>(this->client, this->timers, this->Options());
  }

  std::unique_ptr<store::Roster> Enter(store::Store& by, const std::string& node,
                                       const std::string& zone) {
    auto roster = std::make_unique<store::Roster>(
        by, this->timers, "test", store::RosterEntry{zone, node, "127.0.0.1:1", "127.0.0.1:2"});
    roster->Start();
    return roster;
  }

  std::vector<std::string> Nodes() {
    std::vector<std::string> names;
    bool done = false;
    const auto reader = this->MakeStore();
    store::ReadRoster(*reader, "test", [&](auto entries) {
      done = true;
      if (!entries) return;
      for (const auto& entry : *entries) names.push_back(entry.node);
    });
    this->RunUntil([&] { return done; });
    return names;
  }

  bool IsEntered(const std::string& node) {
    const auto names = this->Nodes();
    return std::find(names.begin(), names.end(), node) != names.end();
  }

  /// A call that tells the store's generation.
  void Learn() { this->List("/none"); }

  void Leave(store::Roster& roster) {
    bool left = false;
    roster.Leave([&] { left = true; });
    this->RunUntil([&] { return left; });
  }
};

/// What a node has in force of the operator's configuration.
class Follower {
 public:
  Follower(store::Store& store, TimerService& timers)
      : source(store, timers, TranslationDefaults()) {
    this->source.WatchFrom(
        0, [](const records::ChangeSet&) {},
        [this](const records::Transfer& transfer) {
          const records::BookRevision before = this->book.Revision();
          this->book.MergeTransfer(transfer);
          this->went_back = this->went_back || this->book.Revision() < before;
        });
  }

  bool Has(int version) const {
    const auto entries = this->book.Entries();
    const std::string service = "s" + std::to_string(version);
    return std::any_of(entries.begin(), entries.end(), [&](const records::RecordEntry& entry) {
      return entry.key.kind == records::RecordKind::kService && entry.key.name == service;
    });
  }

  ConfigurationSource source;
  records::RecordBook book;
  bool went_back = false;
};

TEST_F(StoreGenerationTest, AChangeIsToldOnceToAllWhoStillListen) {
  std::vector<std::uint64_t> told;
  int dropped = 0;
  auto& generation = this->store->Generation();
  const auto kept = generation.OnChange([&](const auto& change) { told.push_back(change.to); });
  auto other = generation.OnChange([&](const auto&) { ++dropped; });
  EXPECT_EQ(generation.Number(), 0U);
  this->Learn();
  EXPECT_EQ(generation.Number(), 1U);
  EXPECT_TRUE(told.empty()) << "the first one is no change";
  other.reset();
  for (std::uint64_t era = 2; era <= 3; ++era) {
    this->standin.GoBack(kCopyAge, Return::kCut);
    this->Learn();
    this->Learn();
  }
  EXPECT_EQ(told, (std::vector<std::uint64_t>{2, 3}));
  EXPECT_EQ(dropped, 0);
}

/// Bad input costs a log line and nothing else.
TEST_F(StoreGenerationTest, ErasThatCantBeReadChangeNothing) {
  this->standin.SetEraText("5");
  this->Learn();
  int changes = 0;
  const auto subscription = this->store->Generation().OnChange([&](const auto&) { ++changes; });
  for (const char* text : {"", "x", "-6", "6x", "0", "4", "99999999999999999999999", "6.5"}) {
    this->standin.SetEraText(text);
    EXPECT_TRUE(this->List("/none").has_value()) << text;
    EXPECT_TRUE(this->Commit({{}, {{"/k", text, 0}}}).has_value()) << text;
  }
  EXPECT_EQ(changes, 0);
  this->standin.SetEraText("6");
  EXPECT_FALSE(this->List("/none").has_value()) << "it was asked for in the era before";
  EXPECT_TRUE(this->List("/none").has_value());
  EXPECT_EQ(changes, 1);
}

TEST_F(StoreGenerationTest, AnswersOfAnEarlierEraThatArriveLateDoNotCount) {
  this->Learn();
  this->LetCopiesBeTaken();
  this->standin.SetFault({Mode::kLateAnswers, milliseconds(200), 1});
  std::optional<tl::expected<store::TransactionResult, store::StoreError>> result;
  this->store->Commit({{}, {{"/k", "v", 0}}}, [&](auto ended) { result = std::move(ended); });
  this->RunUntil([&] { return this->standin.Calls("/kv-txn") == 1; });
  this->standin.GoBack(kCopyAge, Return::kCut);
  this->Learn();
  this->RunUntil([&] { return result.has_value(); });
  ASSERT_FALSE(result->has_value()) << "the store has lost the write";
  EXPECT_EQ(result->error().kind, store::StoreErrorKind::kUnknown);
  EXPECT_EQ(this->store->Generation().Number(), 2U);
}

/// A write of an earlier era whose conditions hold by chance in this one.
TEST_F(StoreGenerationTest, WritesThatTheNextEraCarriesOutAreOfUnknownOutcome) {
  this->Learn();
  this->LetCopiesBeTaken();
  this->standin.GoBack(kCopyAge, Return::kCut);
  const auto result = this->Commit({{{"/k", 0}}, {{"/k", "v", 0}}});
  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error().kind, store::StoreErrorKind::kUnknown);
  EXPECT_TRUE(this->Commit({{{"/l", 0}}, {{"/l", "v", 0}}}).has_value());
}

/// Guards against a watch that goes on from a revision of the earlier era: no 410 comes when the
/// store's counter has passed it again.
TEST_F(StoreGenerationTest, WatchEndsAlthoughTheCounterHasPassedItsPosition) {
  for (const Return how : kReturns) {
    SCOPED_TRACE(static_cast<int>(how));
    this->LetCopiesBeTaken();
    this->standin.Put("/w/1", "lost");
    const store::Revision position = this->standin.Model().Revision();
    this->Learn();
    bool ended = false;
    int changes = 0;
    this->store->Watch(
        "/w/", position + 1, [&](const auto&) { ++changes; },
        [&](const store::StoreError& error) {
          EXPECT_EQ(error.kind, store::StoreErrorKind::kCompacted);
          ended = true;
        });
    this->RunUntil([&] { return this->standin.OpenWatches() == 1; });
    this->standin.Model().GoBack(kCopyAge, SteadyClock::now());
    this->standin.Model().Put("/w/2", "not seen");
    this->standin.Model().AdvanceTo(position + 3);
    this->standin.OnReturn(how);
    this->RunUntil([&] { return ended; });
    EXPECT_EQ(changes, 0);
  }
}

/// Guards against a listing whose pages are of two eras.
TEST_F(StoreGenerationTest, ListingOfTwoErasStartsAnew) {
  this->LetCopiesBeTaken();
  for (const char* key : {"/a/1", "/a/2", "/a/3"}) this->standin.Put(key, "lost");
  this->Learn();
  const int before = this->standin.Calls("/kv-range");
  std::optional<tl::expected<store::Listing, store::StoreError>> listing;
  this->store->List("/a/", [&](auto result) { listing = std::move(result); });
  this->RunUntil([&] { return this->standin.Calls("/kv-range") == before + 1; });
  this->standin.GoBack(kCopyAge, Return::kCut);
  this->standin.Put("/a/4", "new");
  this->RunUntil([&] { return listing.has_value(); });
  if (!listing->has_value()) return;  // Whoever lists does so again.
  ASSERT_EQ((*listing)->entries.size(), 1U);
  EXPECT_EQ((*listing)->entries[0].key, "/a/4");
}

/// Guards against configurations that never come into force: their revisions were given out before.
TEST_F(StoreGenerationTest, VersionsWrittenAfterwardsComeIntoForceAndNoneGoesBack) {
  for (const Return how : kReturns) {
    SCOPED_TRACE(static_cast<int>(how));
    const int base = 100 * (1 + static_cast<int>(how));
    const auto own_store = this->MakeStore();
    Follower node(*own_store, this->timers);
    this->standin.Put(kConfigurationKey, Version(base + 1));
    this->RunUntil([&] { return node.Has(base + 1); });
    this->LetCopiesBeTaken();
    this->standin.Put(kConfigurationKey, Version(base + 3));
    this->standin.Put("servers/x", "other");
    this->standin.Put(kConfigurationKey, Version(base + 5));
    this->RunUntil([&] { return node.Has(base + 5); });
    const auto written = this->standin.GoBack(kCopyAge, how);
    this->RunFor(milliseconds(400));
    EXPECT_TRUE(node.Has(base + 5)) << "it was acknowledged, so it stays in force";
    this->standin.Put(kConfigurationKey, written.at(kConfigurationKey));
    this->RunFor(milliseconds(200));
    EXPECT_TRUE(node.Has(base + 5));
    this->standin.Put(kConfigurationKey, Version(base + 6));
    const SteadyTime written_at = SteadyClock::now();
    this->RunUntil([&] { return node.Has(base + 6); });
    EXPECT_LE(SteadyClock::now() - written_at, milliseconds(2500));
    EXPECT_FALSE(node.went_back);
  }
}

/// The store goes back in the middle of versions in quick succession, and once more.
TEST_F(StoreGenerationTest, TheNewestVersionOfAStormIsInForceAfterTwoReturns) {
  const auto own_store = this->MakeStore();
  Follower node(*own_store, this->timers);
  int version = 10;
  for (int drill = 0; drill < 2; ++drill) {
    for (int i = 0; i < 8; ++i) {
      this->standin.Put(kConfigurationKey, Version(++version));
      this->RunFor(milliseconds(60));
    }
    const auto written =
        this->standin.GoBack(kCopyAge, drill == 0 ? Return::kCut : Return::kAtOnce);
    this->standin.Put(kConfigurationKey, written.at(kConfigurationKey));
    for (int i = 0; i < 4; ++i) {
      this->standin.Put(kConfigurationKey, Version(++version));
      this->RunFor(milliseconds(30));
    }
  }
  this->RunUntil([&] { return node.Has(version); });
  EXPECT_EQ(node.book.Revision(), version + 1);
  EXPECT_FALSE(node.went_back);
}

/// Guards against two nodes that hold different configurations under one number, of which none asks
/// the other: the store gives the same revision to both.
TEST_F(StoreGenerationTest, NodesOfDifferentErasTellTheirConfigurationsApart) {
  const auto first_store = this->MakeStore();
  const auto second_store = this->MakeStore();
  this->standin.Put(kConfigurationKey, Version(1));
  Follower first(*first_store, this->timers);
  this->RunUntil([&] { return first.Has(1); });
  this->LetCopiesBeTaken();
  this->standin.Put(kConfigurationKey, Version(3));
  this->RunUntil([&] { return first.Has(3); });
  const store::Revision revision = this->standin.Model().Revision();
  first.source.StopWatch();  // It is cut off.
  this->standin.GoBack(kCopyAge, Return::kCut);
  this->standin.Put(kConfigurationKey, Version(4));
  ASSERT_EQ(this->standin.Model().Revision(), revision);
  Follower second(*second_store, this->timers);
  this->RunUntil([&] { return second.Has(4); });
  EXPECT_NE(first.book.Revision(), second.book.Revision());
  EXPECT_TRUE(first.book.MergeTransfer(second.book.ChangesSince(first.book.Revision())));
  EXPECT_EQ(first.book.Entries(), second.book.Entries());
  EXPECT_FALSE(second.book.MergeTransfer(first.book.ChangesSince(0)));
}

/// Guards against nodes that can't be found until their next renewal.
TEST_F(StoreGenerationTest, EntriesOfLivingNodesAreWrittenAgainSoon) {
  constexpr int kNodes = 8;
  for (const Return how : kReturns) {
    SCOPED_TRACE(static_cast<int>(how));
    this->LetCopiesBeTaken();
    const SteadyTime before_entering = SteadyClock::now();
    std::vector<std::unique_ptr<MetadataStore>> stores;
    std::vector<std::unique_ptr<store::Roster>> rosters;
    std::vector<std::unique_ptr<Follower>> followers;
    for (int i = 0; i < kNodes; ++i) {
      const std::string name = "n" + std::to_string(static_cast<int>(how)) + std::to_string(i);
      stores.push_back(this->MakeStore());
      followers.push_back(std::make_unique<Follower>(*stores.back(), this->timers));
      rosters.push_back(this->Enter(*stores.back(), name, "z" + name));
    }
    const auto all_held = [&] {
      return std::ranges::all_of(rosters, [](const auto& roster) { return roster->HoldsSlot(); });
    };
    this->RunUntil(all_held);
    this->RunUntil([&] { return this->standin.OpenWatches() == kNodes; });
    this->standin.GoBack(SteadyClock::now() - before_entering, how);
    const SteadyTime back = SteadyClock::now();
    ASSERT_TRUE(this->standin.Model().Range("/fireflyrun/", "").body["items"].empty());
    this->RunUntil([&] { return this->Nodes().size() == kNodes; });
    EXPECT_LE(SteadyClock::now() - back, kReturnTime);
    this->RunUntil(all_held);
    for (const auto& roster : rosters) this->Leave(*roster);
    EXPECT_TRUE(this->Nodes().empty());
  }
}

/// Guards against a stop that removes another node's entry: its lease has the id that this node's
/// had before.
TEST_F(StoreGenerationTest, LeavingNodeLeavesALeaseOfTheSameIdAlone) {
  this->LetCopiesBeTaken();
  const auto first_store = this->MakeStore();
  const auto second_store = this->MakeStore();
  const auto first = this->Enter(*first_store, "first", "z1");
  this->RunUntil([&] { return first->HoldsSlot(); });
  this->standin.GoBack(kCopyAge, Return::kCut);
  const auto second = this->Enter(*second_store, "second", "z2");
  this->RunUntil([&] { return second->HoldsSlot(); });
  this->Leave(*first);
  EXPECT_TRUE(this->IsEntered("second"));
  this->Leave(*second);
  EXPECT_FALSE(this->IsEntered("second"));
}

/// A node with a watch that tells it of the store's return, and a binder.
struct BindingNode {
  BindingNode(std::unique_ptr<MetadataStore> own_store, TimerService& timers, Duration settle_time)
      : store(std::move(own_store)),
        follower(*this->store, timers),
        binder(*this->store, timers, "test", settle_time) {}

  std::unique_ptr<MetadataStore> store;
  Follower follower;
  store::KeyBinder binder;
};

/// Guards against a key that is bound to two tickets over two returns of the store: the ticket of a
/// call under way is in the copies, and the one that callers were told of is not.
TEST_F(StoreGenerationTest, TicketOfACallUnderWayGivesWayToTheOneThatWasTold) {
  constexpr Duration kSettleTime = milliseconds(600);
  const std::string item_key = "/fireflyrun/test/keys/s/6b.";
  BindingNode first(this->MakeStore(), this->timers, kSettleTime);
  BindingNode second(this->MakeStore(), this->timers, kSettleTime);
  this->RunUntil([&] { return this->standin.OpenWatches() == 2; });
  const auto bind = [&](BindingNode& node, const std::string& ticket, const char* key = "k") {
    return this->Await<std::string>(
        [&](auto handler) { node.binder.Bind("s", key, ticket, std::move(handler)); });
  };
  const auto value = [&] {
    const auto listing = this->List(item_key);
    if (!listing) return std::string("unknown");
    return listing->entries.empty() ? std::string() : listing->entries.front().value;
  };
  ASSERT_EQ(bind(first, "any", "earlier").value(), "any") << "the copy holds the lease";
  this->LetCopiesBeTaken();
  ASSERT_EQ(bind(first, "kept").value(), "kept");
  const SteadyTime bound_at = SteadyClock::now();
  std::optional<std::string> answer;
  second.binder.Bind("s", "k", "foreign",
                     [&](const auto& result) { answer = result.value_or("unknown"); });
  this->standin.GoBack(SteadyClock::now() - bound_at + milliseconds(1), Return::kCut);
  ASSERT_TRUE(this->Commit({{}, {{item_key, "foreign", 0}}}).has_value());
  this->standin.Model().TakeCopy(SteadyClock::now() + seconds(1));
  this->RunUntil([&] { return answer.has_value(); });
  EXPECT_EQ(*answer, "kept");
  EXPECT_EQ(value(), "kept");
  this->standin.GoBack(-seconds(1), Return::kCut);
  const auto copy = this->standin.Model().Range(item_key, "").body["items"];
  ASSERT_EQ(copy.size(), 1U);
  ASSERT_EQ(copy[0]["value"], store::EncodeBase64("foreign"));
  this->RunUntil([&] { return value() == "kept"; });
  for (BindingNode* node : {&second, &first}) EXPECT_EQ(bind(*node, "other").value(), "kept");
}

/// Which of two figures of a return of the store is drawn first. A call's arguments have no order
/// of their own: compilers drew them in either one.
enum class FirstDraw { kAge, kHow };

/// Guards against a key that is bound to two tickets, so that its call may run twice: nodes bind
/// keys, and repeat them at other nodes, while the store goes back again and again.
class BindingPropertyTest : public StoreGenerationTest,
                            public testing::WithParamInterface<FirstDraw> {
 protected:
  void GoBackAsDrawn(std::mt19937& random) {
    const bool is_age_first = GetParam() == FirstDraw::kAge;
    const auto first = random();
    const auto second = random();
    const auto age = is_age_first ? first : second;
    const auto how = is_age_first ? second : first;
    this->standin.GoBack(milliseconds(age % 300), how % 2 == 0 ? Return::kCut : Return::kAtOnce);
  }
};

TEST_P(BindingPropertyTest, PropertyAKeyHasOneTicketWhileTheNodeThatBoundItLives) {
  constexpr int kNodes = 3;
  constexpr int kActions = 60;
  constexpr int kKeys = 8;
  constexpr Duration kSettleTime = milliseconds(600);
  for (std::uint32_t seed = 1; seed <= 4; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<BindingNode>> nodes;
    nodes.reserve(kNodes);
    for (int i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<BindingNode>(this->MakeStore(), this->timers, kSettleTime));
    }
    this->RunUntil([&] { return this->standin.OpenWatches() == kNodes; });
    this->LetCopiesBeTaken();
    std::map<std::string, std::set<std::string>> tickets;
    int open = 0;
    int bound = 0;
    for (int action = 0; action < kActions; ++action) {
      const std::string key = std::to_string(seed) + "-" + std::to_string(random() % kKeys);
      const std::string ticket = "t" + std::to_string(action);
      BindingNode& node = *nodes[random() % kNodes];
      ++open;
      node.binder.Bind("s", key, ticket, [&, key](auto result) {
        --open;
        if (!result) return;
        ++bound;
        tickets[key].insert(*result);
      });
      this->RunFor(milliseconds(random() % 40));
      if (action % 15 == 14) this->GoBackAsDrawn(random);
    }
    this->RunUntil([&] { return open == 0; });
    EXPECT_GT(bound, kActions / 2);
    for (const auto& [key, used] : tickets) {
      EXPECT_EQ(used.size(), 1U) << key;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Orders, BindingPropertyTest,
                         testing::Values(FirstDraw::kAge, FirstDraw::kHow));

/// Guards against bindings under a lease of the earlier era, which may be another node's by now.
TEST_F(StoreGenerationTest, BindingsTakeALeaseOfTheNewEra) {
  store::KeyBinder binder(*this->store, this->timers, "test", milliseconds(200));
  const auto bind = [&](const std::string& key, const std::string& ticket) {
    return this->Await<std::string>(
        [&](auto handler) { binder.Bind("proclaim", key, ticket, std::move(handler)); });
  };
  this->LetCopiesBeTaken();
  EXPECT_EQ(bind("k1", "t1").value(), "t1");
  EXPECT_EQ(this->standin.Calls("/kv-lease"), 1);
  this->standin.GoBack(kCopyAge, Return::kCut);
  const auto across = bind("k2", "t2");
  EXPECT_EQ(across.value(), "t2") << "bound anew when the bindings were restored";
  EXPECT_EQ(bind("k3", "t3").value(), "t3");
  EXPECT_GE(this->standin.Calls("/kv-lease"), 2);
}

}  // namespace
}  // namespace fireflyrun::platform
