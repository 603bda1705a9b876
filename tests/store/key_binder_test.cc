#include "store/key_binder.h"

#include "tests/store/store_fixture.h"

namespace fireflyrun::store {
namespace {

class KeyBinderTest : public StoreFixture {
 protected:
  using Result = tl::expected<std::string, StoreError>;

  Result Bind(const std::string& key, const std::string& ticket) {
    return this->Await<Result>(
        [&](auto handler) { this->binder.Bind("proclaim", key, ticket, handler); });
  }

  Result Replace(const std::string& key, const std::string& from, const std::string& to) {
    return this->Await<Result>(
        [&](auto handler) { this->binder.Replace("proclaim", key, from, to, handler); });
  }

  KeyBinder binder{*this->store, this->timers, "test"};
};

TEST_F(KeyBinderTest, ConcurrentBindsAgreeOnOneTicket) {
  KeyBinder other(*this->store, this->timers, "test");
  std::vector<std::string> bound_tickets;
  const auto record = [&](const Result& result) {
    bound_tickets.push_back(result.value_or("failed"));
  };
  this->binder.Bind("proclaim", "k", "t1", record);
  other.Bind("proclaim", "k", "t2", record);
  this->RunUntil([&] { return bound_tickets.size() == 2; });
  EXPECT_EQ(bound_tickets[0], bound_tickets[1]);
  EXPECT_TRUE(bound_tickets[0] == "t1" || bound_tickets[0] == "t2") << bound_tickets[0];
  EXPECT_EQ(this->Bind("k", "t3").value(), bound_tickets[0]);
}

TEST_F(KeyBinderTest, KeysWithCommonPrefixAreIndependent) {
  EXPECT_EQ(this->Bind("ab", "t1").value(), "t1");
  this->standin->SetFault({FaultMode::kLoseAnswers, {}, 1});
  EXPECT_EQ(this->Bind("a", "t2").value(), "t2");
  EXPECT_EQ(this->Replace("a", "t2", "t3").value(), "t3");
  EXPECT_EQ(this->Bind("ab", "t4").value(), "t1");
}

TEST_F(KeyBinderTest, ReadsBackAfterLostAnswer) {
  this->Bind("warm", "t0");
  this->standin->SetFault({FaultMode::kLoseAnswers, {}, 1});
  const int writes = this->standin->Calls("/v3/kv/txn");
  EXPECT_EQ(this->Bind("k", "t1").value(), "t1");
  EXPECT_EQ(this->standin->Calls("/v3/kv/txn"), writes + 1);
  this->standin->SetFault({FaultMode::kLoseAnswers, {}, 1});
  EXPECT_EQ(this->Bind("k", "t2").value(), "t1");
}

TEST_F(KeyBinderTest, ReportsUnknownOnceWriteMayHaveTakenEffect) {
  this->Bind("warm", "t0");
  this->standin->SetFault({FaultMode::kDown});
  EXPECT_EQ(this->Bind("k", "t1").error().kind, StoreErrorKind::kNotSent);
  this->standin->SetFault({});
  std::optional<Result> result;
  this->standin->SetFault({FaultMode::kLoseAnswers});
  this->binder.Bind("proclaim", "k", "t1", [&](Result bound) { result = std::move(bound); });
  const int writes = this->standin->Calls("/v3/kv/txn");
  this->RunUntil([&] { return this->standin->Calls("/v3/kv/txn") == writes + 1; });
  this->standin->SetFault({FaultMode::kDown});
  this->RunUntil([&] { return result.has_value(); });
  ASSERT_FALSE(result->has_value());
  EXPECT_EQ(result->error().kind, StoreErrorKind::kUnknown);
  this->standin->SetFault({});
  EXPECT_EQ(this->Bind("k", "t2").value(), "t1");
}

TEST_F(KeyBinderTest, BindsAgainAfterLeaseExpired) {
  this->Bind("k", "t1");
  this->standin->Model().ExpireLeases(SteadyClock::now() + std::chrono::hours(48));
  EXPECT_EQ(this->Bind("k", "t2").value(), "t2");
  EXPECT_EQ(this->standin->Calls("/v3/lease/grant"), 2);
}

TEST_F(KeyBinderTest, BindingsLastForBindingLifetime) {
  this->Bind("k", "t1");
  this->standin->Model().ExpireLeases(SteadyClock::now() + kBindingLifetime);
  EXPECT_EQ(this->Bind("k", "t2").value(), "t1");
  EXPECT_EQ(this->standin->Calls("/v3/lease/grant"), 1);
}

TEST_F(KeyBinderTest, ReplacesOnlyTheCurrentTicket) {
  this->Bind("k", "t1");
  EXPECT_EQ(this->Replace("k", "t1", "t2").value(), "t2");
  EXPECT_EQ(this->Replace("k", "t1", "t3").value(), "t2");
  EXPECT_EQ(this->Replace("none", "t1", "t2").error().kind, StoreErrorKind::kRejected);
  this->standin->SetFault({FaultMode::kLoseAnswers, {}, 1});
  EXPECT_EQ(this->Replace("k", "t2", "t4").value(), "t4");
}

}  // namespace
}  // namespace fireflyrun::store
