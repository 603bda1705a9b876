// The memory of a node is bounded whatever targets send, and however callers read and write.

#include <gtest/gtest.h>

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <fstream>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "tests/integration/fleet.h"
#include "tests/integration/wait_until.h"

namespace fireflyrun::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Socket = asio::ip::tcp::socket;

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr std::size_t kMemoryLimit = 96;  ///< Megabytes; the smallest hosts have so much.
constexpr int kSlots = 150;
constexpr int kCalls = 130;
constexpr int kOk = 200;
constexpr std::size_t kLargeBody = 7 * kMegabyte;  ///< Allowed, and as a length also true.
constexpr milliseconds kLimit{20'000};
constexpr milliseconds kDripGap{50};
const std::vector<std::string> kNodeFlags = {"--memory-limit", std::to_string(kMemoryLimit),
                                             "--max-body-bytes", "67108864"};
const std::string kHead = "HTTP/1.1 200 OK\r\n";

/// The most memory that the process has had resident, in megabytes.
std::size_t PeakMegabytes(const Process& process) {
  std::ifstream file("/proc/" + std::to_string(process.Id()) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (file >> word) {
    if (word == "VmHWM:") file >> kilobytes;
  }
  EXPECT_GT(kilobytes, 0U);
  return kilobytes / 1024;
}

/// A target on a thread for each connection. It answers each request by a script, which may go on
/// until the far end closes.
class ScriptedTarget {
 public:
  /// Returns when the connection is of no more use.
  using Script = std::function<void(Socket& socket)>;

  ScriptedTarget() : acceptor(this->loop, {asio::ip::make_address("127.0.0.1"), 0}) {
    this->thread = std::thread([this] { this->Run(); });
  }

  ~ScriptedTarget() {
    this->stopping = true;
    asio::io_context other;
    Socket waker(other);
    asio::error_code ignored;
    waker.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
    for (std::thread& connection : this->connections) connection.join();
  }

  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  }

  void SetScript(Script new_script) {
    const std::lock_guard lock(this->mutex);
    this->script = std::move(new_script);
  }

 private:
  void Run() {
    while (!this->stopping) {
      Socket socket(this->loop);
      this->acceptor.accept(socket);
      this->connections.emplace_back(
          [this, taken = std::move(socket)]() mutable { this->Serve(taken); });
    }
  }

  void Serve(Socket& socket) {
    asio::streambuf input;
    asio::error_code error;
    while (!this->stopping) {
      const std::size_t size = asio::read_until(socket, input, "\r\n\r\n", error);
      if (error) return;
      input.consume(size);
      Script current;
      {
        const std::lock_guard lock(this->mutex);
        current = this->script;
      }
      if (!current) return;
      current(socket);
    }
  }

  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  Script script;
  std::vector<std::thread> connections;
  std::thread thread;
};

/// A script that writes `begin`, then `piece` until the far end closes.
ScriptedTarget::Script Endless(std::string begin, std::string piece,
                               milliseconds pause = milliseconds(0)) {
  return [begin = std::move(begin), piece = std::move(piece), pause](Socket& socket) {
    asio::error_code error;
    asio::write(socket, asio::buffer(begin), error);
    while (!error) {
      std::this_thread::sleep_for(pause);
      asio::write(socket, asio::buffer(piece), error);
    }
  };
}

/// `text` as often as fills a large write.
std::string Repeated(const std::string& text) {
  std::string repeated;
  while (repeated.size() < std::size_t{16} << 10) repeated += text;
  return repeated;
}

/// About as many headers as one message may have.
std::string MostOfAHead() { return Repeated("a: b\r\n").substr(0, 5'998); }

/// A script that writes a whole answer with a body of `size` bytes.
ScriptedTarget::Script Whole(std::size_t size) {
  const std::string head = kHead + "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  return [text = head + std::string(size, 'w')](Socket& socket) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  };
}

json Service(const std::string& name) {
  return {{"kind", "service"},      {"schema", 1},
          {"name", name},           {"priority", "critical"},
          {"retry_allowance", "r"}, {"deadline_ms", 4'000},
          {"idempotent", true}};
}

std::string Records() {
  const json allowance = {{"kind", "retry_allowance"}, {"schema", 1}, {"name", "r"},
                          {"retries_per_request", 1},  {"burst", 10}, {"success_ratio", 0.1}};
  const json priority = {{"kind", "priority"},
                         {"schema", 1},
                         {"name", "critical"},
                         {"rank", 0},
                         {"may_leave_region", true}};
  return json::array({priority, allowance, Service("faulty"), Service("sound")}).dump();
}

class MemoryBoundTest : public ::testing::Test {
 protected:
  explicit MemoryBoundTest(FleetOptions options = {})
      : fleet({{"a1", "east", "east-a", "sound", 50, 2, "", kNodeFlags, {}},
               {"a2", "east", "east-a", "", 0, 0, "", kNodeFlags, {}}},
              Records(), options) {}

  void SetUp() override {
    ASSERT_TRUE(this->fleet.WaitReady());
    this->announcer = std::async(std::launch::async, [this] {
      while (!this->ended) {
        this->Announce();
        std::this_thread::sleep_for(seconds(1));
      }
    });
    this->target.SetScript(Whole(2));
    ASSERT_TRUE(WaitUntil(kLimit, [this] { return this->StatusOf("/faulty/x") == kOk; }));
    // Nodes that serve no callers may have other limits.
    ASSERT_EQ(this->fleet.Call("a2", "GET", "/sound/x").status, kOk);
  }

  void TearDown() override {
    this->ended = true;
    if (this->announcer.valid()) this->announcer.get();
    for (const char* node : {"a1", "a2"}) {
      EXPECT_TRUE(this->fleet.NodeProcess(node).Running()) << node;
      EXPECT_LE(PeakMegabytes(this->fleet.NodeProcess(node)), kMemoryLimit) << node;
    }
  }

  /// The target of `a2` tells that it serves.
  void Announce() {
    HttpCall call;
    call.method = "PUT";
    call.url = this->fleet.AdminUrl("a2") + "/target";
    call.body = json{
        {"service", "faulty"},
        {"address", this->target.Address()},
        {"slots", kSlots},
        {"state",
         "serving"}}.dump();
    MakeCall(call);
  }

  int StatusOf(const std::string& path) { return this->fleet.Call("a1", "GET", path).status; }

  /// Makes `kCalls` calls to the faulty target at once, and one after the other to the sound one
  /// until the first have ended. All of the latter must be served.
  void CallAtOnce() {
    std::atomic<int> open = kCalls;
    std::vector<std::thread> callers;
    callers.reserve(kCalls);
    for (int i = 0; i < kCalls; ++i) {
      callers.emplace_back([&] {
        this->StatusOf("/faulty/x");
        --open;
      });
    }
    while (open > 0) {
      EXPECT_EQ(this->StatusOf("/sound/x"), kOk);
      std::this_thread::sleep_for(milliseconds(20));
    }
    for (std::thread& caller : callers) caller.join();
  }

  void Report(const std::string& name) {
    for (const char* node : {"a1", "a2"}) {
      std::cout << name << ": peak of " << node << " "
                << PeakMegabytes(this->fleet.NodeProcess(node)) << " MB\n";
    }
  }

  /// Opens a connection to a caller port of `a1` with small buffers and sends `text`.
  std::unique_ptr<Socket> Connect(const std::string& text) {
    auto socket = std::make_unique<Socket>(this->loop);
    socket->open(asio::ip::tcp::v4());
    socket->set_option(asio::socket_base::receive_buffer_size(16 << 10));
    socket->connect({asio::ip::make_address(this->fleet.Address("a1")), 7400});
    asio::write(*socket, asio::buffer(text));
    return socket;
  }

  asio::io_context loop;
  ScriptedTarget target;
  Fleet fleet;
  std::atomic<bool> ended = false;
  std::future<void> announcer;
};

/// Guards against a target that sends without end, in a head or in a body, until its caller's node
/// runs out of memory.
TEST_F(MemoryBoundTest, TargetsThatSendWithoutEnd) {
  const std::string filler(16 << 10, 'x');
  const std::string chunk = "4000\r\n" + filler + "\r\n";
  const std::string length = "Content-Length: " + std::to_string(kLargeBody) + "\r\n\r\n";
  const std::string most(kLargeBody - kMegabyte / 2, 'x');
  const std::vector<std::pair<std::string, ScriptedTarget::Script>> cases = {
      {"body to the close", Endless(kHead + "\r\n", filler)},
      {"chunks", Endless(kHead + "Transfer-Encoding: chunked\r\n\r\n", chunk)},
      {"a length, and more", Endless(kHead + length, filler)},
      {"most of a body, then a drip", Endless(kHead + length + most, "x", kDripGap)},
      {"head", Endless(kHead, "X-Header: " + filler + "\r\n")},
      {"short headers", Endless(kHead, Repeated("a: b\r\n"))},
      {"most of a head, then a drip", Endless(kHead + MostOfAHead(), "x", kDripGap)},
      {"no answer", Endless("", filler)},
  };
  for (const auto& [name, script] : cases) {
    SCOPED_TRACE(name);
    this->target.SetScript(script);
    this->CallAtOnce();
    this->Report(name);
  }
  this->target.SetScript(Whole(2));
  EXPECT_TRUE(WaitUntil(kLimit, [this] { return this->StatusOf("/faulty/x") == kOk; }));
}

/// Guards against valid answers that are large and whole, and add up at the gate and the entry.
TEST_F(MemoryBoundTest, LargeAnswersAtOnce) {
  this->target.SetScript(Whole(kLargeBody));
  this->CallAtOnce();
  this->Report("large answers");
  EXPECT_TRUE(WaitUntil(kLimit, [this] { return this->StatusOf("/faulty/x") == kOk; }));
}

class MemoryBoundOnSlowLinksTest : public MemoryBoundTest {
 protected:
  MemoryBoundOnSlowLinksTest() : MemoryBoundTest(FleetOptions{.network = true}) {}
};

/// Guards against whole answers that add up at the gate, as their link takes them slowly.
TEST_F(MemoryBoundOnSlowLinksTest, LargeAnswersAtOnce) {
  this->target.SetScript(Whole(kLargeBody));
  this->fleet.Network().LimitRate({"a1", "a2"}, kMegabyte);
  this->CallAtOnce();
  this->Report("large answers, slow link");
  this->fleet.Network().Heal();
}

/// Guards against answers that add up at the entry because nobody reads them.
TEST_F(MemoryBoundTest, CallersThatDoNotRead) {
  this->target.SetScript(Whole(kLargeBody));
  std::vector<std::unique_ptr<Socket>> callers;
  for (int i = 0; i < kCalls; ++i) {
    callers.push_back(this->Connect("GET /faulty/x HTTP/1.1\r\nHost: x\r\n\r\n"));
    if (i % 10 == 0) EXPECT_EQ(this->StatusOf("/sound/x"), kOk);
  }
  EXPECT_TRUE(HoldsFor(seconds(5), [this] { return this->StatusOf("/sound/x") == kOk; }));
  this->Report("callers that don't read");
}

/// Guards against heads of requests that add up while callers take long to end them.
TEST_F(MemoryBoundTest, HeadsOfRequestsAtOnce) {
  constexpr int kCallers = 1'500;
  constexpr std::size_t kHeadBytes = 60'000;
  const std::string head = "GET /sound/x HTTP/1.1\r\nHost: x\r\nX: " + std::string(kHeadBytes, 'x');
  std::vector<std::unique_ptr<Socket>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) callers.push_back(this->Connect(head));
  this->Report("heads of requests");
  callers.clear();
  EXPECT_TRUE(WaitUntil(kLimit, [this] { return this->StatusOf("/sound/x") == kOk; }));
}

/// Guards against request bodies that add up while they are read, or while their calls run.
TEST_F(MemoryBoundTest, LargeRequestsAtOnce) {
  this->target.SetScript([](Socket& socket) {
    std::array<char, 1024> buffer{};
    asio::error_code error;
    while (!error) socket.read_some(asio::buffer(buffer), error);
  });
  const std::string body(kLargeBody, 'b');
  std::atomic<int> refused = 0;
  std::vector<std::thread> callers;
  callers.reserve(kCalls / 2);
  for (int i = 0; i < kCalls / 2; ++i) {
    callers.emplace_back([&] {
      const auto answer = this->fleet.Call("a1", "POST", "/faulty/x", {}, body);
      const bool not_run = answer.Header("firefly-outcome") == "not-run";
      if (answer.status == 503 && not_run && !answer.Header("retry-after").empty()) ++refused;
    });
  }
  EXPECT_TRUE(HoldsFor(seconds(1), [this] { return this->StatusOf("/sound/x") == kOk; }));
  for (std::thread& caller : callers) caller.join();
  EXPECT_GT(refused, 0);
  this->Report("large requests");
}

}  // namespace
}  // namespace fireflyrun::integration
