// Routes writes, pins the connections of transactions and computes the floor
// that a session carries after a statement.

#ifndef MARJORAMSLIP_LIB_CORE_WRITES_H_
#define MARJORAMSLIP_LIB_CORE_WRITES_H_

#include "core_state.h"

namespace marjoramslip {

/// Queues a request that must run on the primary for a connection to it, or
/// lets the request wait until a primary accepts writes. May end the request.
void AdvanceWrite(core_state& core, request_state& request);

/// Returns true if `endpoint` is the group's primary and may be sent a write
/// now.
bool MayWriteTo(core_state& core, const group_state& group,
                endpoint_id endpoint);

/// Raises the floor of the request's session to the write that the request
/// acknowledges. Returns the raised floor.
log_point RaiseFloor(core_state& core, const request_state& request);

/// Returns the floor that the session carries after a statement without
/// effects.
log_point CurrentSessionFloor(core_state& core, const request_state& request);

/// Reserves the connection for a transaction that the caller has begun on it.
void PinConnection(core_state& core, caller_state& caller,
                   connection_state& connection);

/// Releases the connection that is pinned for the caller's transaction, if any.
void UnpinConnection(core_state& core, caller_state& caller);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_WRITES_H_
