// End-to-end tests of node processes with the platform's adapter; the store and the targets are
// stand-ins.

#include <gtest/gtest.h>

#include <atomic>
#include <set>

#include "tests/integration/wait_until.h"
#include "tests/platform/platform_fleet.h"

namespace fireflyrun::platform {
namespace {

using integration::HoldsFor;
using integration::HttpAnswer;
using integration::WaitUntil;
using Json = nlohmann::json;
using Mode = standins::MetadataFaultMode;

constexpr std::chrono::seconds kStartTimeout{20};
constexpr std::chrono::milliseconds kApplyTimeout{2500};
constexpr std::chrono::milliseconds kStableDuration{1000};
constexpr std::chrono::seconds kRestartTimeout{10};
constexpr std::chrono::seconds kRetryDuration{16};
constexpr std::chrono::seconds kStartWithoutStoreTimeout{30};
constexpr std::size_t kFrontNode = 0;             // zone a, service front
constexpr std::size_t kZoneAShopNode = 1;         // zone a, service shop
constexpr std::size_t kZoneBShopNode = 2;         // zone b, service shop
constexpr std::size_t kLargeBodyBytes = 300'000;  // More than one link's window.
constexpr int kCallDeadlineMs = 3000;
constexpr int kDepthOfAnAnnouncement = 5'000;  // Within the limit of its body.
constexpr int kDepthOfAnEntry = 100'000;

Json Route(const std::string& name, const std::string& kind, const std::string& service) {
  return {{"host", "shop.example"}, {"prefix", "/" + name + "/"},
          {"kind", kind},           {"service", service},
          {"maxAttempts", 2},       {"timeoutS", 3},
          {"targetLatencyS", 1},    {"priority", 1}};
}

Json Configuration(int version, const std::string& service_of_safe = "shop") {
  const Json service = {{"healthPath", "/healthz"}, {"maxConns", 60}};
  Json routes = {{"r-safe", Route("safe", "safe", service_of_safe)},
                 {"r-once", Route("once", "safe", "shop")},
                 {"r-brief", Route("brief", "unsafe", "shop")},
                 {"r-write", Route("write", "unsafe", "shop")},
                 {"r-upload", Route("upload", "upload", "shop")},
                 {"r-front", Route("front", "safe", "front")},
                 {"r-split", Route("split", "safe", "")}};
  routes["r-once"]["maxAttempts"] = 1;
  routes["r-brief"]["timeoutS"] = 0.5;
  routes["r-split"]["service"] = nullptr;
  routes["r-split"]["weightedServices"] = {{{"service", "front"}, {"weight", 1}},
                                           {{"service", "shop"}, {"weight", 3}}};
  return {{"version", version},
          {"routes", routes},
          {"services", {{"front", service}, {"shop", service}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1 << 24},
            {"headerTimeoutS", 3},
            {"idleTimeoutS", 15}}}};
}

/// The request id and deadline headers.
std::vector<std::string> Headers(const std::string& id) {
  return {"Request-Id: " + id, "Deadline-Ms: " + std::to_string(kCallDeadlineMs)};
}

std::string NewId() {
  static std::atomic<int> last = 0;
  return "q" + std::to_string(++last);
}

/// The service that answered; empty if the call failed.
std::string ServiceOf(const HttpAnswer& answer) {
  return answer.status == 200 ? answer.body.substr(0, answer.body.find('\n')) : "";
}

bool IsRefusal(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

class PlatformNodeTest : public testing::Test {
 protected:
  void TearDown() override {
    std::set<std::string> once;
    for (const TargetRun& run : this->fleet.Runs()) {
      EXPECT_EQ(run.Header("Expect-Instance"), run.target_id) << run.request.target;
      const std::string& path = run.request.target;
      const bool repeatable = !path.starts_with("/write/") && !path.starts_with("/upload/");
      EXPECT_TRUE(repeatable || once.insert(run.RequestId()).second) << path << " ran twice";
    }
  }

  HttpAnswer Send(std::size_t host, const std::string& path, const std::string& id = NewId()) {
    return this->fleet.Call(host, "GET", path, Headers(id));
  }

  /// Waits until all nodes are ready and each gets answers from both services.
  void StartServing() {
    this->fleet.Configure(Configuration(1));
    ASSERT_TRUE(WaitUntil(kStartTimeout, [this] { return this->AllNodesServe(); }));
  }

  /// What is wrong with the first node that isn't ready or doesn't serve; empty if all do.
  std::string FirstFault() {
    for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
      const std::string place = "node " + std::to_string(host) + " ";
      const int health = this->fleet.Health(host);
      if (health != 200) return place + "health " + std::to_string(health);
      for (const std::string service : {"shop", "front"}) {
        const std::string path = service == "shop" ? "/safe/x" : "/front/x";
        const HttpAnswer answer = this->Send(host, path);
        if (ServiceOf(answer) == service) continue;
        return place + path + " " + std::to_string(answer.status) + " " + answer.body +
               answer.error;
      }
    }
    return {};
  }

  bool AllNodesServe() {
    this->fault = this->FirstFault();
    return this->fault.empty();
  }

  void WaitForHealthPorts() {
    for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
      ASSERT_TRUE(WaitUntil(kStartTimeout, [&] { return this->fleet.Health(host) != 0; }));
    }
  }

