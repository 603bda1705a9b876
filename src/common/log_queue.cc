#include "common/log_queue.h"

#include <climits>
#include <utility>

#include "common/non_blocking_output.h"

namespace fireflyrun {
namespace {

/// A pipe takes so much in one piece or not at all (POSIX), so that lines of processes that share
/// it stay whole.
constexpr std::size_t kPieceBytes = PIPE_BUF;

/// As many of the first lines as fit a piece, but one at least.
std::string_view WholeLines(std::string_view lines) {
  if (lines.size() <= kPieceBytes) return lines;
  auto end = lines.rfind('\n', kPieceBytes - 1);
  if (end == std::string_view::npos) end = lines.find('\n');
  return lines.substr(0, end + 1);
}

}  // namespace

LogQueue::LogQueue(std::unique_ptr<NonBlockingOutput> line_output)
    : output(std::move(line_output)) {}

LogQueue::~LogQueue() = default;

bool LogQueue::Append(std::string_view line, LogUrgency urgency) {
  const std::size_t room = urgency == LogUrgency::kSuccess ? kCapacity / 2 : kCapacity;
  if (this->lines.size() - this->written + line.size() >= room) return false;
  // What is written is cut off when it is the greater part, so that each byte moves once at most.
  if (this->written > this->lines.size() / 2) {
    this->lines.erase(0, this->written);
    this->written = 0;
  }
  this->lines.append(line);
  this->lines.push_back('\n');
  return true;
}

bool LogQueue::HasWholePiece() const {
  return !this->output_full && this->lines.size() - this->written >= kPieceBytes;
}

bool LogQueue::Flush() {
  while (!this->Empty()) {
    const std::string_view rest = std::string_view(this->lines).substr(this->written);
    const std::size_t taken = this->output->Write(WholeLines(rest));
    this->output_full = taken == 0;
    if (this->output_full) return false;
    this->written += taken;
  }
  this->lines.clear();
  this->written = 0;
  return true;
}

}  // namespace fireflyrun
