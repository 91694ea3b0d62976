// Selects the members that an instance connects to.

#ifndef MARJORAMSLIP_PEER_MESH_H_
#define MARJORAMSLIP_PEER_MESH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/core/events.h"

namespace marjoramslip::peer {

/// Number of relays that an instance connects to in each other failure domain.
inline constexpr std::size_t kRelaysPerDomain = 2;

/// Returns the rendezvous hash of a pair of instances: a deterministic order of
/// members that differs for each `self`.
std::uint64_t RendezvousWeight(instance_id self, instance_id other);

/// Properties of a connection that an instance maintains.
struct planned_link {
  /// The peer is in the instance's own failure domain.
  bool same_domain = false;
  /// The peer relays broadcast messages to its own failure domain.
  bool relay = false;

  bool operator==(const planned_link&) const = default;
};

/// Returns the connections that `self` maintains, independent of the order of
/// `members`. Up to `full_mesh_limit` members, it connects to all, without
/// relays. Beyond that, it connects to all members of its failure domain and to
/// `kRelaysPerDomain` relays in each other domain. Rendezvous hashing selects
/// the relays, so that a membership change affects few connections.
std::map<instance_id, planned_link> PlanLinks(instance_id self,
                                              std::span<const member> members,
                                              std::size_t full_mesh_limit);

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_PEER_MESH_H_