  /// True if all nodes answer callers with 503 and are not ready, as without a configuration.
  bool AllNodesRefuse() {
    for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
      const HttpAnswer answer = this->Send(host, "/safe/x");
      if (answer.status != 503 || this->fleet.Health(host) != 503) return false;
    }
    return true;
  }

  void SetStoreFaults(Mode mode) {
    for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
      this->fleet.SetStoreFault(host, mode);
    }
  }

  bool AllNodesRouteTo(const std::string& service) {
    for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
      if (ServiceOf(this->Send(host, "/safe/x")) != service) return false;
    }
    return true;
  }

  std::string fault;  ///< What AllNodesServe() found last.
  PlatformFleet fleet{{{"n1", "a", "front"}, {"n2", "a", "shop"}, {"n3", "b", "shop"}}};
};

/// Guards against a service whose name is no record name: it was renamed in the configuration, and
/// its targets' announcements were refused.
TEST(PlatformServiceNamesTest, ServicesWithOddNamesAreServed) {
  const std::string odd = "Front_A";
  PlatformFleet fleet({{"n0", "za", odd}, {"n1", "za", "shop"}});
  Json configuration = Configuration(1);
  configuration["routes"]["r-front"]["service"] = odd;
  configuration["services"][odd] = configuration["services"]["front"];
  fleet.Configure(configuration);
  const auto serves = [&](std::size_t host, const std::string& path, const std::string& service) {
    return ServiceOf(fleet.Call(host, "GET", path, Headers(NewId()))) == service;
  };
  ASSERT_TRUE(WaitUntil(kStartTimeout, [&] {
    return serves(1, "/front/x", odd) && serves(0, "/safe/x", "shop");
  })) << fleet.Log(0);
  EXPECT_EQ(fleet.Runs().back().Header("Caller-Service"), odd);
}

TEST_F(PlatformNodeTest, NodesAnswer503BeforeTheFirstConfiguration) {
  this->WaitForHealthPorts();
  EXPECT_TRUE(HoldsFor(kStableDuration, [this] { return this->AllNodesRefuse(); }));
  EXPECT_TRUE(this->fleet.Runs().empty());
  this->fleet.Configure(Configuration(1));
  std::set<int> statuses;
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    EXPECT_TRUE(WaitUntil(kStartTimeout, [&] {
      const int status = this->Send(host, "/safe/x").status;
      statuses.insert(status);
      return status == 200 && this->fleet.Health(host) == 200;
    })) << host;
    EXPECT_EQ(this->Send(host, "/never-there/x").status, 404);
  }
  for (const int status : statuses) EXPECT_TRUE(status == 200 || status == 503) << status;
}

