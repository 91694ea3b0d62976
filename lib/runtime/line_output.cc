// Writes without waiting: over a descriptor of its own for pipes, else in
// pieces that a ready descriptor takes at once.

#include "line_output.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace marjoramslip::shell {
namespace {

constexpr int kLastWaitMilliseconds = 200;

bool IsReady(int descriptor, int wait_milliseconds) {
  pollfd asked{descriptor, POLLOUT, 0};
  return poll(&asked, 1, wait_milliseconds) > 0;
}

/// Opens the pipe behind `descriptor` once more: making the given descriptor
/// non-blocking would do so for all processes that share it. Returns -1 if it
/// is no pipe or cannot be opened.
int OpenPipeAgain(int descriptor) {
  struct stat kind {};
  if (fstat(descriptor, &kind) != 0 || !S_ISFIFO(kind.st_mode)) {
    return -1;
  }
  const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
  return open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
}

}  // namespace

line_output::line_output(int descriptor) : descriptor_(descriptor) {
  if (const int own = OpenPipeAgain(descriptor); own >= 0) {
    descriptor_ = own;
    owned_ = true;
  }
}

line_output::~line_output() {
  Flush();
  if (!pending_.empty() && IsReady(descriptor_, kLastWaitMilliseconds)) {
    Flush();
  }
  if (owned_) {
    close(descriptor_);
  }
}

bool line_output::Write(std::string_view line) {
  const std::lock_guard lock(mutex_);
  FlushLocked();
  if (!pending_.empty() && pending_.size() + line.size() > kMaxPendingBytes) {
    ++dropped_;
    return false;
  }
  pending_.append(line);
  pending_.push_back('\n');
  FlushLocked();
  return true;
}

void line_output::Flush() {
  const std::lock_guard lock(mutex_);
  FlushLocked();
}

void line_output::FlushLocked() {
  std::size_t written = 0;
  while (written < pending_.size()) {
    // A blocking descriptor that is ready takes this much at once.
    const std::size_t piece =
        owned_ ? pending_.size() - written
               : std::min<std::size_t>(pending_.size() - written, PIPE_BUF);
    if (!owned_ && !IsReady(descriptor_, 0)) {
      break;
    }
    const ssize_t taken = write(descriptor_, pending_.data() + written, piece);
    if (taken < 0 && errno == EINTR) {
      continue;
    }
    if (taken < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      // Nobody can read it any more, and there is nowhere else to say so.
      pending_.clear();
      return;
    }
    if (taken <= 0) {
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  pending_.erase(0, written);
}

std::uint64_t line_output::TakeDropped() {
  const std::lock_guard lock(mutex_);
  return std::exchange(dropped_, 0);
}

}  // namespace marjoramslip::shell
