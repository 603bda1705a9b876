// Nodes on the platform whose store comes back from an older copy: the newest configuration is in
// force on all, and they find each other.

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

#include "tests/integration/wait_until.h"
#include "tests/platform/platform_fleet.h"

namespace fireflyrun::platform {
namespace {

using integration::HoldsFor;
using integration::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;
using Mode = standins::MetadataFaultMode;
using Return = standins::MetadataStandin::Return;

constexpr std::size_t kNodes = 12;
constexpr std::size_t kZones = 4;
constexpr seconds kStartLimit{40};
/// From the acknowledgement of a version until it is in force everywhere.
constexpr milliseconds kApplyTime{2500};
/// The same at nodes that are cut off from the store, and take it from others.
constexpr milliseconds kApplyTimeOfOthers{5000};
/// From the store's return until the roster is whole.
constexpr milliseconds kReturnTime{2000};
/// The same where no connection told of the return: the first renewal of a lease does.
constexpr milliseconds kRenewalTime{12000};
constexpr milliseconds kCopyTime{300};
constexpr const char* kConfigurationKey = "op/config";
constexpr const char* kRosterPrefix = "/fireflyrun/";

std::string ServiceOf(std::size_t host) { return "s" + std::to_string(host); }

/// The service that a version names for the requests to `/pick/`.
std::string Picked(int version) { return ServiceOf(static_cast<std::size_t>(version) % kNodes); }

Json Route(const std::string& prefix, const std::string& service) {
  return {{"host", "shop.example"}, {"prefix", "/" + prefix + "/"},
          {"kind", "safe"},         {"service", service},
          {"maxAttempts", 2},       {"timeoutS", 1},
          {"priority", 1}};
}

Json Configuration(int version) {
  Json routes = Json::object();
  Json services = Json::object();
  for (std::size_t i = 0; i < kNodes; ++i) {
    services[ServiceOf(i)] = {{"healthPath", "/healthz"}, {"maxConns", 60}};
    routes["r-" + ServiceOf(i)] = Route(ServiceOf(i), ServiceOf(i));
  }
  routes["pick"] = Route("pick", Picked(version));
  return {{"version", version}, {"routes", routes}, {"services", services}};
}

std::vector<PlatformFleet::Host> Layout() {
  std::vector<PlatformFleet::Host> hosts;
  for (std::size_t i = 0; i < kNodes; ++i) {
    hosts.push_back({"n" + std::to_string(i), "z" + std::to_string(i % kZones), ServiceOf(i)});
  }
  return hosts;
}

class PlatformReturnTest : public testing::Test {
 protected:
  PlatformReturnTest() {
    this->fleet.Configure(Configuration(1));
    std::this_thread::sleep_for(kCopyTime);
    this->before_start = SteadyClock::now();
  }

  void StartAll() {
    for (std::size_t host = 0; host < kNodes; ++host) this->fleet.StartNode(host);
    ASSERT_TRUE(WaitUntil(kStartLimit, [this] { return this->AllMeet() && this->InForce(1); }));
    // Of nodes that chose the same slot, one waits for minutes: others of its zone can be found.
    std::this_thread::sleep_for(milliseconds(500));
    this->entered = this->RosterEntries();
    ASSERT_GE(this->entered.size(), kZones);
  }

  /// The store has lost all that the nodes wrote since their start.
  std::map<std::string, std::string> GoBackToTheStart(Return how) {
    return this->fleet.GoBack(SteadyClock::now() - this->before_start, how);
  }

  std::string Pick(std::size_t host) const {
    const std::vector<std::string> headers = {"Request-Id: q", "Deadline-Ms: 1000"};
    const auto answer = this->fleet.Call(host, "GET", "/pick/x", headers);
    return answer.status == 200 ? answer.body.substr(0, answer.body.find('\n')) : "";
  }

  bool InForce(int version) const {
    for (std::size_t host = 0; host < kNodes; ++host) {
      if (this->Pick(host) != Picked(version)) return false;
    }
    return true;
  }

  void ExpectInForceWithin(int version, milliseconds limit) const {
    const SteadyTime start = SteadyClock::now();
    EXPECT_TRUE(WaitUntil(kStartLimit, [&] { return this->InForce(version); })) << version;
    const auto took = ToMilliseconds(SteadyClock::now() - start);
    std::cout << "version " << version << " in force after " << took.count() << " ms\n";
    EXPECT_LE(took, limit) << version;
  }

  bool Reaches(std::size_t from, std::size_t to) const {
    const std::vector<std::string> headers = {"Request-Id: q", "Deadline-Ms: 1000"};
    return this->fleet.Call(from, "GET", "/" + ServiceOf(to) + "/x", headers).status == 200;
  }

  bool AllMeet() const {
    for (std::size_t host = 0; host < kNodes; ++host) {
      if (!this->Reaches(host, (host + 1) % kNodes)) return false;
      if (!this->Reaches(host, (host + kZones) % kNodes)) return false;
    }
    return true;
  }

