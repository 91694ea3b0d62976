// Moves reads that wait in one endpoint's queue to another endpoint of the
// group. When a replica starts or has caught up, earlier reads are still queued
// at the primary; without this they would stay there.

#ifndef MARJORAMSLIP_LIB_CORE_READ_TAKEOVER_H_
#define MARJORAMSLIP_LIB_CORE_READ_TAKEOVER_H_

#include "core_state.h"

namespace marjoramslip {

/// Moves queued reads of the group's other endpoints to the pool's idle
/// connections, as long as that is expected to serve them sooner.
void TakeOverReads(core_state& core, endpoint_pool& pool);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_READ_TAKEOVER_H_
