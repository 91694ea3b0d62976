// Handles the events of callers and starts their requests.

#ifndef MARJORAMSLIP_LIB_CORE_CALLERS_H_
#define MARJORAMSLIP_LIB_CORE_CALLERS_H_

#include "core_state.h"

namespace marjoramslip {

void OnCallerOpened(core_state& core, const caller_opened& opened);
void OnStatementReceived(core_state& core, const statement_received& statement);
void OnCancelReceived(core_state& core, const cancel_received& cancel);
void OnLossAcknowledged(core_state& core,
                        const loss_acknowledged& acknowledgement);
void OnCallerClosed(core_state& core, const caller_closed& closed);

/// Starts the request of a statement that has been held since `arrived`.
void ResumeHeldStatement(core_state& core, const statement_received& statement,
                         instant arrived);

/// Fails a statement that has been held.
void RefuseHeldStatement(core_state& core, const statement_received& statement,
                         failure reason);

/// Makes the caller ready for its next statement after a request has ended.
void OnRequestEnded(core_state& core, caller_id id);

/// Closes a caller that has no request in progress and erases its state.
void CloseCaller(core_state& core, caller_id id, failure reason);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_CALLERS_H_
