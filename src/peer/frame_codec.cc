#include "peer/frame_codec.h"

#include <google/protobuf/io/coded_stream.h>

#include <array>
#include <cstdint>

#include "peer/peer.pb.h"

namespace fireflyrun::peer {
namespace {

using google::protobuf::io::CodedOutputStream;

constexpr std::uint32_t kLengthDelimited = 2;
constexpr unsigned kWireTypeBits = 3;
constexpr std::size_t kMaxVarintBytes = 10;

void AppendVarint(std::uint64_t value, std::string* out) {
  std::array<std::uint8_t, kMaxVarintBytes> bytes{};
  const auto* end = CodedOutputStream::WriteVarint64ToArray(value, bytes.data());
  out->append(reinterpret_cast<const char*>(bytes.data()),
              static_cast<std::size_t>(end - bytes.data()));
}

void AppendFieldStart(int field_number, std::size_t size, std::string* out) {
  AppendVarint((static_cast<std::uint64_t>(field_number) << kWireTypeBits) | kLengthDelimited, out);
  AppendVarint(size, out);
}

std::size_t FieldSize(std::size_t size) {
  constexpr std::size_t kTagBytes = 1;
  return kTagBytes + CodedOutputStream::VarintSize64(size) + size;
}

void AppendLength(std::size_t length, std::string* out) {
  std::array<std::uint8_t, kLengthBytes> bytes{};
  CodedOutputStream::WriteLittleEndian32ToArray(static_cast<std::uint32_t>(length), bytes.data());
  out->append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

}  // namespace

void AppendFrame(int field_number, const google::protobuf::MessageLite& message, std::string* out) {
  const std::size_t size = message.ByteSizeLong();
  AppendLength(FieldSize(size), out);
  AppendFieldStart(field_number, size, out);
  const std::size_t start = out->size();
  out->resize(start + size);
  message.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(out->data() + start));
}

void AppendChunkFrame(int field_number, const Id128& call_id, std::string_view data,
                      std::string* out) {
  const std::size_t size = FieldSize(Id128::kBytes) + FieldSize(data.size());
  AppendLength(FieldSize(size), out);
  AppendFieldStart(field_number, size, out);
  AppendFieldStart(pb::BodyChunk::kCallIdFieldNumber, Id128::kBytes, out);
  out->append(call_id.ToBytes());
  AppendFieldStart(pb::BodyChunk::kDataFieldNumber, data.size(), out);
  out->append(data);
}

}  // namespace fireflyrun::peer
