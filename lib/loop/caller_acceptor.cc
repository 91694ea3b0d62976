// Accepts callers in turn with everything else that the loop does.

#include "marjoramslip/runtime/caller_acceptor.h"

#include <Poco/Exception.h>

#include <cerrno>
#include <utility>

namespace marjoramslip::shell {
namespace {

/// Connections accepted before others get their turn.
constexpr int kAcceptsAtOnce = 16;
/// Connections that wait to be accepted: all callers of an instance that is
/// gone come back to the others at once.
constexpr int kBacklog = 1024;
/// Pause after a connection could not be accepted for want of resources.
constexpr duration kAcceptPause = std::chrono::milliseconds(100);

}  // namespace

result<Poco::Net::ServerSocket> ListenForCallers(
    const listen_address& address) {
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.host, address.port), true,
                false);
    socket.listen(kBacklog);
    socket.setBlocking(false);
    return socket;
  } catch (const Poco::Exception& why) {
    return Fail(error_kind::kUnavailable,
                "cannot listen at " + address.host + ":" +
                    std::to_string(address.port) + ": " + why.displayText());
  }
}

caller_acceptor::caller_acceptor(event_loop& loop,
                                 const Poco::Net::ServerSocket& socket,
                                 taker take)
    : loop_(loop),
      socket_(socket),
      take_(std::move(take)),
      self_(std::make_shared<caller_acceptor*>(this)) {
  loop_.Add(socket_, this, true, false);
}

caller_acceptor::~caller_acceptor() { Stop(); }

void caller_acceptor::Finish() {
  while (listening_ && AcceptOne()) {
  }
  Stop();
}

void caller_acceptor::Stop() {
  if (!listening_) {
    return;
  }
  listening_ = false;
  loop_.Remove(socket_);
  socket_.close();
}

void caller_acceptor::OnReadable() {
  for (int i = 0; i < kAcceptsAtOnce && listening_; ++i) {
    if (!AcceptOne()) {
      return;
    }
  }
}

bool caller_acceptor::AcceptOne() {
  try {
    // Closed as it goes out of scope unless it is taken.
    take_(socket_.acceptConnection());
    return true;
  } catch (const Poco::Exception& why) {
    if (why.code() == ECONNABORTED) {
      return true;  // That caller has left; others may wait.
    }
    if (why.code() != EAGAIN) {
      Pause();
    }
    return false;
  }
}

void caller_acceptor::Pause() {
  if (!listening_) {
    return;
  }
  loop_.Update(socket_, false, false);
  loop_.After(kAcceptPause, [weak = std::weak_ptr(self_)] {
    const auto self = weak.lock();
    if (self && (*self)->listening_) {
      (*self)->loop_.Update((*self)->socket_, true, false);
    }
  });
}

}  // namespace marjoramslip::shell
