#pragma once

#include <asio/io_context.hpp>
#include <functional>

namespace fireflyrun {

/// Runs `work` after the event loop has polled its sockets once more and has handled what it found.
/// So `work` knows of all that had arrived by now, also after a time in which the loop was held up.
void PostAfterPoll(asio::io_context& loop, std::function<void()> work);

}  // namespace fireflyrun
