// Non-blocking input and output of a caller.

#include "marjoramslip/runtime/stream_connection.h"

#include <Poco/Exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>

#include "marjoramslip/runtime/caller_limits.h"

namespace marjoramslip::shell {
namespace {

constexpr std::size_t kReadBytes = 16U << 10U;
/// Reads in one call of ReadAvailable: a caller may send faster than this.
constexpr int kReadsAtOnce = 64;
constexpr std::size_t kLargestWrite = 1U << 20U;
constexpr std::size_t kCompactBytes = 64U << 10U;

// A caller that vanished without a word is noticed after about 90 seconds.
constexpr int kKeepAliveIdleSeconds = 60;
constexpr int kKeepAliveIntervalSeconds = 10;
constexpr int kKeepAliveProbes = 3;

/// What a caller gets to read its last message.
constexpr duration kLinger = std::chrono::seconds(1);

void SetOptions(Poco::Net::StreamSocket& socket) {
  socket.setBlocking(false);
  socket.setNoDelay(true);
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

}  // namespace

stream_connection::stream_connection(event_loop& loop,
                                     const Poco::Net::StreamSocket& socket,
                                     duration stall, connection_user& user)
    : loop_(loop),
      socket_(socket),
      stall_(stall),
      user_(user),
      progress_(loop.Now()),
      self_(std::make_shared<stream_connection*>(this)) {
  SetOptions(socket_);
  loop_.Add(socket_, this, reading_, writing_);
}

stream_connection::~stream_connection() {
  if (open_) {
    loop_.Remove(socket_);
  }
}

void stream_connection::Register(bool reading, bool writing) {
  if (!open_ || (reading == reading_ && writing == writing_)) {
    return;
  }
  reading_ = reading;
  writing_ = writing;
  loop_.Update(socket_, reading_, writing_);
}

void stream_connection::SetReading(bool reading) {
  Register(reading && !closing_, writing_);
}

void stream_connection::Schedule() {
  if (Pending() > 0) {
    Register(reading_, true);
    WatchForStall();
  }
}

bool stream_connection::SendSome() {
  try {
    const auto length = static_cast<int>(std::min(Pending(), kLargestWrite));
    const int count =
        socket_.sendBytes(output_.data() + offset_, length, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    offset_ += static_cast<std::size_t>(count);
    sent_ += static_cast<std::uint64_t>(count);
    progress_ = loop_.Now();
    return true;
  } catch (const Poco::Exception& why) {
    // Poco reports a full buffer of a non-blocking socket as an exception too.
    if (why.code() != EAGAIN && why.code() != EWOULDBLOCK) {
      CloseFor(close_cause::kFailure);
    }
    return false;
  }
}

void stream_connection::Flush() {
  while (open_ && Pending() > 0 && SendSome()) {
  }
  if (!open_) {
    return;
  }
  if (Pending() == 0) {
    output_.clear();
    offset_ = 0;
    if (output_.capacity() > kKeptBufferBytes) {
      output_.shrink_to_fit();
    }
  } else if (offset_ >= kCompactBytes) {
    output_.erase(0, offset_);
    offset_ = 0;
  }
  Register(reading_, Pending() > 0);
  if (Pending() > 0) {
    WatchForStall();
    return;
  }
  stuck_ = false;
  if (closing_ && lingers_) {
    EndOutput();
  } else if (closing_) {
    Close();
  }
}

void stream_connection::EndOutput() {
  if (output_ended_) {
    return;
  }
  output_ended_ = true;
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    Close();
    return;
  }
  Register(true, false);
  CloseIn(kLinger);
}

void stream_connection::CloseIn(duration delay) {
  const std::weak_ptr<stream_connection*> weak = self_;
  loop_.After(delay, [weak] {
    if (const auto self = weak.lock()) {
      (*self)->Close();
    }
  });
}

bool stream_connection::TakeBack(std::uint64_t position) {
  assert(position <= Position() && "only what was appended can be taken back");
  if (sent_ > position) {
    return false;
  }
  output_.resize(offset_ + static_cast<std::size_t>(position - sent_));
  return true;
}

void stream_connection::CloseAfterFlush() {
  closing_ = true;
  SetReading(false);
  Flush();
}

void stream_connection::LingerAfterFlush() {
  lingers_ = true;
  CloseAfterFlush();
}

void stream_connection::Close() { CloseFor(close_cause::kInstance); }

void stream_connection::CloseFor(close_cause cause) {
  if (!open_) {
    return;
  }
  open_ = false;
  cause_ = cause;
  loop_.Remove(socket_);
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // The other side was faster; the socket is closed either way.
  }
  user_.OnGone();
}

void stream_connection::OnReadable() { ReadSome(); }

void stream_connection::ReadAvailable() {
  for (int i = 0; i < kReadsAtOnce && ReadSome(); ++i) {
  }
}

bool stream_connection::ReadSome() {
  if (!open_ || !reading_) {
    return false;
  }
  std::array<char, kReadBytes> bytes;
  int count = 0;
  try {
    count = socket_.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
  } catch (const Poco::Exception&) {
    CloseFor(close_cause::kFailure);
    return false;
  }
  may_have_more_ = count == static_cast<int>(bytes.size());
  if (count < 0) {
    return false;
  }
  if (count == 0) {
    CloseFor(close_cause::kCaller);
    return false;
  }
  if (!closing_) {
    user_.OnBytes(std::span(bytes).first(static_cast<std::size_t>(count)));
  }
  return true;
}

void stream_connection::OnWritable() {
  Flush();
  if (open_) {
    user_.OnRoom();
  }
}

void stream_connection::WatchForStall() {
  if (!stuck_) {
    stuck_ = true;
    progress_ = loop_.Now();
  }
  if (!stall_watched_) {
    CheckStallAfter(stall_);
  }
}

void stream_connection::CheckStallAfter(duration delay) {
  stall_watched_ = true;
  const std::weak_ptr<stream_connection*> weak = self_;
  loop_.After(delay, [weak] {
    if (const auto self = weak.lock()) {
      (*self)->CheckStall();
    }
  });
}

void stream_connection::CheckStall() {
  stall_watched_ = false;
  if (!open_ || Pending() == 0) {
    return;
  }
  const duration waited = loop_.Now() - progress_;
  if (waited >= stall_) {
    CloseFor(close_cause::kStall);
    return;
  }
  CheckStallAfter(stall_ - waited);
}

}  // namespace marjoramslip::shell
