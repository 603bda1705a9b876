#pragma once

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "common/timer_service.h"
#include "http/client.h"
#include "store/etcd_store.h"
#include "tests/standins/store_standin_server.h"

namespace fireflyrun::store {

/// An EtcdStore connected to a stand-in server on the same event loop.
class StoreFixture : public testing::Test {
 protected:
  using FaultMode = standins::StoreFaultMode;

  StoreFixture() { this->MakeStandin({}); }

  void MakeStandin(standins::StoreStandinOptions options) {
    this->standin = std::make_unique<standins::StoreStandinServer>(this->loop, options);
    EtcdStoreOptions store_options;
    store_options.endpoints = {"127.0.0.1:" + std::to_string(this->standin->Port())};
    store_options.request_timeout = std::chrono::milliseconds(300);
    store_options.watch_silence_limit = std::chrono::milliseconds(300);
    this->MakeStore(store_options);
  }

  void MakeStore(EtcdStoreOptions options) {
    this->store = std::make_unique<EtcdStore>(this->client, this->timers, std::move(options));
  }

  /// Runs the event loop until `done` returns true; fails after 10 seconds.
  void RunUntil(const std::function<bool()>& done) {
    const SteadyTime deadline = SteadyClock::now() + std::chrono::seconds(10);
    while (!done()) {
      ASSERT_LT(SteadyClock::now(), deadline) << "the condition was not met within 10 seconds";
      this->loop.run_one_for(std::chrono::milliseconds(20));
    }
  }

  /// Starts an asynchronous operation and waits for its result.
  template <typename Result, typename Start>
  Result Await(Start start) {
    auto result = std::make_shared<std::optional<Result>>();
    start([result](Result value) { *result = std::move(value); });
    EXPECT_FALSE(result->has_value()) << "the handler ran inside the call";
    this->RunUntil([&] { return result->has_value(); });
    return std::move(**result);
  }

  tl::expected<TransactionResult, StoreError> Commit(Transaction transaction) {
    return this->Await<tl::expected<TransactionResult, StoreError>>(
        [&](auto handler) { this->store->Commit(std::move(transaction), handler); });
  }

  tl::expected<Listing, StoreError> List(const std::string& prefix) {
    return this->Await<tl::expected<Listing, StoreError>>(
        [&](auto handler) { this->store->List(prefix, handler); });
  }

  Revision Put(const std::string& key, const std::string& value) {
    const auto result = this->Commit({{}, {{key, value, 0}}});
    EXPECT_TRUE(result && result->committed);
    return result ? result->revision : 0;
  }

  asio::io_context loop{1};
  TimerService timers{this->loop};
  http::Client client{this->loop, 8};
  std::unique_ptr<standins::StoreStandinServer> standin;
  std::unique_ptr<EtcdStore> store;
};

}  // namespace fireflyrun::store
