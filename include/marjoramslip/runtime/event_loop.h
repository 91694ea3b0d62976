// The loop of an instance: sockets, timers and the core's events, on one
// thread.

#ifndef MARJORAMSLIP_RUNTIME_EVENT_LOOP_H_
#define MARJORAMSLIP_RUNTIME_EVENT_LOOP_H_

#include <Poco/Net/Socket.h>

#include <functional>

#include "marjoramslip/base/time.h"
#include "marjoramslip/core/events.h"

namespace marjoramslip::shell {

/// Is told of a socket's readiness.
class socket_handler {
 public:
  virtual ~socket_handler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
  /// The socket has failed or the other side is gone.
  virtual void OnSocketError() = 0;
};

/// Where the parts of the shell put what has happened. Events are applied in
/// the order in which they were posted, never from within a handler.
class event_sink {
 public:
  virtual ~event_sink() = default;

  /// On the loop's thread only.
  virtual void Post(event what) = 0;
};

/// Registers sockets and timers. On the loop's thread only, but for
/// PostFromThread.
class event_loop : public event_sink {
 public:
  /// Watches `socket` for reading, and for writing if `writable`. The handler
  /// must outlive the registration.
  virtual void Add(const Poco::Net::Socket& socket, socket_handler* handler,
                   bool readable, bool writable) = 0;
  virtual void Update(const Poco::Net::Socket& socket, bool readable,
                      bool writable) = 0;
  /// After this the handler is not called again.
  virtual void Remove(const Poco::Net::Socket& socket) = 0;

  /// Calls `task` once, `delay` from now.
  virtual void After(duration delay, std::function<void()> task) = 0;

  /// Calls `task` on the loop's thread; callable from any thread.
  virtual void PostFromThread(std::function<void()> task) = 0;

  virtual instant Now() const = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_EVENT_LOOP_H_
