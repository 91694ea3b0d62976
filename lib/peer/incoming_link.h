// One connection over which another instance sends messages.

#ifndef MARJORAMSLIP_LIB_PEER_INCOMING_LINK_H_
#define MARJORAMSLIP_LIB_PEER_INCOMING_LINK_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "marjoramslip/base/time.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/stream_connection.h"

namespace marjoramslip::peer {

class incoming_link;

/// Interval of incoming_link::Check.
inline constexpr duration kLinkCheckInterval = std::chrono::milliseconds(500);

/// Decides what a connection may hold.
class incoming_link_owner {
 public:
  virtual ~incoming_link_owner() = default;
  /// A sender of a longer message is disconnected.
  virtual std::size_t MaxMessageBytes() const = 0;
  /// If false, calls incoming_link::Continue later.
  virtual bool MayHandOver(incoming_link& link) = 0;
  virtual void HandOver(incoming_link& link, std::span<const char> bytes) = 0;
  /// Grants room for a message that has not arrived whole. If false, calls
  /// incoming_link::Continue later.
  virtual bool Grant(incoming_link& link, std::size_t bytes) = 0;
  virtual void EndGrant(std::size_t bytes) = 0;
  /// Other connections wait for a grant.
  virtual bool OthersWait() const = 0;
  /// The connection has ended; the link is destroyed later.
  virtual void OnEnded(incoming_link& link) = 0;
};

/// Reads messages and passes them on in order.
class incoming_link final : private shell::connection_user {
 public:
  incoming_link(incoming_link_owner& owner, std::uint64_t number,
                shell::event_loop& loop, const Poco::Net::StreamSocket& socket);
  incoming_link(const incoming_link&) = delete;
  incoming_link& operator=(const incoming_link&) = delete;

  std::uint64_t Number() const { return number_; }
  /// Goes on after the owner had refused.
  void Continue();
  /// Ends the connection if it is overdue. Called each kLinkCheckInterval:
  /// delays are counted in calls, so that time in which this process did not
  /// run does not count against the sender.
  void Check();

  /// Messages handed over whose handlers have not run.
  std::size_t unhandled = 0;

 private:
  // shell::connection_user.
  void OnBytes(std::span<const char> bytes) override;
  void OnRoom() override {}
  void OnGone() override;

  bool ReadGreeting();
  void ReadMessages();
  /// Takes the message whose length, not 0, begins at `offset`. Returns false
  /// if it is not whole, or may not be taken now.
  bool TakeMessage(std::size_t offset, std::size_t length);
  void EndGrant();
  void SendHeartbeat();
  bool IsOverdue() const;

  incoming_link_owner& owner_;
  std::uint64_t number_;
  std::string input_;
  bool greeted_ = false;
  bool waits_ = false;  ///< For the owner; nothing is read.
  std::size_t granted_bytes_ = 0;
  int silent_checks_ = 0;   ///< Since a byte arrived.
  int message_checks_ = 0;  ///< Since a message was taken, or none had begun.
  shell::stream_connection connection_;
};

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_LIB_PEER_INCOMING_LINK_H_
