#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/fleet.h"

namespace fireflyrun::integration {
namespace {

constexpr int kOk = 200;
constexpr std::chrono::seconds kLoad{18};
constexpr std::array<int, 3> kServiceTimesMs{100, 600, 1400};

/// Callers in a loop, each call of a service time drawn at random, and one target that has many
/// more slots than callers.
class MixedLoadTest : public testing::TestWithParam<int> {
 protected:
  void SetUp() override { ASSERT_TRUE(this->fleet.WaitReady()); }

  void Run(int callers) {
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) threads.emplace_back([this, i] { this->CallInLoop(i); });
    for (auto& thread : threads) thread.join();
  }

  std::vector<std::string> failures;  ///< What callers got instead of an answer.
  int calls = 0;

 private:
  void CallInLoop(int caller) {
    std::mt19937 generator(caller);
    const auto end = std::chrono::steady_clock::now() + kLoad;
    while (std::chrono::steady_clock::now() < end) {
      const int time_ms = kServiceTimesMs.at(generator() % kServiceTimesMs.size());
      const HttpAnswer answer = this->fleet.Call("a0", "GET", "/entry/x",
                                                 {"X-Service-Time-Ms: " + std::to_string(time_ms)});
      const std::lock_guard lock(this->mutex);
      ++this->calls;
      if (answer.status == kOk) continue;
      this->failures.push_back(std::to_string(answer.status) + " " + answer.body + answer.error);
    }
  }

  Fleet fleet{{{"a0", "east", "east-a"}, {"a1", "east", "east-a", "entry", 400, 0}},
              RecordsWithoutRetries("entry", 5'000)};
  std::mutex mutex;
};

INSTANTIATE_TEST_SUITE_P(Callers, MixedLoadTest, testing::Values(12, 40));

TEST_P(MixedLoadTest, ATargetWithManyFreeSlotsRefusesNoCall) {
  this->Run(GetParam());
  EXPECT_GT(this->calls, 0);
  EXPECT_EQ(this->failures.size(), 0U)
      << "of " << this->calls << ", the first: " << this->failures.front();
}

}  // namespace
}  // namespace fireflyrun::integration
