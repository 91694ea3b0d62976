// Listens for callers and hands over their connections.

#ifndef MARJORAMSLIP_RUNTIME_CALLER_ACCEPTOR_H_
#define MARJORAMSLIP_RUNTIME_CALLER_ACCEPTOR_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>

#include "marjoramslip/base/result.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// Binds and listens at an address. kUnavailable if it cannot be had.
result<Poco::Net::ServerSocket> ListenForCallers(const listen_address& address);

/// Accepts a few connections at a time, and pauses where the machine has
/// nothing left for one more.
class caller_acceptor : private socket_handler {
 public:
  /// Keeps a copy of the connection, or lets it be closed for want of room.
  using taker = std::function<void(const Poco::Net::StreamSocket&)>;

  caller_acceptor(event_loop& loop, const Poco::Net::ServerSocket& socket,
                  taker take);
  ~caller_acceptor() override;
  caller_acceptor(const caller_acceptor&) = delete;
  caller_acceptor& operator=(const caller_acceptor&) = delete;

  /// Accepts the connections that wait to be accepted, then stops.
  void Finish();
  /// Accepts no more, and frees the address. To say so twice is no harm.
  void Stop();

 private:
  void OnReadable() override;
  void OnWritable() override {}
  void OnSocketError() override { Pause(); }

  /// False if none can be accepted now.
  bool AcceptOne();
  void Pause();

  event_loop& loop_;
  Poco::Net::ServerSocket socket_;
  taker take_;
  bool listening_ = true;
  std::shared_ptr<caller_acceptor*> self_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_CALLER_ACCEPTOR_H_
