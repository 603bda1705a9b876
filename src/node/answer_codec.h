#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "peer/call.h"

namespace fireflyrun::node {

/// Serializes an answer for the ticket ledger: the head's length as a 4-byte big-endian integer,
/// the head, and the body.
std::string EncodeAnswer(const peer::Answer& answer);

/// Inverse of EncodeAnswer(); nullopt for malformed input.
std::optional<peer::Answer> DecodeAnswer(std::string_view bytes);

}  // namespace fireflyrun::node
