// The connections over which other instances, or strangers, send messages.

#ifndef MARJORAMSLIP_LIB_PEER_INCOMING_LINKS_H_
#define MARJORAMSLIP_LIB_PEER_INCOMING_LINKS_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "incoming_link.h"
#include "marjoramslip/runtime/caller_acceptor.h"
#include "marjoramslip/runtime/event_loop.h"
#include "receipts.h"

namespace marjoramslip::peer {

/// Accepts connections and bounds what they hold together: descriptors, bytes
/// of messages that have not arrived whole, and bytes of messages whose
/// handlers have not run. Nobody authenticates, so that all are treated alike.
/// A connection that meets a bound of bytes waits unread for its turn; it is
/// closed only if it is silent or slow while others wait.
class incoming_links final : private incoming_link_owner {
 public:
  /// Takes a message that is safe to decode; `on_handled` must be called once,
  /// on any thread, when its handler has run.
  using taker = std::function<void(std::span<const char> bytes,
                                   std::function<void()> on_handled)>;

  incoming_links(shell::event_loop& loop, const Poco::Net::ServerSocket& socket,
                 std::size_t max_message_bytes, taker take);
  ~incoming_links() override;
  incoming_links(const incoming_links&) = delete;
  incoming_links& operator=(const incoming_links&) = delete;

 private:
  // incoming_link_owner.
  std::size_t MaxMessageBytes() const override { return max_message_bytes_; }
  bool MayHandOver(incoming_link& link) override;
  void HandOver(incoming_link& link, std::span<const char> bytes) override;
  bool Grant(incoming_link& link, std::size_t bytes) override;
  void EndGrant(std::size_t bytes) override;
  bool OthersWait() const override { return !grant_waiters_.empty(); }
  void OnEnded(incoming_link& link) override;

  void Accept(const Poco::Net::StreamSocket& socket);
  void Supervise();
  void ApplyReceipts();
  /// Goes on with connections that waited for handlers.
  void CollectReceipts();
  /// Has ServeGrantWaiters called if a connection waits.
  void ScheduleGrants();
  /// Goes on with connections that waited for room, in the order of asking.
  void ServeGrantWaiters();

  shell::event_loop& loop_;
  std::size_t max_message_bytes_;
  std::size_t grant_limit_;
  taker take_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, std::unique_ptr<incoming_link>> links_;
  /// Ended connections that may still be on the call stack; destroyed in a
  /// later turn of the loop.
  std::vector<std::unique_ptr<incoming_link>> ended_links_;
  bool supervising_ = false;

  std::size_t granted_bytes_ = 0;
  std::deque<std::uint64_t> grant_waiters_;
  bool serving_waiters_ = false;

  std::size_t unhandled_bytes_ = 0;  ///< By their decoding cost.
  std::deque<std::uint64_t> handler_waiters_;
  bool trim_due_ = false;
  std::shared_ptr<receipts> receipts_;
  shell::caller_acceptor acceptor_;
};

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_LIB_PEER_INCOMING_LINKS_H_