TEST_F(PlatformNodeTest, ForwardsRequestAndAnswerUnchanged) {
  this->StartServing();
  const std::string path = "/write/a%20b/..;c?x=%2F&y=1&y=";
  for (const int status : {200, 404, 500}) {
    TargetBehavior behavior;
    behavior.status = status;
    behavior.answer_bytes = kLargeBodyBytes;
    this->fleet.SetBehavior(behavior);
    const std::string id = NewId();
    auto headers = Headers(id);
    headers.insert(headers.end(),
                   {"Caller-Service: shop", "Expect-Instance: i-forged", "X-Own: 7"});
    const std::string body = PlatformTarget::Body("sent", id, kLargeBodyBytes);
    const HttpAnswer answer = this->fleet.Call(kFrontNode, "PATCH", path, headers, body);
    const TargetRuns runs = this->fleet.Runs(id);
    ASSERT_EQ(runs.size(), 1U);
    const TargetRun& run = runs.front();
    EXPECT_EQ(run.request.method, "PATCH");
    EXPECT_EQ(run.request.target, path);
    EXPECT_TRUE(run.request.body == body);
    EXPECT_EQ(run.Header("X-Own"), "7");
    EXPECT_EQ(run.Header("Caller-Service"), "front");
    for (const char* name : {"Request-Id", "Caller-Service", "Expect-Instance", "Deadline-Ms"}) {
      EXPECT_EQ(run.CountHeader(name), 1) << name;
    }
    const int left = std::stoi(run.Header("Deadline-Ms"));
    EXPECT_GT(left, kCallDeadlineMs / 2);
    EXPECT_LE(left, kCallDeadlineMs);
    EXPECT_EQ(answer.status, status);
    EXPECT_EQ(answer.Header("request-id"), id);
    EXPECT_EQ(answer.Header("response-seal"), PlatformTarget::Seal(run.target_id, id));
    EXPECT_TRUE(answer.body == PlatformTarget::Body("shop", id, kLargeBodyBytes));
  }
}

TEST_F(PlatformNodeTest, DoesNotRetryUnsafeRequestAfterLostAnswer) {
  this->StartServing();
  TargetBehavior losing_answers;
  losing_answers.lost_runs = 1;
  this->fleet.SetBehavior(losing_answers);
  // Long enough for the fleet's retry bound to allow a retry, which the safe request then uses.
  EXPECT_TRUE(HoldsFor(kRetryDuration, [this] {
    for (const char* path : {"/write/x", "/upload/x"}) {
      for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
        const std::string id = NewId();
        const int status = this->fleet.Call(host, "POST", path, Headers(id), "body").status;
        const std::size_t runs = this->fleet.Runs(id).size();
        if ((status != 502 && status != 504) || runs != 1) return false;
      }
    }
    return true;
  }));
  EXPECT_TRUE(
      WaitUntil(kStartTimeout, [this] { return this->Send(kFrontNode, "/safe/x").status == 200; }));
}

TEST_F(PlatformNodeTest, RetriesSafeRequestAtAnotherTargetWithinAttemptsAndDeadline) {
  this->StartServing();
  TargetBehavior losing_answers;
  losing_answers.lost_runs = 1;
  losing_answers.time_before_loss = std::chrono::milliseconds(400);
  this->fleet.SetBehavior(losing_answers);
  TargetRuns runs;
  // Retries are bounded fleet-wide, so the first calls may get none.
  ASSERT_TRUE(WaitUntil(kStartTimeout, [&] {
    const std::string id = NewId();
    const int status = this->Send(kFrontNode, "/safe/x", id).status;
    runs = this->fleet.Runs(id);
    return status == 200;
  }));
  ASSERT_EQ(runs.size(), 2U);
  EXPECT_NE(runs[0].target_id, runs[1].target_id);
  const int first_time_left = std::stoi(runs[0].Header("Deadline-Ms"));
  EXPECT_LE(std::stoi(runs[1].Header("Deadline-Ms")), first_time_left - 390);
  const std::string once = NewId();
  EXPECT_NE(this->Send(kFrontNode, "/once/x", once).status, 200);
  EXPECT_EQ(this->fleet.Runs(once).size(), 1U);
  losing_answers.lost_runs = 9;
  losing_answers.time_before_loss = {};
  this->fleet.SetBehavior(losing_answers);
  std::size_t max_runs = 0;
  EXPECT_TRUE(WaitUntil(kStartTimeout, [&] {
    const std::string id = NewId();
    EXPECT_NE(this->Send(kFrontNode, "/safe/x", id).status, 200);
    max_runs = std::max(max_runs, this->fleet.Runs(id).size());
    return max_runs >= 2;
  }));
  EXPECT_EQ(max_runs, 2U);
}

