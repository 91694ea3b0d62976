// One connection over which this instance sends messages to another.

#ifndef MARJORAMSLIP_LIB_PEER_OUTGOING_LINK_H_
#define MARJORAMSLIP_LIB_PEER_OUTGOING_LINK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>

#include "marjoramslip/base/time.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/stream_connection.h"

namespace marjoramslip::peer {

/// An encoded message; a broadcast is queued for several instances at once.
using shared_bytes = std::shared_ptr<const std::string>;

/// What all outgoing connections have queued.
struct queue_account {
  std::size_t limit = 0;  ///< In bytes.
  std::size_t bytes = 0;
};

struct outgoing_link_options {
  /// Messages wait while there is no connection; otherwise they are dropped.
  bool queues_while_unconnected = false;
  /// A queue always takes one message.
  std::size_t max_queued_bytes = 0;
  duration heartbeat_interval{};
  /// The connection is ended if a heartbeat is not answered by then.
  duration heartbeat_timeout{};
};

/// Connects, and connects again whenever the connection has ended. A message
/// that cannot be queued is dropped, and so is one whose connection ends while
/// it is being sent.
class outgoing_link final : private shell::connection_user {
 public:
  /// `address` is "host:port". `account` must outlive the link.
  outgoing_link(shell::event_loop& loop, std::string address,
                const outgoing_link_options& options, queue_account& account);
  ~outgoing_link() override;
  outgoing_link(const outgoing_link&) = delete;
  outgoing_link& operator=(const outgoing_link&) = delete;

  void Send(const shared_bytes& message);

 private:
  // shell::connection_user.
  void OnBytes(std::span<const char> bytes) override;
  void OnRoom() override;
  void OnGone() override;

  void Connect();
  void ConnectLater();
  void EndUnlessConnected();
  void EndUnlessReady();
  void CheckHeartbeat();
  /// Hands queued messages to the connection.
  void Pump();
  void Drop();
  /// Calls `check` after `delay` if the connection is then still this one.
  void CallAfter(duration delay, void (outgoing_link::*check)());

  shell::event_loop& loop_;
  std::string address_;
  outgoing_link_options options_;
  queue_account& account_;
  std::unique_ptr<shell::stream_connection> connection_;
  std::uint64_t attempt_ = 0;  ///< Number of connections begun.
  duration retry_delay_;
  std::string greeting_;  ///< What the other instance has sent of it.
  bool connected_ = false;
  bool ready_ = false;  ///< The greeting has arrived.
  /// A heartbeat was sent, and nothing has arrived since.
  bool heartbeat_unanswered_ = false;
  instant heartbeat_at_{};
  std::deque<shared_bytes> queue_;
  std::size_t queued_bytes_ = 0;
  std::shared_ptr<outgoing_link*> self_;
};

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_LIB_PEER_OUTGOING_LINK_H_
