#include "node/record_codec.h"

#include <utility>
#include <vector>

#include "membership/control.pb.h"
#include "records/record_kind.h"

namespace fireflyrun::node {
namespace {

using membership::pb::RecordEntry;

void FillEntry(const records::RecordEntry& entry, RecordEntry* message) {
  message->set_kind(std::string(records::kRecordKindNames.NameOf(entry.key.kind)));
  message->set_name(entry.key.name);
  message->set_schema(static_cast<std::uint32_t>(entry.key.schema));
  message->set_body(entry.body);
  message->set_retired(entry.retired);
  message->set_revision(static_cast<std::uint64_t>(entry.revision));
  message->set_write_id(entry.write_id);
}

std::optional<records::RecordEntry> ReadEntry(const RecordEntry& message) {
  const auto kind = records::kRecordKindNames.ValueOf(message.kind());
  if (!kind || !records::IsRecordName(message.name())) return std::nullopt;
  records::RecordEntry entry;
  entry.key = {*kind, message.name(), static_cast<int>(message.schema())};
  entry.body = message.body();
  entry.retired = message.retired();
  entry.revision = static_cast<std::int64_t>(message.revision());
  entry.write_id = message.write_id();
  return entry;
}

template <typename Message>
bool ReadEntries(const Message& message, std::vector<records::RecordEntry>* entries) {
  for (const RecordEntry& item : message.entries()) {
    auto entry = ReadEntry(item);
    if (!entry) return false;
    entries->push_back(std::move(*entry));
  }
  return true;
}

template <typename Message>
std::optional<Message> Parse(std::string_view bytes) {
  Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  return message;
}

}  // namespace

std::string EncodeChangeSet(const records::ChangeSet& change_set) {
  membership::pb::ChangeSet message;
  message.set_previous_revision(static_cast<std::uint64_t>(change_set.previous_revision));
  message.set_revision(static_cast<std::uint64_t>(change_set.revision));
  for (const auto& entry : change_set.entries) FillEntry(entry, message.add_entries());
  return message.SerializeAsString();
}

std::optional<records::ChangeSet> DecodeChangeSet(std::string_view bytes) {
  const auto message = Parse<membership::pb::ChangeSet>(bytes);
  if (!message) return std::nullopt;
  records::ChangeSet change_set;
  change_set.previous_revision = static_cast<std::int64_t>(message->previous_revision());
  change_set.revision = static_cast<std::int64_t>(message->revision());
  if (!ReadEntries(*message, &change_set.entries)) return std::nullopt;
  return change_set;
}

std::string EncodeTransfer(const records::Transfer& transfer) {
  membership::pb::Transfer message;
  message.set_from_revision(static_cast<std::uint64_t>(transfer.from_revision.number));
  message.set_from_rest(transfer.from_revision.rest);
  message.set_to_revision(static_cast<std::uint64_t>(transfer.to_revision.number));
  message.set_to_rest(transfer.to_revision.rest);
  for (const auto& entry : transfer.entries) FillEntry(entry, message.add_entries());
  return message.SerializeAsString();
}

std::optional<records::Transfer> DecodeTransfer(std::string_view bytes) {
  const auto message = Parse<membership::pb::Transfer>(bytes);
  if (!message) return std::nullopt;
  records::Transfer transfer;
  transfer.from_revision = {static_cast<std::int64_t>(message->from_revision()),
                            message->from_rest()};
  transfer.to_revision = {static_cast<std::int64_t>(message->to_revision()), message->to_rest()};
  if (!ReadEntries(*message, &transfer.entries)) return std::nullopt;
  return transfer;
}

}  // namespace fireflyrun::node
