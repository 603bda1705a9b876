#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <csignal>
#include <functional>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kGrace{6'000};
constexpr milliseconds kNotice{3'000};
/// The gap between two requests of a stream.
constexpr milliseconds kGap{50};
/// Requests that arrive well before the notice ends. It counts from the last timer before the
/// signal.
constexpr std::size_t kSurelyServed = (kNotice - milliseconds(500)) / kGap;
constexpr milliseconds kLimit{10'000};
constexpr milliseconds kMoment{300};
/// A request that is read in this time before the process ends may go unanswered.
constexpr milliseconds kCrossingTime{200};
constexpr int kServiceTimeMs = 800;
constexpr int kUsualServiceTimeMs = 160;
constexpr int kLongServiceTimeMs = 1'800;
constexpr int kLongDeadlineMs = 20'000;
/// Of calls to the service `brief`.
constexpr int kBriefDeadlineMs = 1'500;
constexpr int kOk = 200;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr int kNoAnswer = 0;
const std::vector<std::string> kNodeFlags = {
    "--stop-grace",      "6", "--stop-notice", "3", "--request-id-header", "X-Request-Id",
    "--child-separator", "."};

json Service(const std::string& name, bool idempotent, int deadline_ms = kLongDeadlineMs) {
  return {{"kind", "service"},
          {"schema", 1},
          {"name", name},
          {"priority", "critical"},
          {"retry_allowance", "standard"},
          {"deadline_ms", deadline_ms},
          {"idempotent", idempotent}};
}

std::string Records() {
  const json allowance = {{"kind", "retry_allowance"}, {"schema", 1},   {"name", "standard"},
                          {"retries_per_request", 3},  {"burst", 1000}, {"success_ratio", 1}};
  const json priority = {{"kind", "priority"},
                         {"schema", 1},
                         {"name", "critical"},
                         {"rank", 0},
                         {"may_leave_region", true}};
  return json::array({priority, allowance, Service("desk", true), Service("leaf", true),
                      Service("orders", false), Service("brief", true, kBriefDeadlineMs)})
      .dump();
}

/// One request of a stream, and what its caller got.
struct StreamResult {
  std::string tag;
  milliseconds sent;  ///< After the notice of the stop.
  HttpAnswer answer;

  /// Of this request; the outcome of earlier ones with its key may be unknown.
  bool SaysNotRun() const { return this->answer.status == kUnavailable; }
  std::string Describe() const {
    return this->tag + " sent " + std::to_string(this->sent.count()) +
           " ms after: " + std::to_string(this->answer.status) + " " +
           this->answer.Header("firefly-outcome") + " " + this->answer.body + this->answer.error +
           "\n";
  }
};

/// Requests sent at fixed times from the notice of a stop on, each by a thread of its own.
class Stream {
 public:
  /// Makes the request with the given tag, and waits for its answer.
  using Caller = std::function<HttpAnswer(const std::string& tag)>;

  Stream(std::string stream_name, Caller make_call)
      : name(std::move(stream_name)), caller(std::move(make_call)) {}

  /// `stop` is the time of the notice.
  void SendSince(Clock::time_point stop) {
    const std::string tag = this->name + std::to_string(this->results.size());
    const auto sent = std::chrono::duration_cast<milliseconds>(Clock::now() - stop);
    this->results.push_back(std::async(std::launch::async, [this, tag, sent] {
      return StreamResult{tag, sent, this->caller(tag)};
    }));
  }

  std::vector<StreamResult> Collect() {
    std::vector<StreamResult> collected;
    collected.reserve(this->results.size());
    for (auto& result : this->results) collected.push_back(result.get());
    return collected;
  }

 private:
  std::string name;
  Caller caller;
  std::vector<std::future<StreamResult>> results;
};

class PlannedStopTest : public ::testing::Test {
 protected:
  /// `a1` is stopped. Its target is one of `desk`, the others' are the rest.
  explicit PlannedStopTest(int leaf_slots = 200)
      : fleet({{"a1", "east", "east-a", "desk", 200, kServiceTimeMs, "", kNodeFlags, {}},
               {"a2", "east", "east-a", "leaf", leaf_slots, kServiceTimeMs, "", kNodeFlags, {}},
               {"a3", "east", "east-a", "orders", 200, kServiceTimeMs, "", kNodeFlags, {}},
               {"a4", "east", "east-a", "desk", 200, kServiceTimeMs, "", kNodeFlags, {}},
               {"a5", "east", "east-a", "orders", 200, kServiceTimeMs, "", kNodeFlags, {}},
               {"a6", "east", "east-a", "brief", 200, kServiceTimeMs, "", kNodeFlags, {}}},
              Records()) {}

  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  HttpCall Request(const std::string& node, const std::string& method, const std::string& path,
                   const std::string& tag, const std::string& id = "") const {
    HttpCall call;
    call.method = method;
    call.url = this->fleet.CallerUrl(node) + path;
    call.headers = {"X-Request-Tag: " + tag};
    if (method == "POST") call.headers.push_back("Idempotency-Key: " + tag);
    if (!id.empty()) call.headers.push_back("X-Request-Id: " + id);
    return call;
  }

  /// A caller of the stopping node; a call of its target where `parent` is given.
  Stream::Caller CallerOf(const std::string& method, const std::string& path,
                          const std::string& parent = "",
                          const std::vector<std::string>& headers = {}) {
    return [this, method, path, parent, headers](const std::string& tag) {
      const std::string id = parent.empty() ? "" : parent + "." + tag;
      HttpCall call = this->Request("a1", method, path, tag, id);
      call.headers.insert(call.headers.end(), headers.begin(), headers.end());
      return MakeCall(call);
    };
  }

  /// The id of a request that runs at the target of `a1`, and doesn't end.
  std::string StartParent() {
    for (const char* node : {"a1", "a4"}) this->fleet.SetTargetFault(node, R"({"hang": true})");
    std::string parent;
    EXPECT_TRUE(WaitUntil(kLimit, [&] { return !(parent = this->SendParent()).empty(); }));
    return parent;
  }

  /// Calls of the kinds that the test makes, so that the node knows how long they take.
  void WarmUp() {
    std::vector<std::future<HttpAnswer>> calls;
    for (int i = 0; i < 5; ++i) {
      const std::string tag = "warm" + std::to_string(i);
      calls.push_back(std::async(std::launch::async, CallerOf("GET", "/leaf/x"), tag));
      calls.push_back(std::async(std::launch::async, CallerOf("POST", "/orders/x"), tag));
    }
    for (auto& call : calls) EXPECT_EQ(call.get().status, kOk);
  }

  /// Stops `a1`, sends a request of each stream every `kGap` for `span`, and waits for the end.
  void StopWhileSending(std::vector<Stream*> streams, milliseconds span) {
    this->fleet.NodeProcess("a1").Signal(SIGTERM);
    const auto start = Clock::now();
    for (auto next = start; next < start + span; next += kGap) {
      std::this_thread::sleep_until(next);
      for (Stream* stream : streams) stream->SendSince(start);
    }
    EXPECT_EQ(this->fleet.NodeProcess("a1").WaitForExit(kLimit), 0);
    this->ended = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
    EXPECT_LT(this->ended, kGrace);
  }

  /// The tags of all requests that a target has begun to run.
  std::set<std::string> RunTags() const {
    std::set<std::string> tags;
    for (const auto& node : this->fleet.NodesWithTargets()) {
      const json runs = json::parse(this->fleet.Runs(node));
      for (const auto& run : runs["list"]) tags.insert(run.value("tag", ""));
    }
    return tags;
  }

  /// The requests that were passed on and got no whole answer, or are said not to have run although
  /// they have.
  std::string Lost(const std::vector<StreamResult>& results) const {
    const auto run = this->RunTags();
    std::string lost;
    for (const auto& result : results) {
      const bool has_run = run.contains(result.tag);
      const bool whole = result.answer.status == kOk;
      if (has_run && !whole) lost += result.Describe();
    }
    return lost;
  }

  /// The requests whose connections were accepted and closed without an answer, but for those that
  /// crossed the end of the process.
  std::string Cut(const std::vector<StreamResult>& results) const {
    std::string cut;
    for (const auto& result : results) {
      const bool connected = result.answer.error.find("connect to server") == std::string::npos;
      const bool crossed_end = result.sent + kCrossingTime >= this->ended;
      const bool answered = result.answer.status != kNoAnswer;
      if (connected && !answered && !crossed_end) cut += result.Describe();
    }
    return cut;
  }

  /// The refusals that tell the caller nothing, or not when to come back.
  static std::string Unclear(const std::vector<StreamResult>& results) {
    std::string unclear;
    for (const auto& result : results) {
      const int status = result.answer.status;
      if (status == kOk || status == kNoAnswer) continue;
      const bool clear = result.SaysNotRun() && !result.answer.Header("retry-after").empty();
      if (!clear) unclear += result.Describe();
    }
    return unclear;
  }

  static std::size_t CountAnswered(const std::vector<StreamResult>& results) {
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(),
                      [](const StreamResult& result) { return result.answer.status == kOk; }));
  }

  Fleet fleet;
  milliseconds ended{0};  ///< When the stopped process had ended, after the notice.

 private:
  /// The id of a new request for `desk`; empty if it doesn't run at the target of `a1`.
  std::string SendParent() {
    const std::string id = "parent" + std::to_string(this->parents.size());
    this->parents.push_back(std::async(std::launch::async, [this, id] {
      return MakeCall(this->Request("a2", "GET", "/desk/x", id, id));
    }));
    const bool runs_there =
        WaitUntil(kMoment, [&] { return this->fleet.Runs("a1").find(id) != std::string::npos; });
    return runs_there ? id : "";
  }

  std::vector<std::future<HttpAnswer>> parents;
};

