#include "peer/call_table.h"

#include <gtest/gtest.h>

namespace fireflyrun::peer {
namespace {

using std::chrono::seconds;

const Id128 kFirst(0, 1);
const Id128 kSecond(0, 2);

Answer AnswerOf(std::size_t size) {
  Answer answer;
  answer.body = std::string(size, 'x');
  return answer;
}

class CallTableTest : public testing::Test {
 protected:
  bool Begin(const Id128& call_id) {
    return this->table.Begin(call_id, this->caller, this->now + seconds(5), this->now);
  }

  SteadyTime now = SteadyClock::now();
  std::shared_ptr<InboundCaller> caller = std::make_shared<InboundCaller>();
  CallTable table{1000, 4};
};

TEST_F(CallTableTest, OldestAnswerIsDroppedAtTheLimitAndReportedAsForgotten) {
  for (const Id128& id : {kFirst, kSecond}) {
    ASSERT_TRUE(this->Begin(id));
    this->table.Finish(id, AnswerOf(600), this->now);
  }
  EXPECT_EQ(this->table.RetainedAnswers(), 1U);
  EXPECT_LE(this->table.RetainedBytes(), 1000U);
  EXPECT_EQ(this->table.Query(kFirst, 1, this->now).state, pb::CALL_STATE_FORGOTTEN);
  EXPECT_EQ(this->table.Query(kSecond, 1, this->now).state, pb::CALL_STATE_ANSWERED);
}

/// Guards against retained answers of many short headers, which take many times their bytes.
TEST_F(CallTableTest, AnswersAreRetainedByTheMemoryThatTheyTake) {
  ASSERT_TRUE(this->Begin(kFirst));
  Answer answer;
  for (int i = 0; i < 20; ++i) {
    pb::Header* header = answer.head.add_headers();
    header->set_name("a");
    header->set_value("b");
  }
  ASSERT_LT(answer.head.ByteSizeLong(), 200U);
  this->table.Finish(kFirst, std::move(answer), this->now);
  EXPECT_EQ(this->table.RetainedAnswers(), 0U);
}

TEST_F(CallTableTest, DuplicateNeverBeginsInAnyState) {
  ASSERT_TRUE(this->Begin(kFirst));
  EXPECT_FALSE(this->Begin(kFirst));
  this->table.Finish(kFirst, AnswerOf(1), this->now);
  EXPECT_FALSE(this->Begin(kFirst));
  this->table.Acknowledge(kFirst, this->now);
  EXPECT_FALSE(this->Begin(kFirst));
  EXPECT_EQ(this->table.RetainedAnswers(), 0U);
}

TEST_F(CallTableTest, QueriedIdThatNeverArrivedIsVoidedPermanently) {
  EXPECT_EQ(this->table.Query(kFirst, 1, this->now).state, pb::CALL_STATE_NEVER_ARRIVED);
  EXPECT_FALSE(this->Begin(kFirst));
  EXPECT_EQ(this->table.Query(kFirst, 2, this->now).state, pb::CALL_STATE_NEVER_ARRIVED);
}

TEST_F(CallTableTest, IdsDiscardedAtTheLimitAreNotReportedAsNeverArrived) {
  for (std::uint64_t id = 1; id <= 10; ++id) {
    ASSERT_TRUE(this->Begin({0, id}));
    this->table.Finish({0, id}, AnswerOf(2000), this->now);
  }
  EXPECT_EQ(this->table.Query(kFirst, 1, this->now).state, pb::CALL_STATE_FORGOTTEN);
  const SteadyTime later = this->now + seconds(60);
  EXPECT_EQ(this->table.Query(kFirst, 1, later).state, pb::CALL_STATE_NEVER_ARRIVED);
}

TEST_F(CallTableTest, AnswerIsSentOncePerLink) {
  this->caller->newest_link = 1;
  ASSERT_TRUE(this->Begin(kFirst));
  this->table.Finish(kFirst, AnswerOf(1), this->now);
  EXPECT_EQ(this->table.Query(kFirst, 1, this->now).answer, nullptr);
  EXPECT_NE(this->table.Query(kFirst, 2, this->now).answer, nullptr);
  EXPECT_EQ(this->table.Query(kFirst, 2, this->now).answer, nullptr);
}

TEST_F(CallTableTest, AnswerThatCanNoLongerBeQueriedIsDropped) {
  ASSERT_TRUE(this->Begin(kFirst));
  this->table.Finish(kFirst, AnswerOf(1), this->now);
  this->table.DropExpired(this->now + seconds(5));
  EXPECT_EQ(this->table.RetainedAnswers(), 1U);
  this->table.DropExpired(this->now + seconds(60));
  EXPECT_EQ(this->table.RetainedAnswers(), 0U);
}

}  // namespace
}  // namespace fireflyrun::peer
