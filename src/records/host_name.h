#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace fireflyrun::records {

/// A host as calls and routes name it. The views point into the text given to SplitHost().
struct HostName {
  std::string_view name;  ///< Without the dot that may end it; an IPv6 address has its brackets.
  std::string_view port;  ///< Empty if there is none.
};

HostName SplitHost(std::string_view host);

/// `host` in the form in which routes compare hosts: in lower case, without a dot at the end of its
/// name.
std::string NormalizeHost(std::string_view host);

/// Hashes names of hosts without regard to case. Transparent, so that a search doesn't allocate.
struct HostNameHash {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view name) const;
};

/// Compares names of hosts without regard to case.
struct HostNameEqual {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  bool operator()(std::string_view left, std::string_view right) const;
};

}  // namespace fireflyrun::records
