// Sends requests to the carriers of their groups, and handles their answers.

#ifndef MARJORAMSLIP_LIB_CORE_FORWARDING_H_
#define MARJORAMSLIP_LIB_CORE_FORWARDING_H_

#include "core_state.h"

namespace marjoramslip {

/// Chooses the carriers of all groups by the present members and catalogue.
/// Called before shares are updated.
void UpdateCarriers(core_state& core);

/// Routes the waiting requests of groups whose carriers have changed. Called
/// after shares have been updated.
void RerouteAfterCarrierChange(core_state& core);

/// Returns how many of an endpoint's `connections` this instance may hold.
std::uint32_t ShareOfGroup(const core_state& core, const group_state& group,
                           std::uint32_t connections);

/// Returns true if statements of the group belong to other instances.
bool IsCarriedElsewhere(const core_state& core, const group_state& group);

/// Returns true if the caller has an open transaction, here or at a carrier.
bool IsInTransaction(const caller_state& caller);

/// Forwards the request, or fails it, if its group is carried elsewhere.
/// Returns false if it is to be handled here.
bool ForwardIfCarriedElsewhere(core_state& core, request_state& request);

/// Forwards a request to the carrier of its caller's open transaction.
void ForwardInTransaction(core_state& core, request_state& request);

/// Withdraws a forwarded request from its carrier.
void WithdrawForwarded(core_state& core, const request_state& request);

/// Ends the caller's transaction at its carrier, if it has one.
void UnpinCarrier(core_state& core, caller_state& caller, bool notify_carrier);

/// Called when the time for a forwarded request is over.
void OnForwardTimeout(core_state& core, request_state& request);

void OnForwardAnswered(core_state& core, const forward_answered& answer);
void OnForwardFailed(core_state& core, const forward_failed& report);
void OnCarrierSilent(core_state& core, const carrier_silent& report);
void OnCarrierLinkLost(core_state& core, const carrier_link_lost& report);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_FORWARDING_H_
