#pragma once

#include <cstdint>
#include <string>

#include "records/book_revision.h"

namespace fireflyrun::membership {

/// The revision that a message of control.proto carries as a number and, where it has one, a rest.
inline records::BookRevision RevisionOf(std::uint64_t number, const std::string& rest = {}) {
  return {static_cast<std::int64_t>(number), rest};
}

}  // namespace fireflyrun::membership
