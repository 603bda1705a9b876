#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/http_call.h"

namespace fireflyrun::integration {

/// Calls made again and again, one after another on each thread, until stopped.
class ContinuousLoad {
 public:
  struct Options {
    std::vector<std::string> urls;  ///< Each is called by threads of its own.
    std::string method = "GET";
    bool with_keys = false;  ///< Each call gets an `Idempotency-Key` of its own.
    int threads_per_url = 2;
    std::chrono::milliseconds timeout{30'000};
  };

  struct Result {
    std::string url;
    std::string tag;  ///< The call's `X-Request-Tag`, and its key if it has one.
    HttpAnswer answer;

    /// The answer is the whole one that the target gave to this very call.
    bool IsWhole() const;
    std::string Describe() const;
  };

  explicit ContinuousLoad(Options load_options);
  ~ContinuousLoad();
  ContinuousLoad(const ContinuousLoad&) = delete;
  ContinuousLoad& operator=(const ContinuousLoad&) = delete;

  /// Makes no more calls and waits for the answers under way.
  void Stop();

  std::size_t Count() const;
  std::vector<Result> Results() const;
  /// The results that are not whole, as text; empty when there are none.
  std::string Failures() const;

 private:
  void Run(const std::string& url, int thread_number);

  Options options;
  std::atomic<bool> stopping{false};
  mutable std::mutex mutex;
  std::vector<Result> results;
  std::vector<std::thread> threads;
};

}  // namespace fireflyrun::integration