TEST_F(PlannedStopTest, CallsOfTheLocalTargetAreAnsweredWholeOrRefused) {
  this->WarmUp();
  const std::string parent = this->StartParent();
  ASSERT_FALSE(parent.empty());
  Stream reads("read", this->CallerOf("GET", "/leaf/x", parent));
  Stream writes("write", this->CallerOf("POST", "/orders/x", parent));
  Stream brief_reads("brief", this->CallerOf("GET", "/brief/x", parent));
  this->StopWhileSending({&reads, &writes, &brief_reads}, kGrace - kGap);
  std::vector<std::size_t> answered;
  for (Stream* stream : {&reads, &writes, &brief_reads}) {
    const auto results = stream->Collect();
    EXPECT_EQ(this->Lost(results), "");
    EXPECT_EQ(this->Cut(results), "");
    EXPECT_EQ(Unclear(results), "");
    answered.push_back(CountAnswered(results));
    EXPECT_GE(answered.back(), kSurelyServed);
  }
  // Calls go on after the notice, as long as their deadlines are within the drain.
  EXPECT_GT(answered[2], answered[0]);
  EXPECT_GT(answered[2], answered[1]);
}

/// Guards against calls that a stopping node starts by an estimate of their time and breaks off:
/// they take 0.16 s until the notice ends, and 1.8 s after it.
TEST_F(PlannedStopTest, CallsThatTakeFarLongerThanBeforeAreNotBrokenOff) {
  const auto service_time = [](int ms) { return "X-Service-Time-Ms: " + std::to_string(ms); };
  const auto usual = this->CallerOf("GET", "/leaf/x", "", {service_time(kUsualServiceTimeMs)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(usual("usual" + std::to_string(i)).status, kOk);
  const std::string parent = this->StartParent();
  ASSERT_FALSE(parent.empty());
  const auto brief = this->CallerOf("GET", "/leaf/x", parent, {service_time(kUsualServiceTimeMs)});
  const auto longer = this->CallerOf("GET", "/leaf/x", parent, {service_time(kLongServiceTimeMs)});
  Stream reads("read", [&](const std::string& tag) {
    const milliseconds sent = std::stoi(tag.substr(4)) * kGap;
    return sent < kNotice ? brief(tag) : longer(tag);
  });
  this->StopWhileSending({&reads}, kGrace - kGap);
  const auto results = reads.Collect();
  EXPECT_EQ(this->Lost(results), "");
  EXPECT_EQ(this->Cut(results), "");
  EXPECT_EQ(Unclear(results), "");
  EXPECT_GE(CountAnswered(results), kSurelyServed);
}

TEST_F(PlannedStopTest, RequestsOnNewAndKeptConnectionsAreAnsweredWholeOrRefused) {
  this->WarmUp();
  constexpr std::size_t kSessions = 40;
  std::vector<CallSession> sessions(kSessions);
  std::vector<std::mutex> locks(kSessions);
  std::atomic<std::size_t> next = 0;
  const auto on_kept = [&](const std::string& tag) {
    const std::size_t index = next++ % kSessions;
    const std::lock_guard lock(locks[index]);
    return sessions[index].Make(this->Request("a1", "GET", "/leaf/x", tag));
  };
  std::vector<std::future<HttpAnswer>> first;
  for (std::size_t i = 0; i < kSessions; ++i) {
    first.push_back(std::async(std::launch::async, on_kept, "first" + std::to_string(i)));
  }
  for (auto& call : first) EXPECT_EQ(call.get().status, kOk);
  Stream reads("read", this->CallerOf("GET", "/leaf/x"));
  Stream writes("write", this->CallerOf("POST", "/orders/x"));
  Stream kept("kept", on_kept);
  this->StopWhileSending({&reads, &writes, &kept}, kGrace - kGap);
  for (Stream* stream : {&reads, &writes, &kept}) {
    const auto results = stream->Collect();
    EXPECT_EQ(this->Lost(results), "");
    EXPECT_EQ(this->Cut(results), "");
    EXPECT_EQ(Unclear(results), "");
    EXPECT_GE(CountAnswered(results), kSurelyServed);
  }
}

/// A repeat late in the grace would be cut off; the answer of the last attempt is not.
TEST_F(PlannedStopTest, RepeatsDoNotOutlastTheDrain) {
  this->WarmUp();
  this->fleet.SetTargetFault("a2", R"({"fail": true})");
  Stream reads("read", this->CallerOf("GET", "/leaf/x"));
  this->StopWhileSending({&reads}, kNotice - kGap);
  const auto run = this->RunTags();
  for (const auto& result : reads.Collect()) {
    const bool not_run = result.SaysNotRun() && !run.contains(result.tag);
    EXPECT_TRUE(result.answer.status == kInternalError || not_run) << result.Describe();
  }
}

/// Other hosts' calls for the target of the stopping node.
TEST_F(PlannedStopTest, CallsOfOtherHostsAreAnsweredWhole) {
  this->WarmUp();
  Stream reads("read", [this](const std::string& tag) {
    return MakeCall(this->Request("a2", "GET", "/desk/x", tag));
  });
  this->StopWhileSending({&reads}, kGrace);
  for (const auto& result : reads.Collect()) {
    EXPECT_EQ(result.answer.status, kOk) << result.Describe();
  }
}

/// A request whose head came before the notice ended and whose body ends later.
TEST_F(PlannedStopTest, LateBodiesAreAnsweredWholeOrRefused) {
  this->WarmUp();
  const auto start = Clock::now();
  const auto upload = [&](const std::string& tag, milliseconds body_end) {
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop);
    const std::string address = this->fleet.Address("a1");
    socket.connect({asio::ip::make_address(address), 7400});
    const std::string head = "POST /orders/x HTTP/1.1\r\nHost: x\r\nX-Request-Tag: " + tag +
                             "\r\nIdempotency-Key: " + tag + "\r\nContent-Length: 4\r\n\r\nab";
    asio::write(socket, asio::buffer(head));
    std::this_thread::sleep_until(start + body_end);
    asio::error_code error;
    asio::write(socket, asio::buffer(std::string_view("cd")), error);
    std::string text;
    asio::read(socket, asio::dynamic_buffer(text), error);
    HttpAnswer answer;
    if (text.size() > 12) answer.status = std::stoi(text.substr(9, 3));
    if (text.find("Retry-After") != std::string::npos) answer.headers["retry-after"] = "given";
    return StreamResult{tag, body_end, answer};
  };
  std::vector<std::future<StreamResult>> uploads;
  for (milliseconds end{2'500}; end < kGrace - milliseconds(1'000); end += kGap) {
    const std::string tag = "upload" + std::to_string(end.count());
    uploads.push_back(std::async(std::launch::async, upload, tag, end));
  }
  this->fleet.NodeProcess("a1").Signal(SIGTERM);
  EXPECT_EQ(this->fleet.NodeProcess("a1").WaitForExit(kLimit), 0);
  EXPECT_LT(Clock::now() - start, kGrace);
  std::vector<StreamResult> results;
  results.reserve(uploads.size());
  for (auto& result : uploads) results.push_back(result.get());
  EXPECT_EQ(this->Lost(results), "");
  EXPECT_EQ(Unclear(results), "");
}

class QueuedCallsStopTest : public PlannedStopTest {
 protected:
  /// More callers than slots, so that calls wait at the gate of another host.
  QueuedCallsStopTest() : PlannedStopTest(2) {}
};

/// The callers whose calls have not come to their turn by the end get an answer, too.
TEST_F(QueuedCallsStopTest, CallersOfCallsThatWaitElsewhereAreAnswered) {
  Stream reads("read", this->CallerOf("GET", "/leaf/x"));
  this->StopWhileSending({&reads}, kNotice - kGap);
  const auto results = reads.Collect();
  for (const auto& result : results) {
    EXPECT_NE(result.answer.status, kNoAnswer) << result.Describe();
  }
  const auto run = this->RunTags();
  for (const auto& result : results) {
    const bool ran = run.contains(result.tag);
    EXPECT_FALSE(result.SaysNotRun() && ran) << result.Describe();
  }
}

}  // namespace
}  // namespace fireflyrun::integration
