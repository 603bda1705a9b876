#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::bench {

/// How two relays carry calls between them.
enum class RelayMode { kHttp, kTcp, kZeroMq };

inline constexpr EnumNames kRelayModeNames(std::array{
    std::pair{RelayMode::kHttp, std::string_view("http")},
    std::pair{RelayMode::kTcp, std::string_view("tcp")},
    std::pair{RelayMode::kZeroMq, std::string_view("zeromq")},
});

}  // namespace fireflyrun::bench
