#include "common/post_after_poll.h"

#include <gtest/gtest.h>

#include <asio/buffer.hpp>
#include <asio/local/connect_pair.hpp>
#include <asio/local/stream_protocol.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <string>

namespace fireflyrun {
namespace {

TEST(PostAfterPollTest, WhatHasArrivedIsReadFirst) {
  asio::io_context loop{1};
  asio::local::stream_protocol::socket near_end(loop);
  asio::local::stream_protocol::socket far_end(loop);
  asio::local::connect_pair(near_end, far_end);
  std::string order;
  near_end.async_wait(asio::socket_base::wait_read, [&](const asio::error_code&) { order += "r"; });
  asio::post(loop, [&] {
    asio::write(far_end, asio::buffer("x", 1));
    PostAfterPoll(loop, [&] { order += "w"; });
  });
  loop.run();
  EXPECT_EQ(order, "rw");
}

}  // namespace
}  // namespace fireflyrun
