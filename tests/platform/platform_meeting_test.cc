// Nodes on the platform meet after outages of its store, whenever those come.

#include <gtest/gtest.h>

#include <iostream>

#include "tests/integration/wait_until.h"
#include "tests/platform/platform_fleet.h"

namespace fireflyrun::platform {
namespace {

using integration::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Json = nlohmann::json;
using Mode = standins::MetadataFaultMode;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kNodes = 12;
constexpr std::size_t kZones = 4;
/// From the store's return until every node reaches every other.
constexpr seconds kMeetingTime{2};
/// The same from the return of the processes, if the store is there.
constexpr seconds kRecoveryTime{15};
constexpr seconds kLimit{40};
constexpr seconds kOutage{8};
/// Until the leases in the roster have ended.
constexpr seconds kLongOutage{40};
/// Until a lease that was not renewed in an outage would have ended.
constexpr seconds kBetweenOutages{35};

std::string ServiceOf(std::size_t host) { return "s" + std::to_string(host); }

/// Each host has a service of its own.
std::vector<PlatformFleet::Host> Layout() {
  std::vector<PlatformFleet::Host> hosts;
  for (std::size_t i = 0; i < kNodes; ++i) {
    hosts.push_back({"n" + std::to_string(i), "z" + std::to_string(i % kZones), ServiceOf(i)});
  }
  return hosts;
}

Json Configuration(int version) {
  Json routes = Json::object();
  Json services = Json::object();
  for (std::size_t i = 0; i < kNodes; ++i) {
    const std::string service = ServiceOf(i);
    services[service] = {{"healthPath", "/healthz"}, {"maxConns", 60}};
    routes["r-" + service] = {{"host", "shop.example"}, {"prefix", "/" + service + "/"},
                              {"kind", "safe"},         {"service", service},
                              {"maxAttempts", 2},       {"timeoutS", 1},
                              {"priority", 1}};
  }
  return {{"version", version}, {"routes", routes}, {"services", services}};
}

/// Guards against a fleet whose nodes don't know each other for minutes after the store was busy.
class PlatformMeetingTest : public testing::Test {
 protected:
  PlatformMeetingTest() { this->fleet.Configure(Configuration(1)); }

  void SetFault(Mode mode) {
    for (std::size_t host = 0; host < kNodes; ++host) this->fleet.SetStoreFault(host, mode);
  }

  void StartAll() {
    for (std::size_t host = 0; host < kNodes; ++host) this->fleet.StartNode(host);
  }

  void KillAll() {
    for (std::size_t host = 0; host < kNodes; ++host) this->fleet.KillNode(host);
  }

  bool Reaches(std::size_t from, std::size_t to) const {
    const std::vector<std::string> headers = {"Request-Id: q", "Deadline-Ms: 1000"};
    return this->fleet.Call(from, "GET", "/" + ServiceOf(to) + "/x", headers).status == 200;
  }

  /// Each node reaches the next one and one of another zone.
  bool AllMeet() const {
    for (std::size_t host = 0; host < kNodes; ++host) {
      if (!this->Reaches(host, (host + 1) % kNodes)) return false;
      if (!this->Reaches(host, (host + kZones) % kNodes)) return false;
    }
    return true;
  }

  /// How long it takes until all nodes meet.
  Duration TimeToMeet(const std::string& what) const {
    const auto start = Clock::now();
    EXPECT_TRUE(WaitUntil(kLimit, [this] { return this->AllMeet(); })) << what;
    const Duration time = Clock::now() - start;
    std::cout << what << ": " << ToMilliseconds(time).count() << " ms\n";
    return time;
  }

  PlatformFleet fleet{Layout(), PlatformFleet::Start::kLater};
};

TEST_F(PlatformMeetingTest, AfterAFirstStartWithoutTheStore) {
  for (const Mode mode : {Mode::kBusy, Mode::kSilent, Mode::kReset}) {
    for (const seconds outage : {seconds(1), kOutage}) {
      SCOPED_TRACE(static_cast<int>(mode));
      this->SetFault(mode);
      this->StartAll();
      std::this_thread::sleep_for(outage);
      this->SetFault(Mode::kOk);
      const Duration bound = outage > seconds(1) ? Duration(kMeetingTime) : kRecoveryTime;
      EXPECT_LE(this->TimeToMeet("first start"), bound);
      this->KillAll();
      this->fleet.OnModel([](auto& model) { model.ExpireLeases(SteadyTime::max()); });
    }
  }
}

TEST_F(PlatformMeetingTest, AfterAKillOfAllBetweenTwoOutages) {
  this->StartAll();
  ASSERT_TRUE(WaitUntil(kLimit, [this] { return this->AllMeet(); }));
  this->SetFault(Mode::kBusy);
  std::this_thread::sleep_for(kOutage);
  this->SetFault(Mode::kOk);
  std::this_thread::sleep_for(kBetweenOutages);
  this->SetFault(Mode::kBusy);
  this->KillAll();
  this->StartAll();
  std::this_thread::sleep_for(kOutage);
  this->SetFault(Mode::kOk);
  EXPECT_LE(this->TimeToMeet("kill of all between outages"), kMeetingTime);
}

TEST_F(PlatformMeetingTest, AfterAnOutageThatOutlastsTheLeases) {
  this->StartAll();
  ASSERT_TRUE(WaitUntil(kLimit, [this] { return this->AllMeet(); }));
  this->SetFault(Mode::kBusy);
  std::this_thread::sleep_for(kLongOutage);
  EXPECT_TRUE(this->AllMeet()) << "the store is not needed by nodes that know each other";
  this->KillAll();
  this->StartAll();
  std::this_thread::sleep_for(seconds(5));
  this->SetFault(Mode::kOk);
  EXPECT_LE(this->TimeToMeet("kill of all in a long outage"), kMeetingTime);
}

}  // namespace
}  // namespace fireflyrun::platform
