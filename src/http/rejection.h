#pragma once

#include <asio/ip/tcp.hpp>
#include <string>

#include "http/headers.h"
#include "http/response.h"

namespace fireflyrun::http {

/// The response to a request that was not read or not understood: a problem body and
/// `Firefly-Outcome: not-run`.
Response MakeRejection(int status, Headers extra_headers = {});

/// The same as it is sent, with `Connection: close`.
std::string RejectionText(int status, Headers extra_headers = {});

/// Sends `response` on the connection of a request that was not read to its end, and closes it.
/// What the caller still sends is read and dropped, for a limited time and amount: closing with
/// unread bytes would reset the connection and could destroy the response on its way.
void RejectConnection(asio::ip::tcp::socket socket, std::string response);

}  // namespace fireflyrun::http
