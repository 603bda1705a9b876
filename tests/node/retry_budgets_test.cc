#include "node/retry_budgets.h"

#include <gtest/gtest.h>

namespace fireflyrun::node {
namespace {

records::CallPolicy Route(const std::string& service, const std::string& allowance) {
  records::CallPolicy route;
  route.service = service;
  route.retry = {allowance, 3, 1, 100};
  return route;
}

TEST(RetryBudgetsTest, RecordAloneLimitsRetriesWithoutFleetBound) {
  RetryBudgets budgets({}, [] { return false; });
  EXPECT_EQ(budgets.Available(Route("tills", "ample")), 100);
  EXPECT_TRUE(budgets.TrySpend(Route("tills", "ample")));
  EXPECT_EQ(budgets.Available(), 99);
}

TEST(RetryBudgetsTest, FleetBoundLimitsServiceAcrossAllowances) {
  bool has_free_retry = false;
  RetryBudgets budgets({std::chrono::seconds(60), 1, 0, 1}, [&] { return has_free_retry; });
  EXPECT_FALSE(budgets.TrySpend(Route("tills", "ample")));
  budgets.OnSuccess(Route("tills", "ample"));
  budgets.OnSuccess(Route("tills", "other"));
  EXPECT_FALSE(budgets.TrySpend(Route("scans", "ample")));
  EXPECT_TRUE(budgets.TrySpend(Route("tills", "ample")));
  EXPECT_FALSE(budgets.TrySpend(Route("tills", "other")));
  has_free_retry = true;
  EXPECT_TRUE(budgets.TrySpend(Route("tills", "other")));
  EXPECT_TRUE(budgets.TrySpend(Route("scans", "ample")));
}

}  // namespace
}  // namespace fireflyrun::node
