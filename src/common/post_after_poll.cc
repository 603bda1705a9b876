#include "common/post_after_poll.h"

#include <asio/post.hpp>
#include <utility>

namespace fireflyrun {

void PostAfterPoll(asio::io_context& loop, std::function<void()> work) {
  // The first handler runs after those of the present poll. What the next poll finds is handled
  // after it, and before the second handler.
  asio::post(loop,
             [&loop, work = std::move(work)]() mutable { asio::post(loop, std::move(work)); });
}

}  // namespace fireflyrun