TEST_F(PlatformNodeTest, ReplacedTargetDoesNotRunRequestsMeantForItsPredecessor) {
  this->StartServing();
  TargetBehavior not_announcing;
  not_announcing.announce = false;
  this->fleet.SetBehavior(not_announcing);
  this->fleet.ReplaceTarget(kZoneAShopNode, "i-second");
  this->fleet.ReplaceTarget(kZoneBShopNode, "i-third");
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    const std::string id = NewId();
    const int status = this->fleet.Call(host, "POST", "/write/x", Headers(id), "body").status;
    const std::size_t runs = this->fleet.Runs(id).size();
    EXPECT_TRUE(status == 200 || IsRefusal(status)) << status;
    EXPECT_EQ(runs, status == 200 ? 1U : 0U) << status;
  }
  EXPECT_GT(this->fleet.CountMisdirected(), 0U);
  this->fleet.SetBehavior({});
  EXPECT_TRUE(WaitUntil(kStartTimeout, [this] { return this->AllNodesServe(); }));
}

TEST_F(PlatformNodeTest, AppliesNewVersionInTimeOnNodeWithoutStore) {
  this->StartServing();
  int version = 1;
  std::string service = "shop";
  for (const Mode mode : {Mode::kOk, Mode::kLoseAnswers, Mode::kBusy, Mode::kThrottled,
                          Mode::kReset, Mode::kSilent, Mode::kDown}) {
    const std::string other = service == "shop" ? "front" : "shop";
    this->fleet.SetStoreFault(kZoneBShopNode, mode);
    this->fleet.Configure(Configuration(version += 3, other));
    EXPECT_TRUE(WaitUntil(kApplyTimeout, [&] { return this->AllNodesRouteTo(other); }))
        << "mode " << static_cast<int>(mode);
    EXPECT_TRUE(HoldsFor(kStableDuration / 2, [&] { return this->AllNodesRouteTo(other); }));
    this->fleet.SetStoreFault(kZoneBShopNode, Mode::kOk);
    service = other;
  }
}

TEST_F(PlatformNodeTest, StaleReadDoesNotRevertVersion) {
  this->StartServing();
  this->fleet.OnModel([](auto& model) { model.FreezeReads(true); });
  this->fleet.Configure(Configuration(5, "front"));
  ASSERT_TRUE(WaitUntil(kApplyTimeout, [this] { return this->AllNodesRouteTo("front"); }));
  this->fleet.OnModel([](auto& model) { model.DropHistory(); });
  this->fleet.CutWatches();
  EXPECT_TRUE(HoldsFor(2 * kStableDuration, [this] { return this->AllNodesRouteTo("front"); }));
  this->fleet.OnModel([](auto& model) { model.FreezeReads(false); });
}

/// The store shows a node that starts what it held before the latest change.
TEST_F(PlatformNodeTest, RestartedNodeIsNotReadyWithAnEarlierVersionFromAStaleRead) {
  this->StartServing();
  this->fleet.OnModel([](auto& model) { model.FreezeReads(true); });
  this->fleet.Configure(Configuration(5, "front"));
  ASSERT_TRUE(WaitUntil(kApplyTimeout, [this] { return this->AllNodesRouteTo("front"); }));
  this->fleet.KillNode(kZoneAShopNode);
  this->fleet.StartNode(kZoneAShopNode);
  ASSERT_TRUE(
      WaitUntil(kRestartTimeout, [this] { return this->fleet.Health(kZoneAShopNode) == 200; }));
  EXPECT_TRUE(HoldsFor(kStableDuration, [this] {
    return ServiceOf(this->Send(kZoneAShopNode, "/safe/x")) == "front";
  }));
  this->fleet.OnModel([](auto& model) { model.FreezeReads(false); });
}

