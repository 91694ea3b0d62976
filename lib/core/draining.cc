// Implements the steps of a graceful shutdown.

#include "draining.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "accounts/limit_waiting.h"
#include "callers.h"
#include "connections.h"
#include "early_callers.h"
#include "forwarding.h"
#include "marjoramslip/core/sqlstates.h"
#include "requests.h"
#include "writes.h"

namespace marjoramslip {
namespace {

template <typename id, typename value>
std::vector<id> SortedIds(const std::unordered_map<id, value>& items) {
  std::vector<id> ids;
  ids.reserve(items.size());
  for (const auto& item : items) {
    ids.push_back(item.first);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void CloseIfIdle(core_state& core, caller_id id) {
  const caller_state* const caller = core.Caller(id);
  if (caller == nullptr || caller->current_request != request_id{} ||
      IsInTransaction(*caller)) {
    return;
  }
  CloseCaller(core, id, ShutdownFailure());
}

void AbortRequest(core_state& core, request_state& request) {
  const bool sent = request.stage == request_stage::kSent;
  const bool forwarded = request.stage == request_stage::kForwarded;
  const bool may_have_run =
      sent || forwarded || request.stage == request_stage::kAwaitingRelease;
  connection_state* const connection = core.Connection(request.connection);
  if (sent && connection != nullptr) {
    const connection_id id = connection->id;
    connection->request = {};
    CloseConnection(core, id);
  }
  if (forwarded) {
    WithdrawForwarded(core, request);
  }
  failure reason = ShutdownFailure();
  reason.effect = may_have_run ? verdict::kMayHaveRun : verdict::kNotRun;
  FailRequest(core, request, std::move(reason));
}

/// Fails the remaining requests and closes all callers when the time limit is
/// reached. Closing the connection of a transaction rolls it back unless its
/// COMMIT was sent.
void AbortCallers(core_state& core) {
  core.Log(
      log_level::kWarning, "drain.cut_off",
      std::to_string(core.callers.size()) + " callers did not finish in time");
  for (const caller_id id : SortedIds(core.callers)) {
    caller_state& caller = *core.Caller(id);
    if (request_state* const request = core.Request(caller.current_request)) {
      AbortRequest(core, *request);
    }
    if (caller.pinned != connection_id{}) {
      CloseConnection(core, caller.pinned);
    }
    UnpinCarrier(core, caller, true);
    CloseCaller(core, id, ShutdownFailure());
  }
}

/// Ends the transactions that wait for their callers when the time allowed for
/// transactions is over. Closing their connections rolls them back.
void EndIdleTransactions(core_state& core) {
  for (const caller_id id : SortedIds(core.callers)) {
    caller_state& caller = *core.Caller(id);
    if (caller.current_request != request_id{} || !IsInTransaction(caller)) {
      continue;
    }
    if (caller.pinned != connection_id{}) {
      CloseConnection(core, caller.pinned);
    }
    UnpinCarrier(core, caller, true);
    CloseCaller(core, id, ShutdownFailure());
  }
}

void CompleteDrain(core_state& core) {
  for (const connection_id id : SortedIds(core.connections)) {
    CloseConnection(core, id);
  }
  core.invariant_checks.Flush(*core.effects);
  core.Emit(send_peer_message{{}, leave_notice{}});
  core.Emit(drained{});
  core.drained = true;
}

void StartDrain(core_state& core) {
  core.draining = true;
  // Leaves a sixth of the limit to end what is still in progress in an orderly
  // way before the process is killed.
  core.drain_deadline = core.now + core.options.drain_limit * 5 / 6;
  core.transactions_deadline = core.now + core.options.drain_limit / 2;
  core.Log(log_level::kInfo, "drain.started",
           std::to_string(core.callers.size()) + " callers");
  RefuseEarlyStatements(core);
  RefuseHeldOperations(core, ShutdownFailure());
  for (const caller_id id : SortedIds(core.callers)) {
    CloseIfIdle(core, id);
  }
}

}  // namespace

failure ShutdownFailure() {
  return {verdict::kNotRun, sqlstate::kShutdown,
          "this instance is shutting down"};
}

void OnDrainRequested(core_state& core, const drain_requested& request) {
  if (!core.draining) {
    StartDrain(core);
  }
  if (request.at_once) {
    core.transactions_deadline = core.now;
    core.drain_deadline = core.now;
  }
}

void ContinueDrain(core_state& core) {
  if (!core.draining || core.drained) {
    return;
  }
  for (const caller_id id : std::exchange(core.ended_while_draining, {})) {
    CloseIfIdle(core, id);
  }
  if (core.now >= core.transactions_deadline && !core.callers.empty()) {
    EndIdleTransactions(core);
  }
  if (core.now >= core.drain_deadline && !core.callers.empty()) {
    AbortCallers(core);
  }
  if (core.callers.empty()) {
    CompleteDrain(core);
  }
}

}  // namespace marjoramslip
