#include "tests/peer/raw_link.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "peer/frame_codec.h"

namespace fireflyrun::peer {

RawLink::RawLink(PeerHarness& peer_harness, std::uint16_t port)
    : harness(peer_harness), socket(peer_harness.loop) {
  this->socket.connect({asio::ip::address_v4::loopback(), port});
  this->socket.set_option(asio::ip::tcp::no_delay(true));
  this->socket.non_blocking(true);
}

RawLink::RawLink(PeerHarness& peer_harness, asio::ip::tcp::socket accepted)
    : harness(peer_harness), socket(std::move(accepted)) {
  this->socket.non_blocking(true);
}

void RawLink::Write(const std::string& bytes) {
  asio::error_code error;
  asio::write(this->socket, asio::buffer(bytes), error);
  if (error) this->ended = true;
}

void RawLink::Send(int field_number, const google::protobuf::MessageLite& message) {
  std::string bytes;
  AppendFrame(field_number, message, &bytes);
  this->Write(bytes);
}

void RawLink::SendHello(const std::string& node, std::uint64_t incarnation,
                        std::uint64_t link_number) {
  pb::Hello hello;
  hello.set_cluster("test");
  hello.set_node(node);
  hello.set_incarnation(incarnation);
  hello.set_link_number(link_number);
  this->Send(pb::Frame::kHelloFieldNumber, hello);
}

void RawLink::SendCall(const Id128& call_id, const std::string& body, std::uint32_t crc32,
                       std::uint64_t expires_boot_us) {
  pb::CallHead head;
  head.set_call_id(call_id.ToBytes());
  head.set_expires_boot_us(expires_boot_us);
  head.set_deadline_us(10'000'000);
  head.set_body_length(body.size());
  head.set_body_crc32(crc32);
  this->Send(pb::Frame::kCallHeadFieldNumber, head);
  if (body.empty()) return;
  std::string bytes;
  AppendChunkFrame(pb::Frame::kCallChunkFieldNumber, call_id, body, &bytes);
  this->Write(bytes);
}

void RawLink::SendQuery(const Id128& call_id) {
  pb::StateQuery query;
  query.set_call_id(call_id.ToBytes());
  this->Send(pb::Frame::kStateQueryFieldNumber, query);
}

void RawLink::SendCancel(const Id128& call_id) {
  pb::Cancel cancel;
  cancel.set_call_id(call_id.ToBytes());
  this->Send(pb::Frame::kCancelFieldNumber, cancel);
}

std::optional<pb::Frame> RawLink::Await(pb::Frame::BodyCase body_case) {
  std::optional<pb::Frame> found;
  this->harness.RunUntil([&] {
    this->ReadSome();
    while (const auto bytes = this->reader.Next()) {
      pb::Frame frame;
      frame.ParseFromArray(bytes->data(), static_cast<int>(bytes->size()));
      if (frame.body_case() != body_case) continue;
      found = std::move(frame);
      return true;
    }
    return this->ended;
  });
  return found;
}

bool RawLink::AwaitEnd() {
  return this->harness.RunUntil([&] {
    this->ReadSome();
    return this->ended;
  });
}

bool RawLink::ReadSome() {
  const auto space = this->reader.Prepare();
  asio::error_code error;
  const auto size = this->socket.read_some(asio::buffer(space.data(), space.size()), error);
  if (error && error != asio::error::would_block) {
    this->ended = true;
    this->end_error = error;
  }
  this->reader.Commit(error ? 0 : size);
  return !error;
}

}  // namespace fireflyrun::peer