TEST_F(PlatformNodeTest, AppliesRouteWeightsAndTimeouts) {
  this->StartServing();
  constexpr int kCalls = 600;
  int at_front = 0;
  for (int call = 0; call < kCalls; ++call) {
    const std::string service = ServiceOf(this->Send(call % 3, "/split/x"));
    EXPECT_FALSE(service.empty());
    at_front += service == "front" ? 1 : 0;
  }
  EXPECT_NEAR(at_front, kCalls / 4.0, kCalls / 12.0);
  TargetBehavior hanging;
  hanging.hang = true;
  this->fleet.SetBehavior(hanging);
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    const SteadyTime start = SteadyClock::now();
    EXPECT_EQ(this->Send(host, "/brief/x").status, 504);
    const Duration elapsed = SteadyClock::now() - start;
    EXPECT_GE(elapsed, std::chrono::milliseconds(400));
    EXPECT_LE(elapsed, std::chrono::milliseconds(1000));
  }
}

/// Guards against a version that never comes into force for its weights: 0.4 and 0.1 were read as
/// 0, and every route kept the version before.
TEST_F(PlatformNodeTest, VersionWithFractionalWeightsComesIntoForceInTime) {
  this->StartServing();
  Json changed = Configuration(5, "front");
  changed["routes"]["r-split"]["weightedServices"] = {{{"service", "front"}, {"weight", 0.4}},
                                                      {{"service", "shop"}, {"weight", 0.1}}};
  this->fleet.Configure(changed);
  ASSERT_TRUE(WaitUntil(kApplyTimeout, [this] { return this->AllNodesRouteTo("front"); }));
  constexpr int kCalls = 600;
  int at_front = 0;
  for (int call = 0; call < kCalls; ++call) {
    at_front += ServiceOf(this->Send(call % 3, "/split/x")) == "front" ? 1 : 0;
  }
  EXPECT_NEAR(at_front, 0.8 * kCalls, 0.01 * kCalls);
}

/// Guards against a route that is left out for the length of its prefix: the service of a shorter
/// prefix ran its requests.
TEST_F(PlatformNodeTest, RouteWithALongPrefixTakesItsRequestsInTime) {
  this->StartServing();
  Json changed = Configuration(5, "front");
  changed["routes"]["r-root"] = Route("safe", "unsafe", "shop");
  changed["routes"]["r-root"]["prefix"] = "/";
  changed["routes"]["r-long"] = Route(std::string(700, 'p'), "unsafe", "front");
  changed["routes"]["r-longest"] = Route(std::string(9000, 'q'), "unsafe", "front");
  this->fleet.Configure(changed);
  ASSERT_TRUE(WaitUntil(kApplyTimeout, [this] { return this->AllNodesRouteTo("front"); }));
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    EXPECT_EQ(ServiceOf(this->Send(host, "/" + std::string(700, 'p') + "/x")), "front");
    EXPECT_EQ(ServiceOf(this->Send(host, "/" + std::string(9000, 'q') + "/x")), "front");
    EXPECT_EQ(ServiceOf(this->Send(host, "/" + std::string(699, 'p') + "/x")), "shop");
  }
}

/// Guards against a version that is valid and large, and comes into force too late or takes more
/// memory than the smallest hosts have.
TEST_F(PlatformNodeTest, LargeVersionsComeIntoForceInTimeAndLittleMemory) {
  constexpr int kRoutes = 250;
  constexpr std::size_t kPrefixBytes = 4000;
  constexpr std::uint64_t kSmallestHostBytes = 160'000'000;
  this->StartServing();
  std::string service = "shop";
  for (int version = 5; version < 10; ++version) {
    service = service == "shop" ? "front" : "shop";
    Json large = Configuration(version, service);
    for (int i = 0; i < kRoutes; ++i) {
      const std::string name = std::to_string(version) + "-" + std::to_string(i);
      large["routes"]["large-" + name] =
          Route(name + std::string(kPrefixBytes, 'p'), "safe", "shop");
    }
    this->fleet.Configure(large);
    ASSERT_TRUE(WaitUntil(kApplyTimeout, [&] { return this->AllNodesRouteTo(service); }));
  }
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    const std::string path = "/9-249" + std::string(kPrefixBytes, 'p') + "/x";
    EXPECT_EQ(ServiceOf(this->Send(host, path)), "shop");
    const std::uint64_t resident = this->fleet.ResidentBytes(host);
    EXPECT_GT(resident, 0U);
    EXPECT_LT(resident, kSmallestHostBytes);
    RecordProperty("resident_bytes_" + std::to_string(host), std::to_string(resident));
  }
}

