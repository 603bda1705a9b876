#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::peer {

/// How a call over a link failed, by whether the remote node may have run it.
enum class LinkErrorKind {
  kNotSent,       ///< The call's last byte was not passed to the kernel and never will be.
  kNeverArrived,  ///< The remote node reported that the call never arrived, and voided its id.
  kUnknown,       ///< The call may have run; the remote node can no longer be queried.
};

inline constexpr EnumNames kLinkErrorKindNames(std::array{
    std::pair{LinkErrorKind::kNotSent, std::string_view("not-sent")},
    std::pair{LinkErrorKind::kNeverArrived, std::string_view("never-arrived")},
    std::pair{LinkErrorKind::kUnknown, std::string_view("unknown")},
});

struct LinkError {
  LinkErrorKind kind = LinkErrorKind::kNotSent;
  std::string message;
};

}  // namespace fireflyrun::peer
