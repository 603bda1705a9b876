#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fireflyrun::store {

/// Base64 with padding (RFC 4648, section 4).
std::string EncodeBase64(std::string_view bytes);

/// Inverse of EncodeBase64(); nullopt if `text` is not padded base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace fireflyrun::store
