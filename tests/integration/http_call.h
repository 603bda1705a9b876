#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflyrun::integration {

/// The answer to one HTTP request of a test; status 0 when there was none.
struct HttpAnswer {
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  std::string error;

  /// The value of a header, empty when absent.
  std::string Header(const std::string& lower_case_name) const;
};

/// One HTTP request of a test.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;  ///< `Name: value`.
  std::string body;
  std::chrono::milliseconds timeout{10'000};
};

/// Requests of one caller, one after another, on a connection that is kept as long as the other end
/// allows.
class CallSession {
 public:
  CallSession();
  ~CallSession();
  CallSession(const CallSession&) = delete;
  CallSession& operator=(const CallSession&) = delete;

  /// Makes the request and waits for the answer.
  HttpAnswer Make(const HttpCall& call);

 private:
  struct Handle;

  std::unique_ptr<Handle> handle;
};

/// Makes the request on a connection of its own and waits for the answer.
HttpAnswer MakeCall(const HttpCall& call);

/// A GET whose answer is expected to be quick.
HttpAnswer Get(const std::string& url);

}  // namespace fireflyrun::integration
