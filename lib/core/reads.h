// Resolves the floors of reads and routes reads to endpoints.

#ifndef MARJORAMSLIP_LIB_CORE_READS_H_
#define MARJORAMSLIP_LIB_CORE_READS_H_

#include "core_state.h"

namespace marjoramslip {

/// Resolves the floor of a read and routes the read. May end the request.
void AdvanceRead(core_state& core, request_state& request);

/// Returns true if `endpoint` serves reads in the current term and has reached
/// the floor of the request, or is expected to have reached it.
bool MayServe(core_state& core, const group_state& group,
              const request_state& request, endpoint_id endpoint);

/// Describes `endpoint` as a routing candidate for the read. The endpoint must
/// have a pool.
read_candidate MakeCandidate(core_state& core, const group_state& group,
                             const request_state& request,
                             endpoint_id endpoint);

/// Returns true if requests may be queued at the endpoint. An endpoint that is
/// leaving accepts them only during a grace period.
bool AcceptsRequests(core_state& core, endpoint_id endpoint);

/// Returns true if the log of the open term contains the known floor of the
/// session. Otherwise the request has failed because a write was lost, or it
/// waits for a newer group record or a sample of the primary's position.
bool ValidateKnownFloor(core_state& core, request_state& request);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_READS_H_
