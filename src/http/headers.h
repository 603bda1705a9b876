#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyrun::http {

/// One header field, as it stood on the wire.
struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// The first value of a header, whatever the case of its name.
std::optional<std::string_view> FindHeader(const Headers& headers, std::string_view name);

}  // namespace fireflyrun::http
