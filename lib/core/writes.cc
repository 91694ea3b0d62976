// Implements the routing of writes, session floors and pinned connections.

#include "writes.h"

#include "connections.h"
#include "reads.h"
#include "requests.h"
#include "serving.h"

namespace marjoramslip {

bool MayWriteTo(core_state& core, const group_state& group,
                endpoint_id endpoint) {
  return group.terms.AcceptsWrites() && group.terms.Primary() == endpoint &&
         ServingPhase(core, group) == serving_phase::kServing &&
         AcceptsRequests(core, endpoint);
}

void AdvanceWrite(core_state& core, request_state& request) {
  if (HoldOrRefuseWithoutLease(core, request)) {
    return;
  }
  const group_state& group = *core.Group(request.group);
  const endpoint_id primary = group.terms.Primary();
  if (!MayWriteTo(core, group, primary)) {
    MoveTo(core, request, request_stage::kAwaitingTerm);
    return;
  }
  // The next statement of a session reports its lost write, whether it is a
  // read or a write.
  if (!ValidateKnownFloor(core, request)) {
    return;
  }
  Enqueue(core, request, primary);
}

log_point RaiseFloor(core_state& core, const request_state& request) {
  const group_state& group = *core.Group(request.group);
  const bool has_named_session = !request.settings.session.empty();
  caller_state* const caller = core.Caller(request.caller);
  if (!has_named_session && caller->own_floor_group != request.group) {
    caller->own_floor = {};
    caller->own_floor_group = request.group;
  }
  session_floor& session =
      has_named_session
          ? core.sessions.FindOrCreate(request.settings.session, request.group)
          : caller->own_floor;
  session.last_write_point =
      group.terms.Later(session.last_write_point, request.answer_point);
  session.base = group.terms.Later(session.base, request.answer_point);
  session.sampled = true;
  session.last_write_at = core.now;
  return group.terms.Later(session.last_write_point,
                           request.settings.token.value_or(log_point{}));
}

log_point CurrentSessionFloor(core_state& core, const request_state& request) {
  // The floor of a read with bounded staleness may be older than a write of the
  // session, so it must not become the floor of the session.
  if (request.floor.has_value() && !request.settings.max_staleness) {
    return *request.floor;
  }
  const group_state& group = *core.Group(request.group);
  log_point written;
  if (!request.settings.session.empty()) {
    const session_floor* const session =
        core.sessions.Find(request.settings.session, request.group);
    written = session != nullptr ? session->last_write_point : written;
  } else if (const caller_state* const caller = core.Caller(request.caller);
             caller->own_floor_group == request.group) {
    written = caller->own_floor.last_write_point;
  }
  return group.terms.Later(written,
                           request.settings.token.value_or(log_point{}));
}

void PinConnection(core_state& core, caller_state& caller,
                   connection_state& connection) {
  const endpoint_pool& pool = *core.Pool(connection.endpoint);
  connection.pinned = caller.id;
  caller.pinned = connection.id;
  caller.pinned_group = pool.Group();
  ++core.open_transactions;
  ++core.Group(pool.Group())->open_transactions;
}

void UnpinConnection(core_state& core, caller_state& caller) {
  if (caller.pinned == connection_id{}) {
    return;
  }
  if (connection_state* const connection = core.Connection(caller.pinned)) {
    connection->pinned = {};
    connection->floor_pinned = false;
  }
  caller.pinned = {};
  --core.open_transactions;
  --core.Group(caller.pinned_group)->open_transactions;
}

}  // namespace marjoramslip
