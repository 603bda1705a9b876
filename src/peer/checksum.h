#pragma once

#include <cstdint>
#include <string_view>

namespace fireflyrun::peer {

/// CRC-32 (ISO 3309) of a complete body.
std::uint32_t Checksum(std::string_view body);

}  // namespace fireflyrun::peer
