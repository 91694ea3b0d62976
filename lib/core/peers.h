// Handling of messages between instances, the member list and the duty.

#ifndef MARJORAMSLIP_LIB_CORE_PEERS_H_
#define MARJORAMSLIP_LIB_CORE_PEERS_H_

#include "core_state.h"

namespace marjoramslip {

void OnPeerReceived(core_state& core, const peer_received& received);
void OnDutySeen(core_state& core, const duty_seen& duty);
void OnMembershipEnded(core_state& core, const membership_ended& ended);

/// Updates the list of instances that may act on each group's record.
void UpdateGroupPeers(core_state& core);

void OnMembersSeen(core_state& core, const members_seen& seen);

/// Announces the catalogue revision to all peers and emits the counts of
/// invariant checks, at most once a second.
void Gossip(core_state& core);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_PEERS_H_
