#include "node/target_limits.h"

#include "common/clock.h"
#include "node/target_address.h"
#include "records/service_policy.h"

namespace fireflyrun::node {
namespace {

/// Initial share of the slots of a target that reports a cold start: all of them work, but slowly.
constexpr double kInitialColdSlotShare = 0.5;

}  // namespace

policy::WarmUp WarmUpOf(const TargetAddress& target) {
  if (!target.cold_seconds) return {};
  const std::chrono::duration<double> reported(*target.cold_seconds);
  return {std::chrono::duration_cast<Duration>(reported), kInitialColdSlotShare};
}

std::uint32_t MaxCalls(const records::ServicePolicy& policy) {
  const auto connections = static_cast<std::uint32_t>(*policy.max_connections);
  return connections > 1 && policy.health_path ? connections - 1 : connections;
}

}  // namespace fireflyrun::node
