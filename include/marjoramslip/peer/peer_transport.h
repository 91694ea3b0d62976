// Messaging between instances over TCP, on a dedicated thread.

#ifndef MARJORAMSLIP_PEER_PEER_TRANSPORT_H_
#define MARJORAMSLIP_PEER_PEER_TRANSPORT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/result.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/core/peer_messages.h"

namespace marjoramslip::peer {

/// Runs the handler of a received message, on any thread. Handlers of one
/// sender must run in the order in which they were given.
using handler_runner = std::function<void(std::function<void()> handler)>;

/// Limits on the connections between instances.
struct mesh_options {
  /// Up to this many members form a full mesh. Beyond that, an instance
  /// connects to all members of its own failure domain and to a few in each
  /// other domain, which relay broadcast messages.
  std::size_t full_mesh_limit = 64;
  /// A sender of a longer message is disconnected.
  std::uint32_t max_message_bytes = 64U << 20U;
  /// If empty, handlers run on the transport's thread. No more is read from a
  /// sender while 8 of its messages wait for their handlers.
  handler_runner run_handler = {};
};

/// Sends and receives messages, which may be lost, delayed, duplicated or
/// reordered. Safe for use by several threads.
class peer_transport {
 public:
  virtual ~peer_transport() = default;

  /// Connects to the members other than `self`, or to a subset of them above
  /// `full_mesh_limit`; closes all other connections.
  virtual void SetMembers(const std::vector<member>& members) = 0;

  /// Sends to one instance, or broadcasts if `to` is 0. Never blocks; messages
  /// to a peer that does not keep up are dropped. Above `full_mesh_limit`, a
  /// broadcast of revision_news goes to a few members, chosen in rotation.
  virtual void Send(instance_id to, const peer_message& message) = 0;

  /// Returns the address that other instances connect to, "tcp://host:port".
  virtual std::string Address() const = 0;
};

/// Binds to host:port (port 0: any free port) and starts the thread, which
/// calls `on_message`. Fails with kUnavailable if the address cannot be bound.
result<std::unique_ptr<peer_transport>> MakePeerTransport(
    const std::string& host, std::uint16_t port, instance_id self,
    std::function<void(instance_id, peer_message)> on_message,
    const mesh_options& options = {});

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_PEER_PEER_TRANSPORT_H_
