#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/log_urgency.h"

namespace fireflyrun {

class NonBlockingOutput;

/// Lines on their way to an output that may be slow: a bounded number of bytes, written in batches.
class LogQueue {
 public:
  static constexpr std::size_t kCapacity = std::size_t{256} * 1024;

  explicit LogQueue(std::unique_ptr<NonBlockingOutput> line_output);
  ~LogQueue();
  LogQueue(const LogQueue&) = delete;
  LogQueue& operator=(const LogQueue&) = delete;

  /// False, and the line is dropped, when the queue is full; lines of successes are dropped from
  /// half of it on.
  bool Append(std::string_view line, LogUrgency urgency);
  /// Writes what the output takes now. True when nothing is left.
  bool Flush();
  bool Empty() const { return this->written == this->lines.size(); }
  /// Enough lines wait for a whole write, and the output has not just refused one.
  bool HasWholePiece() const;

 private:
  std::unique_ptr<NonBlockingOutput> output;
  std::string lines;
  std::size_t written = 0;   ///< Bytes of `lines` that the output has taken.
  bool output_full = false;  ///< It took nothing the last time.
};

}  // namespace fireflyrun
