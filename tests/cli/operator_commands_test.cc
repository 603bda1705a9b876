#include <gtest/gtest.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <cstdio>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "cli/apply_command.h"
#include "cli/check_command.h"
#include "cli/get_command.h"
#include "cli/retire_command.h"
#include "cli/status_command.h"
#include "store/base64.h"
#include "tests/standins/store_standin_server.h"

namespace fireflyrun::cli {
namespace {

using Tcp = asio::ip::tcp;
using Command = int (*)(int, char**);

constexpr const char* kPriority =
    R"({"kind":"priority","schema":1,"name":"low","rank":40,"may_leave_region":false})";
constexpr const char* kRecordFile = R"([
  {"kind":"priority","schema":1,"name":"low","rank":40,"may_leave_region":false},
  {"kind":"retry_allowance","schema":1,"name":"std","retries_per_request":3,
   "success_ratio":0.1,"burst":20},
  {"kind":"service","schema":1,"name":"tracker","priority":"low","retry_allowance":"std",
   "deadline_ms":900,"idempotent":true}])";

/// Output and exit code of a subcommand.
struct Outcome {
  int code = 0;
  std::string out;
  std::string err;
};

/// Runs a stand-in store and a node's admin port that answers `GET /fleet` on a separate thread.
class OperatorCommandsTest : public testing::Test {
 protected:
  OperatorCommandsTest() {
    this->Accept();
    this->thread = std::thread([this] { this->loop.run(); });
  }

  ~OperatorCommandsTest() override {
    this->loop.stop();
    this->thread.join();
    std::remove(this->path.c_str());
  }

  void Accept() {
    this->admin.async_accept([this](const asio::error_code& error, Tcp::socket socket) {
      if (error) return;
      std::make_shared<standins::StandinConnection>(
          std::move(socket),
          [this](const std::shared_ptr<standins::StandinConnection>& connection, const auto&) {
            connection->Respond(200, this->fleet.front());
            if (this->fleet.size() > 1) this->fleet.erase(this->fleet.begin());
          })
          ->Start();
      this->Accept();
    });
  }

  void OnLoop(const std::function<void()>& act) {
    std::promise<void> done;
    asio::post(this->loop, [&] {
      act();
      done.set_value();
    });
    done.get_future().wait();
  }

  void JoinRoster() {
    const std::string value = R"({"node":"n","control_address":"127.0.0.1:1","admin_address":")" +
                              this->AdminAddress() + "\"}";
    const nlohmann::json put = {{"key", store::EncodeBase64("/fireflyrun/default/roster/z/0")},
                                {"value", store::EncodeBase64(value)}};
    this->OnLoop([&] { this->standin.Model().Transact({{"success", {{{"request_put", put}}}}}); });
  }

  void SetFleet(std::vector<std::string> answers) {
    this->OnLoop([&] { this->fleet = std::move(answers); });
  }

  std::string AdminAddress() const {
    return "127.0.0.1:" + std::to_string(this->admin.local_endpoint().port());
  }

  Outcome Run(Command command, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "command");
    arguments.push_back("--store=127.0.0.1:" + std::to_string(this->standin.Port()));
    return this->RunBare(command, std::move(arguments));
  }

  Outcome RunBare(Command command, std::vector<std::string> arguments) {
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    Outcome outcome;
    outcome.code = command(static_cast<int>(arguments.size()), pointers.data());
    outcome.out = testing::internal::GetCapturedStdout();
    outcome.err = testing::internal::GetCapturedStderr();
    return outcome;
  }

  Outcome Apply(const std::string& text, std::vector<std::string> flags = {}) {
    std::ofstream(this->path) << text;
    flags.push_back(this->path);
    return this->Run(&RunApply, flags);
  }

  asio::io_context loop{1};
  standins::StoreStandinServer standin{this->loop, {}};
  Tcp::acceptor admin{this->loop, {asio::ip::address_v4::loopback(), 0}};
  std::vector<std::string> fleet{R"({"zones":[]})"};
  std::string path = testing::TempDir() + "operator_commands_test_" + std::to_string(getpid());
  std::thread thread;
};

