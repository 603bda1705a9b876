#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "common/enum_names.h"

namespace fireflyrun::peer {

/// How a call over a link failed, by whether the far node may have run it.
enum class LinkErrorKind {
  kNotSent,       ///< Its last byte was not handed to the operating system and never will be.
  kNeverArrived,  ///< The far node said that it never saw it, and voided its id.
  kUnknown,       ///< It may have run; the far node cannot be asked any more.
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
