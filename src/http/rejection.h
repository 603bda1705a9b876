#pragma once

#include <asio/ip/tcp.hpp>
#include <string>

namespace fireflyrun::http {

/// Sends `response` on the connection of a request that was not read to its end, and closes it.
/// What the caller still sends is read and dropped, for a limited time and amount: closing with
/// unread bytes would reset the connection and could destroy the response on its way.
void RejectConnection(asio::ip::tcp::socket socket, std::string response);

}  // namespace fireflyrun::http
