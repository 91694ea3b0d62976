// The last check before an answer is released to its caller.

#ifndef MARJORAMSLIP_LIB_CORE_ANSWER_RELEASE_H_
#define MARJORAMSLIP_LIB_CORE_ANSWER_RELEASE_H_

#include "core_state.h"

namespace marjoramslip {

/// Releases an answer of the primary if the instance holds a permit and, where
/// the service asks for it, a replica has reached the answer's position.
/// Otherwise the request waits, or fails if the answer's term is over.
void AwaitRelease(core_state& core, request_state& request);

/// Releases waiting answers in the order of their positions up to the first
/// that has to keep waiting, and fails those that can no longer be released.
void ReleaseWaitingAnswers(core_state& core, group_state& group);

/// Releases a read or the start of a read-only transaction, or lets it wait for
/// a permit if it was sent to the primary without a floor. Fails it if the
/// answer is below its floor.
void ReleaseRead(core_state& core, request_state& request);

/// Fails a request whose wait for release has taken too long.
void OnReleaseTimeout(core_state& core, request_state& request);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ANSWER_RELEASE_H_
