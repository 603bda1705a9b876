#pragma once

#include <cstddef>

#include "peer/call.h"

namespace fireflyrun::peer {

/// Bytes of memory that a head with headers takes, which is many times its text where they are
/// short.
std::size_t HeldBytesOf(const pb::CallHead& head);
std::size_t HeldBytesOf(const pb::AnswerHead& head);

/// Of head and body.
std::size_t HeldBytesOf(const Call& call);
std::size_t HeldBytesOf(const Answer& answer);

}  // namespace fireflyrun::peer
