// Graceful shutdown: requests and transactions in progress may finish, new ones
// are refused.

#ifndef MARJORAMSLIP_LIB_CORE_DRAINING_H_
#define MARJORAMSLIP_LIB_CORE_DRAINING_H_

#include "core_state.h"

namespace marjoramslip {

/// Starts the shutdown, unless it has been started before.
void OnDrainRequested(core_state& core, const drain_requested& request);

/// Closes callers that have finished. Completes the shutdown when all callers
/// are closed or its time limit is reached. Must be called at the end of each
/// step.
void ContinueDrain(core_state& core);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_DRAINING_H_
