// Connections to other instances. Not thread-safe.

#ifndef MARJORAMSLIP_PEER_LINK_TABLE_H_
#define MARJORAMSLIP_PEER_LINK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/peer/peer_codec.h"
#include "marjoramslip/runtime/event_loop.h"
#include "mesh.h"
#include "outgoing_link.h"

namespace marjoramslip::peer {

/// Maintains the planned connections, and a limited number of unplanned ones to
/// members that were sent a message.
class link_table {
 public:
  /// `loop` must outlive the table.
  link_table(shell::event_loop& loop, instance_id self,
             std::size_t full_mesh_limit);

  /// Connects to the members selected by PlanLinks and closes all other
  /// connections.
  void SetMembers(std::span<const member> members);

  /// Connects to the sender of a message if the member list does not contain it
  /// yet.
  void ConnectToSender(instance_id from, const std::string& address);

  /// Sends to one member; connects to it first if necessary.
  void SendTo(instance_id to, const envelope& message);
  /// Sends to all members, through relays where the plan has them.
  void SendToAll(const envelope& message);
  /// Forwards a message to all members of this instance's failure domain except
  /// its sender.
  void RelayToDomain(const envelope& message);

 private:
  struct peer_link {
    std::string address;
    planned_link plan;
    std::unique_ptr<outgoing_link> connection;
  };
  /// A connection that is not part of the plan.
  struct unplanned_link {
    std::string address;
    std::uint64_t last_use = 0;  ///< The value of use_count_ at the last use.
    std::unique_ptr<outgoing_link> connection;
  };

  /// Sends to all members, in each other failure domain through the next two of
  /// its members in turn: the planned relays may be behind a partition.
  void SendThroughRotatingRelays(const envelope& message);
  /// Sends to the next kRevisionFanOut connections of the rotation.
  void SendToNextFew(const envelope& message);
  void SendBytesTo(instance_id to, const shared_bytes& bytes);
  /// Returns nullptr if `to` is not a member or cannot be connected.
  unplanned_link* FindOrConnectUnplanned(instance_id to);
  /// Returns null if `address` is malformed.
  std::unique_ptr<outgoing_link> Connect(const std::string& address,
                                         outgoing_link_options options);

  shell::event_loop& loop_;
  instance_id self_;
  std::size_t full_mesh_limit_;
  /// True if the members exceed full_mesh_limit_, so not all are connected.
  bool sparse_ = false;
  std::map<instance_id, std::string> addresses_;
  /// The members of the other failure domains, and how many relays were chosen.
  std::map<std::string, std::vector<instance_id>> remote_domains_;
  std::size_t relay_rotation_ = 0;
  queue_account queued_;  // Outlives the connections.
  std::map<instance_id, peer_link> links_;
  std::map<instance_id, unplanned_link> unplanned_links_;
  std::uint64_t use_count_ = 0;
  /// The connections in the order in which SendToNextFew uses them; the order
  /// differs between instances.
  std::vector<instance_id> rotation_;
  std::size_t rotation_index_ = 0;
};

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_PEER_LINK_TABLE_H_
