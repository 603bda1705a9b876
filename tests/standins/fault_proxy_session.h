#pragma once

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "tests/standins/fault_proxy_faults.h"

namespace fireflyrun::standins {

/// One direction of a proxied connection. Reads on until a bound of held bytes, so that pressure
/// from a rate cap reaches the sender.
class FaultProxyPipe : public std::enable_shared_from_this<FaultProxyPipe> {
 public:
  FaultProxyPipe(std::shared_ptr<asio::ip::tcp::socket> source_socket,
                 std::shared_ptr<asio::ip::tcp::socket> sink_socket, FaultProxyFaults first_faults);

  void Start() { this->Read(); }
  void SetFaults(const FaultProxyFaults& new_faults);
  const FaultProxyFaults& Faults() const { return this->faults; }
  /// Bytes wait here while set, whatever the faults are.
  void SetCut(bool is_cut);
  /// Swallows everything from now on, also what is held, and the end of the stream.
  void Silence();
  void Close();
  /// The source has ended and nothing waits to be written.
  bool Done() const { return this->ended && !this->writing && this->pieces.empty(); }
  std::size_t HeldBytes() const { return this->held_bytes; }

 private:
  struct Piece {
    SteadyTime due;
    std::string bytes;  ///< Empty stands for the end of the stream.
  };

  void Read();
  void OnRead(const asio::error_code& error, std::size_t size);
  void Pump();
  void Write();
  SteadyTime NextWrite() const;

  std::shared_ptr<asio::ip::tcp::socket> source;
  std::shared_ptr<asio::ip::tcp::socket> sink;
  FaultProxyFaults faults;
  asio::steady_timer timer;
  std::string buffer;
  std::deque<Piece> pieces;
  std::size_t held_bytes = 0;
  SteadyTime rate_allows_at;
  bool reading = false;
  bool writing = false;
  bool ended = false;
  bool silent = false;
  bool cut = false;
};

/// A proxied connection: the two sockets and a pipe each way.
struct FaultProxySession {
  asio::ip::address source;
  std::shared_ptr<asio::ip::tcp::socket> client;
  std::shared_ptr<asio::ip::tcp::socket> server;
  std::shared_ptr<FaultProxyPipe> to_server;  ///< Null until the server side is connected.
  std::shared_ptr<FaultProxyPipe> to_client;
};

}  // namespace fireflyrun::standins
