#pragma once

#include <cstddef>
#include <string_view>

namespace fireflyrun {

/// Writes to a descriptor that another program reads, without ever waiting for it.
///
/// The descriptor's own flags stay as they are: other processes may share them. A pipe or terminal
/// is opened a second time instead, without blocking; where that can't be done, no more is written
/// at once than what the pipe is known to have room for.
class NonBlockingOutput {
 public:
  /// `descriptor` stays open and with its owner.
  explicit NonBlockingOutput(int descriptor);
  ~NonBlockingOutput();
  NonBlockingOutput(const NonBlockingOutput&) = delete;
  NonBlockingOutput& operator=(const NonBlockingOutput&) = delete;

  /// Bytes taken; 0 while the reader has to catch up. All of them once nobody can read any more.
  std::size_t Write(std::string_view bytes);

 private:
  enum class Kind { kFile, kSocket, kReopened, kShared };

  long WriteSome(std::string_view bytes) const;

  int target;
  Kind kind = Kind::kFile;
  bool closed = false;
};

}  // namespace fireflyrun
