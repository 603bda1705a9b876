#include "peer/checksum.h"

#include <zlib.h>

namespace fireflyrun::peer {

std::uint32_t Checksum(std::string_view body) {
  const auto* bytes = reinterpret_cast<const Bytef*>(body.data());
  return static_cast<std::uint32_t>(crc32_z(0, bytes, body.size()));
}

}  // namespace fireflyrun::peer