/// Guards against an unusable route that holds its version back, or whose requests another route
/// takes.
TEST_F(PlatformNodeTest, UnusableRouteRefusesItsOwnRequestsOnly) {
  this->StartServing();
  Json changed = Configuration(5, "front");
  changed["routes"]["r-root"] = Route("safe", "unsafe", "shop");
  changed["routes"]["r-root"]["prefix"] = "/";
  changed["routes"]["r-odd"] = Route("odd", "unsafe", "front");
  changed["routes"]["r-odd"]["service"] = 5;
  this->fleet.Configure(changed);
  ASSERT_TRUE(WaitUntil(kApplyTimeout, [this] { return this->AllNodesRouteTo("front"); }));
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    const std::string id = NewId();
    const HttpAnswer answer = this->fleet.Call(host, "POST", "/odd/x", Headers(id));
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("r-odd/service"), std::string::npos) << answer.body;
    EXPECT_TRUE(this->fleet.Runs(id).empty());
    EXPECT_EQ(ServiceOf(this->Send(host, "/else/x")), "shop");
    EXPECT_TRUE(WaitUntil(kApplyTimeout, [&] {
      return this->fleet.Log(host).find("its calls are refused") != std::string::npos;
    }));
  }
}

/// Guards against versions of more than 53 bits, of which none but the first came into force.
TEST_F(PlatformNodeTest, VersionsInNanosecondsComeIntoForceInTime) {
  this->StartServing();
  std::int64_t version = 1'796'657'791'334'000'000;
  std::string service = "shop";
  for (int i = 0; i < 4; ++i) {
    service = service == "shop" ? "front" : "shop";
    Json changed = Configuration(1, service);
    changed["version"] = version += 1 + i;
    this->fleet.Configure(changed);
    ASSERT_TRUE(WaitUntil(kApplyTimeout, [&] { return this->AllNodesRouteTo(service); })) << i;
  }
}

/// Guards against 413 for what the operator allows: the node's own limit was 8 MiB, whatever the
/// configuration said.
TEST_F(PlatformNodeTest, BodiesThatTheConfigurationAllowsAreServed) {
  constexpr std::size_t kAllowed = 15 << 20;
  this->StartServing();
  const std::string body(kAllowed, 'b');
  const HttpAnswer answer =
      this->fleet.Call(kFrontNode, "POST", "/upload/x", Headers(NewId()), body);
  EXPECT_EQ(answer.status, 200) << answer.body << answer.error;
  const std::string larger((1 << 24) + 1, 'b');
  EXPECT_EQ(this->fleet.Call(kFrontNode, "POST", "/upload/x", Headers(NewId()), larger).status,
            413);
}

/// What another writer may leave in place of a target or a node; `depth` is that of nested values.
std::vector<std::string> OddEntries(int depth) {
  std::string nested_objects;
  for (int level = 0; level < depth; ++level) nested_objects += R"({"service":)";
  const std::string begin = R"({"service":"shop","state":"serving","seq":9,"address":")";
  return {
      "",
      "null",
      "7",
      std::string("\xff\xfe\0", 3),
      "{\"service\":",
      std::string(depth, '['),
      nested_objects,
      begin + R"(127.0.0.1:99999","slots":4})",
      begin + R"(127.0.0.1:-1","slots":4})",
      begin + R"(no address","slots":4})",
      begin + R"(127.0.0.1:80","slots":1e999})",
      begin + R"(127.0.0.1:80","slots":99999999999999999999999})",
      begin + R"(127.0.0.1:80","slots":4,"born":1e300})",
      begin + R"(127.0.0.1:80","slots":4,"born":18446744073709551615})",
      begin + R"(127.0.0.1:80","slots":4,"cold_left":1e300})",
      R"({"node":"nx","control_address":"127.0.0.1:99999","admin_address":"127.0.0.1:1"})",
      R"({"node":"ny","control_address":"no address","admin_address":7})",
      R"({"node":"nz","control_address":")" + std::string(depth, ':') + R"(","admin_address":""})"};
}

