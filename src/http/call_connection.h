#pragma once

#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "common/clock.h"
#include "http/input_buffer.h"
#include "http/request_reader.h"
#include "http/response.h"
#include "policy/held_bytes.h"

namespace fireflyrun::http {

class CallServerCore;

/// One caller's connection to a CallServer. It handles one request at a time; what the caller sends
/// meanwhile waits in a bounded buffer, and is read so that the caller's leaving is noticed at
/// once.
class CallConnection : public std::enable_shared_from_this<CallConnection> {
 public:
  CallConnection(std::shared_ptr<CallServerCore> server, asio::ip::tcp::socket connected,
                 std::string address, std::uint64_t connection_id);

  using List = std::list<std::shared_ptr<CallConnection>>;

  /// Where the server's lists hold a connection.
  struct ListEntry {
    List* list = nullptr;
    List::iterator position;
  };

  ListEntry& Entry() { return this->entry; }

  std::uint64_t Id() const { return this->id; }
  SteadyTime Deadline() const { return this->deadline; }

  /// Starts to serve the caller.
  void Start();

  /// Answers `text` in place of any request, and closes the connection when the caller has had time
  /// to read it.
  void Refuse(std::string text);

  /// Responds to the request with that number, if it still awaits a response.
  void Respond(std::uint64_t request_number, Response response);

  /// Sets the hook for a caller that leaves before that response.
  void SetHook(std::uint64_t request_number, std::function<void()> hook);

  /// Forgets the hook of that request.
  void ForgetHook(std::uint64_t request_number);

  /// True while that request awaits its response.
  bool Awaits(std::uint64_t request_number) const;

  /// Acts on the deadline that has passed.
  void Expire(SteadyTime now);

  /// Moves the deadline, after a time in which this process did not run.
  void Postpone(Duration time);

  /// Closes an idle connection, unless bytes from the caller are waiting to be read.
  bool CloseIfIdle();

  /// Closes the connection as if the caller had left.
  void Close();

  /// Closes the connection; no hook runs.
  void Drop();

 private:
  enum class Phase : std::uint8_t {
    kIdle,
    kReading,   ///< A request was begun.
    kHandling,  ///< A request awaits its response.
    kWriting,
    kClosing,  ///< The last response is sent; what still arrives is dropped.
    kClosed,
  };

  void Read();
  void OnRead(const asio::error_code& error, std::size_t size);
  void OnInputEnded(bool reset);
  void DropInput(std::size_t size);
  void Advance();
  void BeginRequest();
  void ContinueRequest(RequestReader::Progress progress);
  bool HoldRequest();
  void RefuseForRoom();
  void SendContinue();
  void Dispatch();
  void Write();
  void WriteRest(const std::array<asio::const_buffer, 2>& unwritten);
  void PostHook();
  void OnWritten(const asio::error_code& error);
  void BecomeIdle();
  SteadyTime IdleEnd() const;
  void BeginClosing();
  void Shut(bool caller_left);
  void SetDeadline(Duration time_limit);
  bool HasUnreadBytes() const;
  bool CallerHasLeft();
  Duration UnreadTime();
  bool HasReadAheadEnough() const;
  void PollForEnd();
  std::size_t InputCapacity() const;
  bool DropsInput() const;

  std::shared_ptr<CallServerCore> core;
  asio::ip::tcp::socket socket;
  std::string remote_address;
  std::uint64_t id;
  InputBuffer input;
  RequestReader reader;
  policy::HeldBytesShare held_request;  ///< From its first bytes to the end of the response.
  policy::HeldBytesShare held_response;
  CallServerLimits limits;  ///< Of the current message.
  std::string response_head;
  std::string response_body;
  std::function<void()> caller_gone_hook;
  ListEntry entry;
  SteadyTime deadline = SteadyTime::max();
  SteadyTime idle_since;
  std::uint64_t requests = 0;
  std::size_t dropped_bytes = 0;
  Phase phase = Phase::kIdle;
  bool read_pending = false;
  bool continue_pending = false;  ///< An interim response is being written.
  bool continue_sent = false;
  bool open_exchange = false;
  bool head_only = false;
  bool close_after = false;
  bool input_ended = false;
  bool caller_gone = false;
};

}  // namespace fireflyrun::http
