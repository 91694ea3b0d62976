// Group-level events of the reducer: applies updates to a group's terms and
// resumes the requests that waited for them.

#ifndef MARJORAMSLIP_LIB_CORE_GROUPS_H_
#define MARJORAMSLIP_LIB_CORE_GROUPS_H_

#include "core_state.h"

namespace marjoramslip {

/// Marks the group as used and starts its timer, which runs until the group has
/// been idle for some time.
void WakeGroup(core_state& core, group_state& group);

/// Applies the state that an endpoint reported in answer to something sent at
/// `sent_at`.
void ObserveState(core_state& core, endpoint_id endpoint, instant sent_at,
                  const endpoint_state& state);

void OnProbeAnswered(core_state& core, const probe_answered& answer);
void OnProbeFailed(core_state& core, const probe_failed& report);
void OnEndpointMoved(core_state& core, const endpoint_moved& result);
void OnEndpointPromoted(core_state& core, const endpoint_promoted& result);
void OnPromotionAnswered(core_state& core, const promotion_answered& answer);
void OnRecordSeen(core_state& core, group_id id,
                  const versioned_record& record);
void OnRecordWritten(core_state& core, const record_written& result);
void OnPromoteRequested(core_state& core, const promote_requested& request);

/// Releases, routes and resumes requests after the step's changes to a group.
/// Call at the end of a step for every group that it changed.
void ProcessGroupChanges(core_state& core, group_state& group);

/// Advances the group's terms, or removes the group if it is withdrawn and
/// unused. Sets the next timer while the group needs one.
void OnGroupTimer(core_state& core, group_id id);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_GROUPS_H_
