#pragma once

#include <chrono>
#include <functional>

namespace fireflyrun::integration {

/// Checks `condition` again and again until it holds or the limit has passed; whether it held.
bool WaitUntil(std::chrono::milliseconds limit, const std::function<bool()>& condition);

/// Like WaitUntil(), but checks that the condition holds all the time.
bool HoldsFor(std::chrono::milliseconds span, const std::function<bool()>& condition);

}  // namespace fireflyrun::integration
