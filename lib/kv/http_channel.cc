// Pools connections, tries addresses in turn and limits the time of each call.

#include "marjoramslip/kv/http_channel.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <istream>
#include <ostream>
#include <utility>

#include "marjoramslip/base/clock.h"

namespace marjoramslip::kv {
namespace {

constexpr duration kMaxIdleTime = std::chrono::seconds(4);
constexpr std::size_t kMaxIdleSessions = 8;
constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr std::size_t kReadBufferBytes = 16U << 10U;
constexpr duration kMinIoTimeout = std::chrono::milliseconds(1);

Poco::Timespan ToTimespan(duration value) {
  return {static_cast<Poco::Timespan::TimeDiff>(value.count())};
}

duration RemainingUntil(std::chrono::steady_clock::time_point end) {
  return std::chrono::duration_cast<duration>(end -
                                              std::chrono::steady_clock::now());
}

}  // namespace

http_session::http_session(const http_address& address)
    : HTTPClientSession(address.host, address.port) {
  setKeepAlive(true);
  // IsStale is checked before each use, so sending must not reconnect.
  setKeepAliveTimeout(Poco::Timespan(Poco::Timespan::DAYS));
}

http_session::~http_session() {
  try {
    // The base class would send what is left past the write of this class.
    flushRequest();
  } catch (const Poco::Exception&) {
    // The request was not sent completely, which Send has reported.
  }
}

void http_session::Connect(duration timeout) {
  if (connected()) {
    return;
  }
  SetIoTimeout(timeout);
  reconnect();
  // A request that was given up must not be delivered later, as a partition
  // would when it heals: closing discards what the connection still holds.
  socket().setLinger(true, 0);
}

bool http_session::IsStale() {
  // What was read behind the last response is as unsolicited as what has not
  // been read yet.
  return !connected() || buffered() > 0 ||
         socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

void http_session::Send(const http_request& message) {
  Poco::Net::HTTPRequest request(message.method, message.path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  if (!message.body.empty()) {
    request.setContentType("application/json");
  }
  if (!message.body.empty() || message.method != "GET") {
    request.setContentLength(static_cast<std::streamsize>(message.body.size()));
  }
  for (const auto& [name, value] : message.headers) {
    request.set(name, value);
  }
  std::ostream& out = sendRequest(request);
  out << message.body << std::flush;
  if (!out) {
    throw Poco::IOException("request could not be sent completely");
  }
}

void http_session::SetIoTimeout(duration timeout) {
  const Poco::Timespan span = ToTimespan(std::max(timeout, kMinIoTimeout));
  setTimeout(span, span, span);
  if (connected()) {
    socket().setReceiveTimeout(span);
    socket().setSendTimeout(span);
  }
}

int http_session::write(const char* buffer, std::streamsize length) {
  // HTTPClientSession's would connect again.
  // NOLINTNEXTLINE(bugprone-parent-virtual-call)
  return HTTPSession::write(buffer, length);
}

/// Registers a session as active during its own lifetime, for Interrupt.
class http_channel::active_session_guard {
 public:
  active_session_guard(http_channel& channel, http_session& session)
      : channel_(channel), session_(session) {
    const std::lock_guard lock(channel_.mutex_);
    channel_.active_sessions_.insert(&session_);
  }
  ~active_session_guard() {
    const std::lock_guard lock(channel_.mutex_);
    channel_.active_sessions_.erase(&session_);
  }
  active_session_guard(const active_session_guard&) = delete;
  active_session_guard& operator=(const active_session_guard&) = delete;

 private:
  http_channel& channel_;
  http_session& session_;
};

http_channel::http_channel(std::vector<http_address> addresses,
                           duration deadline)
    : addresses_(std::move(addresses)), deadline_(deadline) {
  assert(!addresses_.empty() && "a channel needs at least one address");
}

http_channel::pooled_session http_channel::AcquireSession() {
  const auto now = clock::now();
  const std::size_t address = preferred_ % addresses_.size();
  {
    const std::lock_guard lock(mutex_);
    while (!idle_sessions_.empty()) {
      pooled_session session = std::move(idle_sessions_.back());
      idle_sessions_.pop_back();
      const bool reusable =
          session.address == address && now - session.last_used < kMaxIdleTime;
      if (reusable && !session.connection->IsStale()) {
        return session;
      }
    }
  }
  return {std::make_unique<http_session>(addresses_[address]), address, now};
}

void http_channel::ReleaseSession(pooled_session session) {
  session.last_used = clock::now();
  const std::lock_guard lock(mutex_);
  if (idle_sessions_.size() < kMaxIdleSessions) {
    idle_sessions_.push_back(std::move(session));
  }
}

void http_channel::SwitchAddress(std::size_t failed) {
  std::size_t expected = preferred_;
  if (expected % addresses_.size() == failed) {
    preferred_.compare_exchange_strong(expected, expected + 1);
  }
}

http_reply http_channel::Exchange(http_session& session,
                                  const http_request& request,
                                  clock::time_point end) {
  session.SetIoTimeout(RemainingUntil(end));
  session.Send(request);
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  http_reply reply{response.getStatus(), {}, {}};
  std::array<char, kReadBufferBytes> buffer{};
  while (in) {
    if (RemainingUntil(end) <= duration::zero()) {
      throw Poco::TimeoutException(
          "deadline exceeded while receiving the answer");
    }
    session.SetIoTimeout(RemainingUntil(end));
    in.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    reply.body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    if (reply.body.size() > kMaxBodyBytes) {
      throw Poco::DataException("answer exceeds the size limit");
    }
  }
  if (in.bad()) {
    throw Poco::IOException("connection lost while receiving the answer");
  }
  reply.headers.swap(response);
  return reply;
}

void http_channel::Interrupt() {
  const std::lock_guard lock(mutex_);
  ++interrupts_;
  for (http_session* const session : active_sessions_) {
    try {
      session->socket().shutdown();
    } catch (const Poco::Exception&) {
      // The session is not connected, so there is nothing to abort.
      continue;
    }
  }
}

result<http_reply> http_channel::Call(const http_request& request,
                                      request_effect effect) {
  return Call(request, effect, deadline_);
}

result<http_reply> http_channel::Call(const http_request& request,
                                      request_effect effect,
                                      duration deadline) {
  const auto end = clock::now() + deadline;
  const std::uint64_t interrupts = interrupts_;
  std::string failure = "no address answered before the deadline";
  // One more attempt than addresses, for a pooled connection that was closed.
  for (std::size_t attempts = addresses_.size() + 1; attempts > 0; --attempts) {
    if (RemainingUntil(end) <= duration::zero() || interrupts_ != interrupts) {
      break;
    }
    std::size_t address = preferred_ % addresses_.size();
    bool may_have_sent = false;
    try {
      pooled_session session = AcquireSession();
      address = session.address;
      session.connection->Connect(RemainingUntil(end) /
                                  static_cast<int>(attempts));
      if (BootTime() > request.send_until) {
        return Fail(error_kind::kUnavailable, "it was not sent in time");
      }
      may_have_sent = true;
      http_reply reply = [&] {
        const active_session_guard guard(*this, *session.connection);
        return Exchange(*session.connection, request, end);
      }();
      ReleaseSession(std::move(session));
      return reply;
    } catch (const Poco::Exception& caught) {
      failure = caught.displayText();
    } catch (const std::exception& caught) {
      failure = caught.what();
    }
    SwitchAddress(address);
    if (may_have_sent && effect == request_effect::kWrites) {
      return Fail(error_kind::kUnknown, failure);
    }
  }
  return Fail(error_kind::kUnavailable, failure);
}

}  // namespace marjoramslip::kv
