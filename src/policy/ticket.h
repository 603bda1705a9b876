#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/id128.h"

namespace fireflyrun::policy {

/// The right to run one non-idempotent call once, on one incarnation of one node.
struct Ticket {
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint32_t window = 0;  ///< The node's ticket window when the ticket was issued.
  Id128 nonce;

  /// A new ticket with a random nonce.
  static Ticket Issue(std::string node, std::uint64_t incarnation, std::uint32_t window);
  /// Parses the form that `ToText` returns; nullopt for anything else, including variant spellings.
  static std::optional<Ticket> FromText(std::string_view text);

  /// `ff1.INCARNATION.WINDOW.NONCE.NODE`, a valid HTTP token (RFC 9110): the incarnation and the
  /// nonce in hexadecimal, the window in decimal, the node with `%XX` for all but letters, digits,
  /// `.`, `_` and `-`.
  std::string ToText() const;

  bool operator==(const Ticket&) const = default;
};

}  // namespace fireflyrun::policy