TEST_F(OperatorCommandsTest, ApplyIsIdempotentAndGetShowsStoredRecords) {
  const Outcome first = this->Apply(kRecordFile);
  EXPECT_EQ(first.code, 0) << first.err;
  EXPECT_NE(first.out.find("service/tracker/v1"), std::string::npos) << first.out;
  const Outcome again = this->Apply(kRecordFile);
  EXPECT_EQ(again.code, 0);
  EXPECT_NE(again.out.find("Nothing to change"), std::string::npos) << again.out;
  const Outcome got = this->Run(&RunGet, {"service", "--json"});
  EXPECT_EQ(got.code, 0);
  EXPECT_NE(got.out.find("\"deadline_ms\":900"), std::string::npos) << got.out;
  EXPECT_EQ(got.out.find("retry_allowance\",\"name"), std::string::npos) << got.out;
  EXPECT_EQ(this->Run(&RunGet, {"service/none"}).code, 1);
}

TEST_F(OperatorCommandsTest, WritesRoutesAndLimitsAndRefusesToRetireReferencedService) {
  this->Apply(kRecordFile);
  const Outcome applied = this->Apply(R"([
    {"kind":"route","schema":1,"name":"parcels","prefix":"/parcels/","priority":"low",
     "retry_allowance":"std","idempotent":true,"services":[{"service":"tracker","weight":1}]},
    {"kind":"limits","schema":1,"name":"default","max_header_bytes":16384,"max_body_bytes":9,
     "header_timeout_ms":3000,"idle_timeout_ms":15000}])");
  EXPECT_EQ(applied.code, 0) << applied.err;
  const Outcome got = this->Run(&RunGet, {"route/parcels"});
  EXPECT_NE(got.out.find("route/parcels/v1"), std::string::npos) << got.out;
  EXPECT_EQ(this->Run(&RunGet, {"limits/default/v1"}).code, 0);
  const Outcome named = this->Run(&RunRetire, {"service/tracker"});
  EXPECT_EQ(named.code, 1);
  EXPECT_NE(named.err.find("route/parcels/v1:/services/0/service"), std::string::npos) << named.err;
  EXPECT_EQ(this->Run(&RunRetire, {"service/tracker", "route/parcels"}).code, 0);
}

TEST_F(OperatorCommandsTest, ReportsFindingsAndWritesNothing) {
  const Outcome outcome = this->Apply(R"([{"kind":"priority","schema":1,"name":"p","rank":99},)" +
                                      std::string(kPriority) + "]");
  EXPECT_EQ(outcome.code, 1);
  EXPECT_EQ(outcome.out, "");
  EXPECT_NE(outcome.err.find(":/0/rank: is 99; allowed is a whole number from 0 to 63"),
            std::string::npos)
      << outcome.err;
  EXPECT_NE(outcome.err.find(":/0/may_leave_region: is missing"), std::string::npos);
  EXPECT_EQ(this->standin.Calls("/v3/kv/txn"), 0);
}

TEST_F(OperatorCommandsTest, ChecksReferencesAgainstStoreOnlyIfGiven) {
  this->Apply(kPriority);
  std::ofstream(this->path) << R"({"kind":"service","schema":1,"name":"t","priority":"low",
    "retry_allowance":"none","deadline_ms":900,"idempotent":true})";
  const Outcome with_store = this->Run(&RunCheck, {this->path});
  EXPECT_EQ(with_store.code, 1);
  EXPECT_EQ(with_store.err.find(":/priority"), std::string::npos) << with_store.err;
  EXPECT_NE(with_store.err.find(":/retry_allowance"), std::string::npos);
  const Outcome without = this->RunBare(&RunCheck, {"check", this->path});
  EXPECT_NE(without.err.find(":/priority"), std::string::npos) << without.err;
  EXPECT_EQ(this->RunBare(&RunCheck, {"check", "/nonexistent"}).code, 1);
}

