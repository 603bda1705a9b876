#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "store/key_value.h"
#include "store/transaction.h"
#include "store/watch_message.h"

/// Messages of the etcd v3 JSON gateway, by etcd's published API reference.
namespace fireflyrun::store::etcd {

/// What could not be read of an answer.
using DecodeError = std::string;

template <typename Value>
using Decoded = tl::expected<Value, DecodeError>;

/// The end of the range of keys that start with `prefix`.
std::string PrefixEnd(std::string prefix);

std::string EncodeRange(const std::string& prefix);
Decoded<Listing> DecodeRange(std::string_view text);

std::string EncodeTransaction(const Transaction& transaction);
Decoded<TransactionResult> DecodeTransaction(std::string_view text);

std::string EncodeLeaseGrant(std::chrono::seconds time_to_live);
std::string EncodeLease(LeaseId lease);
Decoded<LeaseId> DecodeLeaseGrant(std::string_view text);
/// The time to live; zero when the lease does not exist any more.
Decoded<std::chrono::seconds> DecodeLeaseKeepAlive(std::string_view text);

std::string EncodeWatch(const std::string& prefix, Revision first_revision);
/// `line` is one line of the stream.
Decoded<WatchMessage> DecodeWatch(std::string_view line);

/// The text of an error answer, or its start when it is not etcd's.
std::string DecodeErrorText(std::string_view text);

}  // namespace fireflyrun::store::etcd
