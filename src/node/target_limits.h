#pragma once

#include <cstdint>

#include "policy/concurrency_limit.h"

namespace fireflyrun::records {
struct ServicePolicy;
}

namespace fireflyrun::node {

struct TargetAddress;

/// How the slots of a target open after its start. A target that doesn't report whether it has just
/// started is treated as new.
policy::WarmUp WarmUpOf(const TargetAddress& target);

/// How many calls may run at a target within the limit of its service's connections. Each call
/// takes a connection, and one is reserved so that the health probe need not wait. A target that
/// accepts only one connection gets both over it.
std::uint32_t MaxCalls(const records::ServicePolicy& policy);

}  // namespace fireflyrun::node
