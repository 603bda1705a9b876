#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::node {

/// How far a call had come at its target's node when its caller left.
enum class CancelStage : std::uint8_t {
  kQueued,   ///< It waited for the target; it never runs.
  kUnsent,   ///< No byte of it was sent yet; it never runs.
  kRunning,  ///< Its connection to the target is closed.
  kKept,     ///< It runs on, as it must run at most once and its answer may be asked for again.
};

inline constexpr EnumNames kCancelStageNames(std::array{
    std::pair{CancelStage::kQueued, std::string_view("queued")},
    std::pair{CancelStage::kUnsent, std::string_view("unsent")},
    std::pair{CancelStage::kRunning, std::string_view("running")},
    std::pair{CancelStage::kKept, std::string_view("kept")},
});

}  // namespace fireflyrun::node
