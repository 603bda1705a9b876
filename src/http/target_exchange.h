#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "http/answer_reader.h"
#include "http/client_error.h"
#include "http/target_request.h"

namespace fireflyrun::http {

class TargetAddress;
class TargetConnection;

/// One request of TargetClient on its way, with what was written of it and has arrived in answer.
class TargetExchange {
 public:
  using Handler = std::function<void(tl::expected<Response, ClientError>)>;

  TargetExchange(std::uint64_t exchange_id, TargetRequest request_to_send, Handler end_handler);
  TargetExchange(const TargetExchange&) = delete;
  TargetExchange& operator=(const TargetExchange&) = delete;

  /// Says what would break the request's framing.
  static tl::expected<void, ClientError> Check(const TargetRequest& request);

  std::uint64_t Id() const { return this->id; }
  const TargetRequest& Request() const { return this->request; }
  AnswerReader& Reader() { return this->reader; }
  Handler TakeHandler() { return std::move(this->handler); }

  /// Makes the request ready to be written now; false when no time is left for it.
  bool PrepareToWrite();
  std::array<asio::const_buffer, 2> Unwritten() const;
  void CountWritten(std::size_t bytes) { this->written += bytes; }
  bool NothingWritten() const { return this->written == 0; }
  bool FullyWritten() const {
    return this->written == this->head.size() + this->request.body.size();
  }

  /// The connection takes no more bytes, but may still give an answer.
  void StopWriting() { this->writing_stopped = true; }
  bool MayWrite() const {
    return !this->writing_stopped && !this->FullyWritten() && this->reader.AwaitsAnswer();
  }

  TargetAddress* address = nullptr;              ///< Set once the request is accepted.
  std::shared_ptr<TargetConnection> connection;  ///< Null while it waits for one.
  SteadyTime connect_deadline = SteadyTime::max();

 private:
  void BuildHead(Duration time_left);

  std::uint64_t id;
  TargetRequest request;
  Handler handler;
  std::string head;
  std::size_t written = 0;
  bool writing_stopped = false;
  AnswerReader reader;
};

}  // namespace fireflyrun::http
