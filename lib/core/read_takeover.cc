// Moves queued reads one at a time while the pool has idle connections.

#include "read_takeover.h"

#include "connections.h"
#include "reads.h"

namespace marjoramslip {
namespace {

/// Returns a read at the head of another endpoint's queue that this pool is
/// expected to serve sooner; null if there is none.
request_state* FindReadToMove(core_state& core, const group_state& group,
                              const endpoint_pool& pool) {
  for (const endpoint_id id : group.pool_ids) {
    endpoint_pool& source = *core.Pool(id);
    const auto first = source.Waiting().NextRead();
    if (id == pool.Id() || !first.has_value()) {
      continue;
    }
    request_state& request = *core.Request(*first);
    const bool sooner = CostOf(MakeCandidate(core, group, request, pool.Id())) <
                        CostOf(MakeCandidate(core, group, request, id));
    // Only the head is tried: later reads of the queue need the same or more.
    // A connection of another account would have to be replaced first.
    if (sooner && pool.HasIdle(request.account) &&
        MayServe(core, group, request, pool.Id())) {
      return &request;
    }
  }
  return nullptr;
}

}  // namespace

void TakeOverReads(core_state& core, endpoint_pool& pool) {
  const endpoint_id endpoint = pool.Id();
  const group_id id = pool.Group();
  while (true) {
    const endpoint_pool* const target = core.Pool(endpoint);
    const group_state* const group = core.Group(id);
    if (target == nullptr || group == nullptr || target->Idle().empty() ||
        target->Waiting().Count() > 0 || !AcceptsRequests(core, endpoint)) {
      return;
    }
    request_state* const request = FindReadToMove(core, *group, *target);
    if (request == nullptr) {
      return;
    }
    core.Count(counter::kReadsTakenOver, id);
    Enqueue(core, *request, endpoint);
  }
}

}  // namespace marjoramslip
