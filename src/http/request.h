#pragma once

#include <cstdint>
#include <string>

#include "common/clock.h"
#include "http/headers.h"

namespace fireflyrun::http {

/// A whole request as received from a caller.
struct Request {
  std::string method;
  std::string target;  ///< Path and query, undecoded.
  Headers headers;
  std::string body;
  std::string remote_address;       ///< IP number of the connection's far end.
  std::uint64_t connection_id = 0;  ///< For Server::CloseConnection().
  std::uint64_t sequence = 0;       ///< Requests received before on the same connection.
  Duration unread_time{};           ///< How long its last bytes had arrived before it was read.
};

}  // namespace fireflyrun::http
