#include "common/non_blocking_output.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string>

namespace fireflyrun {
namespace {

/// A pipe that polls as writable takes so much without blocking (POSIX).
constexpr std::size_t kSurePipeBytes = PIPE_BUF;

int Reopen(int descriptor) {
  const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
  return open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY | O_APPEND);
}

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) > 0;
}

}  // namespace

NonBlockingOutput::NonBlockingOutput(int descriptor) : target(descriptor) {
  struct stat status {};
  if (fstat(descriptor, &status) != 0) {
    this->closed = true;
    return;
  }
  if (S_ISSOCK(status.st_mode)) this->kind = Kind::kSocket;
  if (!S_ISFIFO(status.st_mode) && !S_ISCHR(status.st_mode)) return;
  const int reopened = Reopen(descriptor);
  this->kind = reopened >= 0 ? Kind::kReopened : Kind::kShared;
  if (reopened >= 0) this->target = reopened;
}

NonBlockingOutput::~NonBlockingOutput() {
  if (this->kind == Kind::kReopened) close(this->target);
}

std::size_t NonBlockingOutput::Write(std::string_view bytes) {
  if (this->closed) return bytes.size();
  const long written = this->WriteSome(bytes);
  if (written >= 0) return static_cast<std::size_t>(written);
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return 0;
  this->closed = true;
  return bytes.size();
}

long NonBlockingOutput::WriteSome(std::string_view bytes) const {
  if (this->kind == Kind::kSocket) {
    return send(this->target, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  if (this->kind == Kind::kShared) {
    if (!IsWritable(this->target)) return 0;
    return write(this->target, bytes.data(), std::min(bytes.size(), kSurePipeBytes));
  }
  return write(this->target, bytes.data(), bytes.size());
}

}  // namespace fireflyrun