TEST_F(OperatorCommandsTest, RefusesApplyWhenRecordChangedAfterReadAt) {
  this->Apply(kPriority);
  this->Apply(R"({"kind":"priority","schema":1,"name":"low","rank":41,"may_leave_region":false})");
  const Outcome late = this->Apply(kPriority, {"--read-at=2"});
  EXPECT_EQ(late.code, 1);
  EXPECT_NE(late.err.find("\"rank\":41"), std::string::npos) << late.err;
  EXPECT_EQ(this->Apply(kPriority, {"--read-at=3"}).code, 0);
}

TEST_F(OperatorCommandsTest, RetiresOnlyUnreferencedRecords) {
  this->Apply(kRecordFile);
  const Outcome named = this->Run(&RunRetire, {"priority/low"});
  EXPECT_EQ(named.code, 1);
  EXPECT_NE(named.err.find("service/tracker/v1:/priority"), std::string::npos) << named.err;
  EXPECT_EQ(this->Run(&RunRetire, {"priority/low", "service/tracker"}).code, 0);
  EXPECT_EQ(this->Run(&RunRetire, {"service/tracker"}).code, 1);
  EXPECT_NE(this->Run(&RunGet, {"service"}).out.find("(retired)"), std::string::npos);
}

TEST_F(OperatorCommandsTest, WaitReturnsWhenAllReachableNodesHaveRevisionInForce) {
  this->JoinRoster();
  const std::string behind = R"({"zones":[{"zone":"z","nodes":3,"reachable":2,
    "revision_counts":{"1":1,"9":1},"lagging":["slow-node"]}]})";
  const std::string done = R"({"zones":[{"zone":"z","nodes":3,"reachable":2,
    "revision_counts":{"9":2},"lagging":[]}]})";
  this->SetFleet({behind, done});
  const Outcome waited = this->Apply(kRecordFile, {"--wait"});
  EXPECT_EQ(waited.code, 0) << waited.err;
  EXPECT_NE(waited.out.find("in force on all reachable nodes"), std::string::npos) << waited.out;
  this->SetFleet({behind});
  const Outcome lagging = this->Apply(kRecordFile, {"--wait", "--wait-timeout", "1"});
  EXPECT_EQ(lagging.code, 1);
  EXPECT_NE(lagging.out.find("slow-node"), std::string::npos) << lagging.out;
}

TEST_F(OperatorCommandsTest, StatusShowsFleetWithoutStore) {
  this->SetFleet({R"({"zones":[{"zone":"pied-a","nodes":3,"reachable":2,
    "revision_counts":{"9":2},"lagging":[]}]})"});
  const Outcome shown = this->RunBare(&RunStatus, {"status", "--admin", this->AdminAddress()});
  EXPECT_EQ(shown.code, 0) << shown.err;
  EXPECT_NE(shown.out.find("pied-a"), std::string::npos) << shown.out;
  EXPECT_NE(shown.out.find("Newest revision: 9"), std::string::npos) << shown.out;
}

TEST_F(OperatorCommandsTest, ReportsAllUsageErrorsAtOnce) {
  const Outcome wrong =
      this->RunBare(&RunApply, {"apply", "--store=localhost:1", "--cluster=A", "--json", "--x"});
  EXPECT_EQ(wrong.code, 2);
  for (const char* location : {"--store: \"localhost:1\"", "--cluster: \"A\"",
                               "--json: ", "--x: ", "arguments: 0 given"}) {
    EXPECT_NE(wrong.err.find(location), std::string::npos) << location << " in\n" << wrong.err;
  }
  const Outcome help = this->RunBare(&RunApply, {"apply", "--help"});
  EXPECT_EQ(help.code, 0);
  EXPECT_NE(help.out.find("--wait-timeout"), std::string::npos);
}

TEST_F(OperatorCommandsTest, ReportsUnreachableStore) {
  this->OnLoop([&] { this->standin.SetFault({standins::StoreFaultMode::kDown}); });
  const Outcome outcome = this->Run(&RunGet, {});
  EXPECT_EQ(outcome.code, 1);
  EXPECT_NE(outcome.err.find("not-sent"), std::string::npos) << outcome.err;
}

}  // namespace
}  // namespace fireflyrun::cli
