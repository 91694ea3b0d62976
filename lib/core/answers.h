// Completes, retries or fails a request when its answer arrives or its
// connection is lost.

#ifndef MARJORAMSLIP_LIB_CORE_ANSWERS_H_
#define MARJORAMSLIP_LIB_CORE_ANSWERS_H_

#include "core_state.h"

namespace marjoramslip {

/// Handles an endpoint's answer to a statement. May end the request.
void OnStatementAnswered(core_state& core, const statement_answered& answer);

/// Handles the loss of the request's connection: retries or fails the request.
/// `sent` is false only if no byte of the statement was sent. `forwarded` is
/// false only if no part of the answer was passed on to the caller.
void OnRequestConnectionLost(core_state& core, request_state& request,
                             bool sent, bool forwarded);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ANSWERS_H_
