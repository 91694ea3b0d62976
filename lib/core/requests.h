// Moves requests between stages, sets their timers and ends them.

#ifndef MARJORAMSLIP_LIB_CORE_REQUESTS_H_
#define MARJORAMSLIP_LIB_CORE_REQUESTS_H_

#include <string>

#include "core_state.h"

namespace marjoramslip {

/// Removes the request from the wait list of its present stage, adds it to that
/// of `stage` and sets its timer. The caller sets the fields that `stage` uses
/// beforehand.
void MoveTo(core_state& core, request_state& request, request_stage stage);

/// Routes a request that has not been sent. Afterwards it waits, is queued for
/// a connection, is sent or has ended.
void Advance(core_state& core, request_state& request);

/// Routes a request again after a backoff. Its statement must provably have had
/// no effect or be safe to repeat. Fails the request with `final_failure` if
/// its deadline has passed or the group's retry budget is exhausted.
void Retry(core_state& core, request_state& request,
           const failure& final_failure);

/// Ends the request with an error. A verdict of "not run" becomes "may have
/// run" if an earlier attempt may have taken effect.
void FailRequest(core_state& core, request_state& request, failure reason);

/// Ends the request with its answer. `floor` becomes the floor of its session.
void ReleaseRequest(core_state& core, request_state& request, log_point floor,
                    bool succeeded);

/// Ends a request whose caller has closed its connection.
void DropRequest(core_state& core, request_state& request);

/// Restarts the progress timeout of a request that has been sent.
void OnStatementProgressed(core_state& core,
                           const statement_progressed& progress);

/// Handles the due timer of a request. May end the request.
void OnRequestTimer(core_state& core, request_id id);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_REQUESTS_H_
