#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "peer/frame_reader.h"
#include "peer/peer.pb.h"
#include "tests/peer/peer_harness.h"

namespace fireflyrun::peer {

/// A manually driven end of a link, for frames that a LinkPool or LinkServer never sends.
class RawLink {
 public:
  RawLink(PeerHarness& peer_harness, std::uint16_t port);
  RawLink(PeerHarness& peer_harness, asio::ip::tcp::socket accepted);

  void Write(const std::string& bytes);
  void Send(int field_number, const google::protobuf::MessageLite& message);
  void SendHello(const std::string& node, std::uint64_t incarnation, std::uint64_t link_number);
  void SendCall(const Id128& call_id, const std::string& body, std::uint32_t crc32,
                std::uint64_t expires_boot_us = 0);
  void SendQuery(const Id128& call_id);
  void SendCancel(const Id128& call_id);
  /// Runs the event loop until a frame with this body is received; drops other frames. Returns
  /// nothing if the stream ends.
  std::optional<pb::Frame> Await(pb::Frame::BodyCase body_case);
  /// Runs the event loop until the remote end has closed the stream.
  bool AwaitEnd();
  /// How the stream ended; no error before it has.
  const asio::error_code& EndError() const { return this->end_error; }

 private:
  bool ReadSome();

  PeerHarness& harness;
  asio::ip::tcp::socket socket;
  FrameReader reader{std::size_t{1} << 24};
  bool ended = false;
  asio::error_code end_error;
};

}  // namespace fireflyrun::peer
