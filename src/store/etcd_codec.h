#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "store/key_value.h"
#include "store/transaction.h"
#include "store/watch_message.h"

/// Encodes and decodes messages of the etcd v3 JSON gateway, as in etcd's published API reference.
namespace fireflyrun::store::etcd {

/// Describes why an answer could not be decoded.
using DecodeError = std::string;

template <typename Value>
using Decoded = tl::expected<Value, DecodeError>;

/// The `range_end` that covers all keys with the prefix `prefix`.
std::string PrefixEnd(std::string prefix);

std::string EncodeRange(const std::string& prefix);
Decoded<Listing> DecodeRange(std::string_view text);

std::string EncodeTransaction(const Transaction& transaction);
Decoded<TransactionResult> DecodeTransaction(std::string_view text);

std::string EncodeLeaseGrant(std::chrono::seconds time_to_live);
std::string EncodeLease(LeaseId lease);
Decoded<LeaseId> DecodeLeaseGrant(std::string_view text);
/// The remaining time to live; zero if the lease no longer exists.
Decoded<std::chrono::seconds> DecodeLeaseKeepAlive(std::string_view text);

std::string EncodeWatch(const std::string& prefix, Revision first_revision);
/// Decodes one line of a watch stream.
Decoded<WatchMessage> DecodeWatch(std::string_view line);

/// The message of an etcd error answer; the start of `text` if it is not in etcd's format.
std::string DecodeErrorText(std::string_view text);

}  // namespace fireflyrun::store::etcd
