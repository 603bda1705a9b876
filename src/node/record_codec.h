#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "records/change_set.h"
#include "records/transfer.h"

namespace fireflyrun::node {

/// Change sets and transfers as the serialized messages of control.proto. Decoding gives nullopt
/// for malformed bytes and for entries whose kind or name cannot be a record's.
std::string EncodeChangeSet(const records::ChangeSet& change_set);
std::optional<records::ChangeSet> DecodeChangeSet(std::string_view bytes);
std::string EncodeTransfer(const records::Transfer& transfer);
std::optional<records::Transfer> DecodeTransfer(std::string_view bytes);

}  // namespace fireflyrun::node
