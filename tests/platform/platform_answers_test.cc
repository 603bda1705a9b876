// What a target's node makes of the answers of faulty targets, with the platform's names.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "common/timer_service.h"
#include "node/context_table.h"
#include "node/target_service.h"
#include "node/ticket_codec.h"
#include "tests/http/test_support.h"

namespace fireflyrun::platform {
namespace {

using node::TargetService;
using peer::pb::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kService = "calendar";
const std::string kFirst = "Request-Id: q1\r\n";
const std::string kSecond = "Request-Id: q2\r\n";

std::string Refusal(const std::string& id_header) {
  return "HTTP/1.1 503 Full\r\n" + id_header + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string Success(const std::string& id_header) {
  return "HTTP/1.1 200 OK\r\n" + id_header + "Response-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
}

node::WireNames PlatformNames() {
  node::WireNames wire;
  wire.request_id = "Request-Id";
  wire.deadline = "Deadline-Ms";
  wire.handle = "";
  wire.outcome = "";
  wire.expected_target = "Expect-Instance";
  wire.target_id = "Instance-Id";
  wire.not_run = "Not-Executed";
  return wire;
}

/// A target's node whose target answers by a script.
class PlatformAnswersTest : public ::testing::Test {
 protected:
  PlatformAnswersTest() {
    this->service.SetTarget(
        {kService, "127.0.0.1:" + std::to_string(this->target.Port()), 10, "i-1", 0.0});
  }

  static TargetService::Hooks NoHooks() {
    TargetService::Hooks hooks;
    hooks.on_admitted = [](const node::InboundCall&, Duration) {};
    hooks.on_refused = [](const node::InboundCall&, policy::RefusalReason) {};
    hooks.on_answered = [](const node::InboundCall&, Duration) {};
    return hooks;
  }

  static TargetService::Options ServiceOptions() {
    TargetService::Options options;
    options.node = "n1";
    options.incarnation = 1;
    options.max_body_bytes = 1 << 20;
    options.wire = PlatformNames();
    return options;
  }

  /// Sends a request and waits until its call ends.
  peer::Answer Call(const std::string& request_id, bool once) {
    peer::Call call;
    auto& head = call.head;
    head.set_call_id(Id128::Random().ToBytes());
    head.set_root_id(Id128::Random().ToBytes());
    head.set_service(kService);
    head.set_method("GET");
    head.set_target("/");
    auto* header = head.add_headers();
    header->set_name("Request-Id");
    header->set_value(request_id);
    head.set_at_most_once(once);
    if (once) *head.mutable_ticket() = node::ToMessage(this->service.IssueOwnTicket());
    call.deadline = SteadyClock::now() + this->time_limit;
    std::optional<peer::Answer> answer;
    this->service.OnCall(std::move(call), [&](peer::Answer given) { answer = std::move(given); });
    EXPECT_TRUE(http::RunUntil(this->loop, [&] { return answer.has_value(); }));
    return answer.value_or(peer::Answer());
  }

  Duration time_limit = seconds(5);
  http::RawServer::Script script;
  asio::io_context loop;
  TimerService timers{loop};
  http::RawServer target{loop, [this](http::RawConnection& connection, int number) {
                           this->script(connection, number);
                         }};
  http::TargetClient client{timers, {}};
  node::ContextTable contexts;
  TargetService service{timers, client, contexts, ServiceOptions(), NoHooks()};
};

TEST_F(PlatformAnswersTest, RefusalIsNotRun) {
  this->script = [](http::RawConnection& connection, int) { connection.Write(Refusal(kFirst)); };
  EXPECT_EQ(this->Call("q1", true).head.outcome(), Outcome::OUTCOME_NOT_RUN);
}

TEST_F(PlatformAnswersTest, EarlierRefusalBeforeTheNextAnswerDoesNotPassForIt) {
  for (const bool once : {false, true}) {
    for (const std::string& echo : {kFirst, std::string()}) {
      this->script = [&](http::RawConnection& connection, int number) {
        const bool first = number % 2 == 1;
        connection.Write(first ? Refusal(kFirst) : Refusal(echo) + Success(kSecond));
      };
      EXPECT_EQ(this->Call("q1", once).head.outcome(), Outcome::OUTCOME_NOT_RUN);
      const auto outcome = this->Call("q2", once).head.outcome();
      const bool is_identified = !echo.empty();
      EXPECT_EQ(outcome, is_identified ? Outcome::OUTCOME_ANSWERED : Outcome::OUTCOME_UNKNOWN);
    }
  }
}

TEST_F(PlatformAnswersTest, EarlierRefusalInPlaceOfTheNextAnswerDoesNotPassForIt) {
  this->time_limit = milliseconds(300);
  for (const bool once : {false, true}) {
    for (const std::string& echo : {kFirst, std::string()}) {
      this->script = [&](http::RawConnection& connection, int number) {
        connection.Write(number % 2 == 1 ? Refusal(kFirst) : Refusal(echo));
      };
      EXPECT_EQ(this->Call("q1", once).head.outcome(), Outcome::OUTCOME_NOT_RUN);
      EXPECT_EQ(this->Call("q2", once).head.outcome(), Outcome::OUTCOME_UNKNOWN);
    }
  }
}

TEST_F(PlatformAnswersTest, RefusalWrittenTwiceAtOnceDoesNotPassForTheNextAnswer) {
  for (const bool once : {false, true}) {
    for (const std::string& echo : {kFirst, std::string()}) {
      this->script = [&](http::RawConnection& connection, int number) {
        const bool first = number % 2 == 1;
        connection.Write(first ? Refusal(kFirst) + Refusal(echo) : Success(kSecond));
      };
      EXPECT_EQ(this->Call("q1", once).head.outcome(), Outcome::OUTCOME_NOT_RUN);
      EXPECT_EQ(this->Call("q2", once).head.outcome(), Outcome::OUTCOME_ANSWERED);
    }
  }
}

TEST_F(PlatformAnswersTest, RefusalWrittenAgainWhileIdleDoesNotPassForTheNextAnswer) {
  for (const bool once : {false, true}) {
    for (const std::string& echo : {kFirst, std::string()}) {
      std::shared_ptr<http::RawConnection> idle;
      this->script = [&](http::RawConnection& connection, int number) {
        const bool first = number % 2 == 1;
        connection.Write(first ? Refusal(kFirst) : Success(kSecond));
        if (first) idle = connection.shared_from_this();
      };
      EXPECT_EQ(this->Call("q1", once).head.outcome(), Outcome::OUTCOME_NOT_RUN);
      const auto dead = this->client.Counters().connections_found_dead;
      idle->Write(Refusal(echo));
      ASSERT_TRUE(http::RunUntil(
          this->loop, [&] { return this->client.Counters().connections_found_dead > dead; }));
      EXPECT_EQ(this->Call("q2", once).head.outcome(), Outcome::OUTCOME_ANSWERED);
    }
  }
}

TEST_F(PlatformAnswersTest, RefusedRequestThatIsSentAgainIsNotAnsweredByItsEarlierRefusal) {
  this->script = [](http::RawConnection& connection, int number) {
    connection.Write(number == 1 ? Refusal(kFirst) : Success(kFirst));
  };
  EXPECT_EQ(this->Call("q1", false).head.outcome(), Outcome::OUTCOME_NOT_RUN);
  EXPECT_EQ(this->Call("q1", false).head.outcome(), Outcome::OUTCOME_ANSWERED);
  EXPECT_EQ(this->target.connections, 2);
}

TEST_F(PlatformAnswersTest, AnswerThatIsCutOffIsNeitherARefusalNorASuccess) {
  const std::string unframed = "HTTP/1.1 200 OK\r\n" + kFirst + "Response-Seal: s\r\n\r\n";
  for (const std::string& answer : {Success(kFirst), Refusal(kFirst), unframed}) {
    for (std::size_t size = 0; size < answer.size(); ++size) {
      this->script = [&](http::RawConnection& connection, int) {
        asio::write(connection.socket, asio::buffer(answer.substr(0, size)));
        connection.Close();
      };
      const auto once = this->Call("q1", true).head;
      EXPECT_EQ(once.outcome(), Outcome::OUTCOME_UNKNOWN) << answer.substr(0, size);
      const auto repeatable = this->Call("q1", false).head;
      EXPECT_EQ(repeatable.outcome(), Outcome::OUTCOME_UNKNOWN) << answer.substr(0, size);
    }
  }
}

}  // namespace
}  // namespace fireflyrun::platform
