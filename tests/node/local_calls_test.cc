#include "node/local_calls.h"

#include <gtest/gtest.h>

#include <vector>

namespace fireflyrun::node {
namespace {

class LocalCallsTest : public ::testing::Test {
 protected:
  LocalCalls::Hooks MakeHooks() {
    LocalCalls::Hooks hooks;
    hooks.on_call = [this](const peer::Call& call, LocalCalls::AnswerHandler handler) {
      this->arrived.push_back(*Id128::FromBytes(call.head.call_id()));
      this->handlers.push_back(std::move(handler));
    };
    hooks.on_cancel = [this](const Id128& call_id) { this->cancelled.push_back(call_id); };
    return hooks;
  }

  void Send(const Id128& call_id) {
    peer::Call call;
    call.head.set_call_id(call_id.ToBytes());
    this->calls.Send(std::move(call), [this](const peer::Answer&) { ++this->answers; });
  }

  void RunLoop() {
    this->loop.restart();
    this->loop.run();
  }

  const Id128 first = Id128(0, 1);
  const Id128 second = Id128(0, 2);
  asio::io_context loop;
  std::vector<Id128> arrived;
  std::vector<Id128> cancelled;
  std::vector<LocalCalls::AnswerHandler> handlers;
  int answers = 0;
  LocalCalls calls{loop, MakeHooks()};
};

TEST_F(LocalCallsTest, CallCancelledBeforeItArrivesNeverArrives) {
  this->Send(this->first);
  this->Send(this->second);
  this->calls.Cancel(this->first);
  this->RunLoop();
  EXPECT_EQ(this->arrived, std::vector{this->second});
  EXPECT_TRUE(this->cancelled.empty());
}

TEST_F(LocalCallsTest, CancelOfACallThatHasArrivedIsPassedOn) {
  this->Send(this->first);
  EXPECT_TRUE(this->arrived.empty());
  this->RunLoop();
  this->calls.Cancel(this->first);
  EXPECT_EQ(this->cancelled, std::vector{this->first});
}

TEST_F(LocalCallsTest, AnswerArrivesOnALaterTurn) {
  this->Send(this->first);
  this->RunLoop();
  this->handlers[0](peer::Answer());
  EXPECT_EQ(this->answers, 0);
  this->RunLoop();
  EXPECT_EQ(this->answers, 1);
}

}  // namespace
}  // namespace fireflyrun::node