  /// The entries by their slots.
  std::map<std::string, std::string> RosterEntries() {
    std::map<std::string, std::string> entries;
    this->fleet.OnModel([&](standins::MetadataModel& model) {
      const Json listing = model.Range(kRosterPrefix, "").body;
      for (const Json& item : listing["items"]) {
        const auto key = item["key"].get<std::string>();
        if (key.find("/roster/") != std::string::npos) entries[key] = item["value"];
      }
    });
    return entries;
  }

  bool EachZoneIsEntered() {
    std::set<std::string> zones;
    for (const auto& [key, value] : this->RosterEntries())
      zones.insert(key.substr(0, key.rfind('/')));
    return zones.size() == kZones;
  }

  bool RosterIsWhole() {
    const auto now = this->RosterEntries();
    return std::ranges::includes(now, this->entered);
  }

  void ExpectRosterWithin(milliseconds limit) {
    const SteadyTime start = SteadyClock::now();
    EXPECT_TRUE(WaitUntil(kStartLimit, [&] { return this->RosterIsWhole(); }));
    const auto took = ToMilliseconds(SteadyClock::now() - start);
    std::cout << "roster whole after " << took.count() << " ms\n";
    EXPECT_LE(took, limit);
  }

  PlatformFleet fleet{Layout(), PlatformFleet::Start::kLater};
  SteadyTime before_start;
  std::map<std::string, std::string> entered;
};

/// Guards against versions that never come into force on some hosts, versions that return, and
/// nodes that can't be found.
TEST_F(PlatformReturnTest, TheNewestVersionStaysInForceAndTheRosterIsWholeSoon) {
  this->StartAll();
  int version = 1;
  for (const Return how : {Return::kCut, Return::kAtOnce, Return::kSilent}) {
    SCOPED_TRACE(static_cast<int>(how));
    version += 2;
    this->fleet.Configure(Configuration(version));
    this->ExpectInForceWithin(version, kApplyTime);
    const auto written = this->GoBackToTheStart(how);
    this->ExpectRosterWithin(how == Return::kSilent ? kRenewalTime : kReturnTime);
    EXPECT_TRUE(HoldsFor(seconds(1), [&] { return this->InForce(version); }))
        << "the copy holds an older version";
    this->fleet.Configure(Json::parse(written.at(kConfigurationKey)));
    this->ExpectInForceWithin(version, kApplyTime);
    version += 2;
    this->fleet.Configure(Configuration(version));
    this->ExpectInForceWithin(version, kApplyTime);
    EXPECT_TRUE(this->AllMeet());
  }
}

/// A part of the nodes can't reach the store, before and after its return.
TEST_F(PlatformReturnTest, NodesCutOffFromTheStoreTakeTheNewestVersionFromOthers) {
  constexpr std::size_t kCutOff = 4;
  this->StartAll();
  this->fleet.Configure(Configuration(3));
  this->ExpectInForceWithin(3, kApplyTime);
  for (std::size_t host = 0; host < kCutOff; ++host) {
    this->fleet.SetStoreFault(host, Mode::kDown);
  }
  this->GoBackToTheStart(Return::kCut);
  this->fleet.Configure(Configuration(5));
  this->ExpectInForceWithin(5, kApplyTimeOfOthers);
  this->fleet.Configure(Configuration(8));
  this->ExpectInForceWithin(8, kApplyTimeOfOthers);
  for (std::size_t host = 0; host < kCutOff; ++host) this->fleet.SetStoreFault(host, Mode::kOk);
  this->ExpectRosterWithin(seconds(10));
  this->fleet.Configure(Configuration(9));
  this->ExpectInForceWithin(9, kApplyTime);
}

/// Nodes are killed and started in turn, versions come in quick succession, and the store goes back
/// twice meanwhile.
TEST_F(PlatformReturnTest, TwoReturnsInARollingRestartAndAStorm) {
  this->StartAll();
  int version = 1;
  std::map<std::string, std::string> written;
  for (std::size_t host = 0; host < kNodes; ++host) {
    this->fleet.KillNode(host);
    this->fleet.StartNode(host);
    this->fleet.Configure(Configuration(++version));
    std::this_thread::sleep_for(milliseconds(150));
    if (host != 3 && host != 7) continue;
    written = this->fleet.GoBack(milliseconds(host == 3 ? 400 : 1500), Return::kCut);
    std::this_thread::sleep_for(milliseconds(200));
    this->fleet.Configure(Json::parse(written.at(kConfigurationKey)));
  }
  EXPECT_TRUE(WaitUntil(kStartLimit, [this] { return this->AllMeet(); }));
  this->ExpectInForceWithin(version, kApplyTime);
  EXPECT_TRUE(WaitUntil(seconds(5), [this] { return this->EachZoneIsEntered(); }));
  EXPECT_TRUE(HoldsFor(seconds(1), [&] { return this->InForce(version); }));
}

}  // namespace
}  // namespace fireflyrun::platform
