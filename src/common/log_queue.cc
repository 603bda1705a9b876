#include "common/log_queue.h"

#include <utility>

#include "common/non_blocking_output.h"

namespace fireflyrun {

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

bool LogQueue::Flush() {
  while (!this->Empty()) {
    const std::string_view rest = std::string_view(this->lines).substr(this->written);
    const std::size_t taken = this->output->Write(rest);
    if (taken == 0) return false;
    this->written += taken;
  }
  this->lines.clear();
  this->written = 0;
  return true;
}

}  // namespace fireflyrun
