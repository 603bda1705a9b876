#include "tests/integration/wait_until.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace fireflyrun::integration {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{20};

void WaitOnePeriod() {
  asio::io_context loop;
  asio::steady_timer timer(loop, kPollPeriod);
  timer.wait();
}

}  // namespace

bool WaitUntil(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    WaitOnePeriod();
  }
  return true;
}

bool HoldsFor(std::chrono::milliseconds span, const std::function<bool()>& condition) {
  return !WaitUntil(span, [&condition] { return !condition(); });
}

}  // namespace fireflyrun::integration
