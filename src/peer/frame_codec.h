#pragma once

#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "common/id128.h"

namespace fireflyrun::peer {

/// A frame on the wire is a 4-byte little-endian length and one serialized pb::Frame.
inline constexpr std::size_t kLengthBytes = 4;

/// Bytes of a frame for call and answer heads with their headers, or for the other fields of a
/// chunk.
inline constexpr std::size_t kFrameSlackBytes = std::size_t{256} << 10;

/// Longest head that is sent; the rest of kFrameSlackBytes is for the fields around it.
inline constexpr std::size_t kMaxHeadBytes = kFrameSlackBytes - 1024;

/// Appends a frame whose body is `message` in the oneof field `field_number` of pb::Frame.
void AppendFrame(int field_number, const google::protobuf::MessageLite& message, std::string* out);

/// Appends a frame with a BodyChunk, serialized directly from `data` without a message object.
void AppendChunkFrame(int field_number, const Id128& call_id, std::string_view data,
                      std::string* out);

}  // namespace fireflyrun::peer