TEST_F(PlatformNodeTest, OddAnnouncementsLeaveTheTargetAndItsNodeAlone) {
  this->StartServing();
  for (const std::string& entry : OddEntries(kDepthOfAnAnnouncement)) {
    const int status = this->fleet.Announce(kZoneAShopNode, "i-odd", entry);
    EXPECT_EQ(status, 400) << entry.substr(0, 100);
  }
  EXPECT_TRUE(HoldsFor(kStableDuration, [this] { return this->AllNodesServe(); })) << this->fault;
}

TEST_F(PlatformNodeTest, OddEntriesAmongTheNodesListedInTheStoreLeaveTheOthersAlone) {
  this->StartServing();
  this->fleet.OnModel([](auto& model) {
    int slot = 0;
    for (const std::string& entry : OddEntries(kDepthOfAnEntry)) {
      model.Put("/fireflyrun/platform/roster/a/" + std::to_string(100 + slot++), entry);
    }
  });
  this->fleet.KillNode(kZoneAShopNode);
  this->fleet.StartNode(kZoneAShopNode);
  EXPECT_TRUE(WaitUntil(kStartTimeout, [this] { return this->AllNodesServe(); }));
  EXPECT_TRUE(HoldsFor(kStableDuration, [this] { return this->AllNodesServe(); })) << this->fault;
}

TEST_F(PlatformNodeTest, RestartedNodeIsReadyOnceItServes) {
  this->StartServing();
  this->fleet.KillNode(kZoneAShopNode);
  this->fleet.StartNode(kZoneAShopNode);
  EXPECT_TRUE(WaitUntil(kRestartTimeout, [this] {
    if (this->fleet.Health(kZoneAShopNode) != 200) return false;
    EXPECT_EQ(this->Send(kZoneAShopNode, "/safe/x").status, 200)
        << "the node is ready but does not serve";
    return true;
  }));
  const std::string own = this->fleet.TargetId(kZoneAShopNode);
  EXPECT_TRUE(WaitUntil(kRestartTimeout, [&] {
    const std::string id = NewId();
    this->Send(kFrontNode, "/safe/x", id);
    const TargetRuns runs = this->fleet.Runs(id);
    return runs.size() == 1 && runs[0].target_id == own;
  })) << "the restarted node's target gets no calls from other nodes";
}

TEST_F(PlatformNodeTest, KeepsServingHeldConfigurationWithoutStore) {
  this->StartServing();
  this->SetStoreFaults(Mode::kDown);
  this->fleet.KillNode(kZoneAShopNode);
  this->fleet.StartNode(kZoneAShopNode);
  // Members that remember the node's address send it their records.
  EXPECT_TRUE(WaitUntil(kStartWithoutStoreTimeout, [this] {
    for (const std::size_t host : {kFrontNode, kZoneBShopNode}) {
      EXPECT_EQ(this->fleet.Health(host), 200);
      EXPECT_EQ(this->Send(host, "/safe/x").status, 200);
    }
    return this->fleet.Health(kZoneAShopNode) == 200;
  }));
  EXPECT_TRUE(HoldsFor(kStableDuration, [this] { return this->AllNodesRouteTo("shop"); }));
}

TEST_F(PlatformNodeTest, NodesAreNotReadyWhenAllStartWithoutStore) {
  this->StartServing();
  this->SetStoreFaults(Mode::kDown);
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    this->fleet.KillNode(host);
  }
  for (const std::size_t host : {kFrontNode, kZoneAShopNode, kZoneBShopNode}) {
    this->fleet.StartNode(host);
  }
  this->WaitForHealthPorts();
  EXPECT_TRUE(HoldsFor(2 * kStableDuration, [this] { return this->AllNodesRefuse(); }));
  this->SetStoreFaults(Mode::kOk);
  EXPECT_TRUE(WaitUntil(kStartTimeout, [this] { return this->AllNodesServe(); }));
}

}  // namespace
}  // namespace fireflyrun::platform
