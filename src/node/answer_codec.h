#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peer/call.h"

namespace fireflyrun::node {

/// An answer as one string, for the ledger of tickets: the head's length in four bytes, most
/// significant first, the head, and the body.
std::string EncodeAnswer(const peer::Answer& answer);

/// Nullopt for anything that EncodeAnswer() does not give.
std::optional<peer::Answer> DecodeAnswer(std::string_view bytes);

}  // namespace fireflyrun::node
