#include "http/call_exchange.h"

#include <utility>

#include "http/call_connection.h"
#include "http/problem.h"
#include "http/status.h"

namespace fireflyrun::http {

CallExchange::CallExchange(std::shared_ptr<CallConnection> caller, std::uint64_t number)
    : connection(std::move(caller)), request_number(number) {}

CallExchange::~CallExchange() {
  this->connection->ForgetHook(this->request_number);
  if (!this->connection->Awaits(this->request_number)) return;
  Headers headers = {{"Firefly-Outcome", "unknown"}};
  this->connection->Respond(
      this->request_number,
      MakeProblem(kInternalError, "no-response", "No response was made", "", std::move(headers)));
}

void CallExchange::Respond(Response response) {
  this->connection->Respond(this->request_number, std::move(response));
}

void CallExchange::OnCallerGone(std::function<void()> hook) {
  this->connection->SetHook(this->request_number, std::move(hook));
}

}  // namespace fireflyrun::http
