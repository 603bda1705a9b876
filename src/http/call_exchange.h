#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "http/exchange.h"

namespace fireflyrun::http {

class CallConnection;

/// A request of a CallConnection. One that is dropped without a response is answered 500.
class CallExchange : public Exchange {
 public:
  CallExchange(std::shared_ptr<CallConnection> caller, std::uint64_t number);
  ~CallExchange() override;
  CallExchange(const CallExchange&) = delete;
  CallExchange& operator=(const CallExchange&) = delete;

  void Respond(Response response) override;
  void OnCallerGone(std::function<void()> hook) override;

 private:
  std::shared_ptr<CallConnection> connection;
  std::uint64_t request_number;
};

}  // namespace fireflyrun::http
