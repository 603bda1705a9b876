#pragma once

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/timer_service.h"
#include "http/client.h"
#include "platform/metadata_store.h"
#include "tests/standins/metadata_standin.h"

namespace fireflyrun::platform {

/// Runs the adapter against a metadata store stand-in on the same event loop.
class PlatformFixture : public testing::Test {
 protected:
  using Mode = standins::MetadataFaultMode;
  static constexpr std::size_t kPageItems = 2;

  MetadataStoreOptions Options() const {
    return {this->standin.Address(), std::chrono::milliseconds(300), std::chrono::milliseconds(400),
            std::chrono::milliseconds(200)};
  }

  /// Runs the loop until `done` returns true; fails after ten seconds.
  void RunUntil(const std::function<bool()>& done) {
    const SteadyTime deadline = SteadyClock::now() + std::chrono::seconds(10);
    while (!done()) {
      ASSERT_LT(SteadyClock::now(), deadline) << "timed out waiting for the condition";
      this->loop.run_one_for(std::chrono::milliseconds(20));
    }
  }

  /// Starts an operation and waits for its result.
  template <typename Value, typename Start>
  tl::expected<Value, store::StoreError> Await(Start start) {
    using Result = tl::expected<Value, store::StoreError>;
    auto result = std::make_shared<std::optional<Result>>();
    start([result](Result value) { *result = std::move(value); });
    EXPECT_FALSE(result->has_value()) << "the handler ran before the call returned";
    this->RunUntil([&] { return result->has_value(); });
    return std::move(**result);
  }

  auto List(const std::string& prefix) {
    return this->Await<store::Listing>(
        [&](auto handler) { this->store->List(prefix, std::move(handler)); });
  }

  auto Commit(const store::Transaction& transaction) {
    return this->Await<store::TransactionResult>(
        [&](auto handler) { this->store->Commit(transaction, std::move(handler)); });
  }

  asio::io_context loop{1};
  TimerService timers{this->loop};
  http::Client client{this->loop, 8};
  standins::MetadataStandin standin{this->loop, kPageItems};
  std::unique_ptr<MetadataStore> store =
      std::make_unique<MetadataStore>(this->client, this->timers, this->Options());
};

}  // namespace fireflyrun::platform
