#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "records/change_set.h"
#include "records/transfer.h"

namespace fireflyrun::node {

/// Encodes change sets and transfers as messages of control.proto. Decoding returns nullopt for
/// malformed bytes and for entries whose kind or name is not valid for a record.
std::string EncodeChangeSet(const records::ChangeSet& change_set);
std::optional<records::ChangeSet> DecodeChangeSet(std::string_view bytes);
std::string EncodeTransfer(const records::Transfer& transfer);
std::optional<records::Transfer> DecodeTransfer(std::string_view bytes);

}  // namespace fireflyrun::node
