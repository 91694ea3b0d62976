// Keeps this instance's serving lease and answers those of its peers.

#ifndef MARJORAMSLIP_LIB_CORE_SERVING_H_
#define MARJORAMSLIP_LIB_CORE_SERVING_H_

#include "core_state.h"

namespace marjoramslip {

void OnMembershipRenewed(core_state& core, const membership_renewed& renewal);
void OnRecordsRead(core_state& core, const records_read& read);
void OnServingStatus(core_state& core, instance_id from,
                     const serving_status& status);

/// Asks peers for confirmations while the store does not renew the lease. Call
/// at each tick.
void MaintainServingLease(core_state& core);

/// Asks all other instances for their status.
void AskAllPeers(core_state& core);

/// Returns whether this instance may use the group's primary at present.
serving_phase ServingPhase(const core_state& core, const group_state& group);

/// Lets a request for the primary wait for the lease, or refuses it. Returns
/// false if the primary may be used.
bool HoldOrRefuseWithoutLease(core_state& core, request_state& request);

/// Refuses a request that the instance cannot serve without the lease.
void RefuseWithoutLease(core_state& core, request_state& request);

/// Applies the present end of the lease to all groups. Call when the list of
/// members or the set of groups has changed.
void UpdateServingLease(core_state& core);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_SERVING_H_
