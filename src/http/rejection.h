#pragma once

#include <asio/ip/tcp.hpp>
#include <string>

#include "http/headers.h"

namespace fireflyrun::http {

/// The whole response to a request that was not read: a problem body, `Firefly-Outcome: not-run`
/// and `Connection: close`.
std::string RejectionText(int status, const Headers& extra_headers = {});

/// Sends `response` on the connection of a request that was not read to its end, and closes it.
/// What the caller still sends is read and dropped, for a limited time and amount: closing with
/// unread bytes would reset the connection and could destroy the response on its way.
void RejectConnection(asio::ip::tcp::socket socket, std::string response);

}  // namespace fireflyrun::http
