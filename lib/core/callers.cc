// Accepts or refuses the statements of callers.

#include "callers.h"

#include <algorithm>
#include <string>
#include <utility>

#include "accounts/identification.h"
#include "accounts/limit_control.h"
#include "apply_catalogue.h"
#include "connections.h"
#include "draining.h"
#include "early_callers.h"
#include "forwarding.h"
#include "groups.h"
#include "marjoramslip/core/sqlstates.h"
#include "requests.h"
#include "writes.h"

namespace marjoramslip {
namespace {

failure UnknownServiceFailure(const std::string& service) {
  return {verdict::kNotRun, sqlstate::kUnknownService,
          "service \"" + service + "\" is not declared"};
}

/// Fails a statement for which no request was started.
void Refuse(core_state& core, const statement_received& statement,
            failure reason) {
  core.Emit(log_line{.level = log_level::kWarning,
                     .event = "request.refused",
                     .text = std::string(VerdictName(reason.effect)) + " " +
                             reason.sqlstate + ": " + reason.message,
                     .group = {},
                     .endpoint = {},
                     .term = 0,
                     .request = statement.request});
  core.Emit(request_finished{.request = statement.request,
                             .caller = statement.caller,
                             .account = AccountOf(core, statement.caller),
                             .kind = statement.kind,
                             .succeeded = false,
                             .effect = verdict::kNotRun,
                             .queued = {},
                             .total = {}});
  core.Emit(
      fail_request{statement.caller, statement.request, std::move(reason)});
}

/// Applies the settings of the caller's route to the request.
void ApplyRoute(const route_settings& terms, request_state& request) {
  if (terms.statement_timeout > duration::zero()) {
    request.deadline = request.arrived_at + terms.statement_timeout;
    request.progress_timeout = terms.statement_timeout;
  }
  request.objective = terms.objective > duration::zero()
                          ? request.arrived_at + terms.objective
                          : request.deadline;
  request.priority = terms.priority;
  switch (terms.reads) {
    case consistency::kSession:
      return;
    case consistency::kPrimary:
      request.requires_primary = true;
      return;
    case consistency::kBoundedStaleness:
    case consistency::kReadYourWrites:
      request.settings.max_staleness = terms.max_staleness;
      return;
  }
}

request_state& MakeRequest(core_state& core, caller_state& caller,
                           group_state& group,
                           const statement_received& statement, instant arrived,
                           account_id account) {
  request_state request;
  request.id = statement.request;
  request.caller = statement.caller;
  request.group = group.terms.Id();
  request.account = account;
  request.kind = statement.kind;
  request.settings = statement.settings;
  request.arrived_at = arrived;
  request.deadline = arrived + group.terms.Service().deadline;
  request.progress_timeout = core.options.statement_timeout;
  ApplyRoute(caller.route, request);
  request.carried = caller.forwarded;
  if (statement.time_left.has_value()) {
    request.deadline =
        std::min(request.deadline, arrived + *statement.time_left);
    request.objective = std::min(request.objective, request.deadline);
  }
  caller.current_request = statement.request;
  ++group.request_count;
  if (!IsCarriedElsewhere(core, group)) {
    WakeGroup(core, group);
  }
  group.retries.OnRequest();
  return core.requests.emplace(statement.request, std::move(request))
      .first->second;
}

void ContinueTransaction(core_state& core, caller_state& caller,
                         const statement_received& statement) {
  group_state& group = *core.Group(caller.pinned_group);
  request_state& request =
      MakeRequest(core, caller, group, statement, core.now, caller.account);
  if (caller.pinned_carrier != instance_id{}) {
    ForwardInTransaction(core, request);
    return;
  }
  connection_state& connection = *core.Connection(caller.pinned);
  request.account = connection.account;
  SendOverConnection(core, connection, request);
}

/// Refuses a statement that follows the loss of the caller's transaction,
/// unless it is a ROLLBACK. Returns true if the statement was refused.
bool RefuseAfterLostTransaction(core_state& core, caller_state& caller,
                                const statement_received& statement) {
  if (!caller.transaction_lost) {
    return false;
  }
  if (statement.kind == statement_kind::kRollback) {
    caller.transaction_lost = false;
    return false;
  }
  if (statement.kind == statement_kind::kCommit) {
    caller.transaction_lost = false;
    Refuse(core, statement,
           {verdict::kNotRun, sqlstate::kTransactionLost,
            "the transaction was lost before its COMMIT and is rolled back"});
    return true;
  }
  Refuse(core, statement,
         {verdict::kNotRun, sqlstate::kTransactionAborted,
          "the transaction is lost; statements are ignored until ROLLBACK"});
  return true;
}

void StartRequest(core_state& core, caller_state& caller,
                  const statement_received& statement, instant arrived) {
  group_state* const group = ResolveGroup(core, caller);
  if (group == nullptr) {
    Refuse(core, statement, UnknownServiceFailure(caller.service));
    return;
  }
  if (!IdentifyCaller(core, caller)) {
    core.Count(counter::kUnknownKeys);
    Refuse(core, statement, UnknownKeyFailure());
    core.unidentified_callers.push_back(caller.id);
    return;
  }
  if (group->request_count - group->sent_requests >= core.options.queue_limit) {
    core.Count(counter::kRefusals, group->terms.Id());
    core.Count(counter::kRefusedQueueFull, group->terms.Id());
    const endpoint_pool* const pool = core.Pool(group->terms.Primary());
    Refuse(
        core, statement,
        {verdict::kNotRun, sqlstate::kOverloaded,
         "too many requests wait for this group" +
             (pool != nullptr ? RetryAdvice(core, *pool, caller.route.priority)
                              : std::string())});
    return;
  }
  std::optional<operation_token> token;
  // The operations of forwarded callers were counted where they arrived.
  if (caller.account != account_id{} && !caller.forwarded &&
      BeginOperation(core, caller, statement, arrived, token) !=
          limit_decision::kMayBegin) {
    return;
  }
  request_state& request =
      MakeRequest(core, caller, *group, statement, arrived, caller.account);
  request.token = token;
  Advance(core, request);
}

/// Ends the request of a caller that has closed. If the statement was sent, its
/// verdict stays unknown and its connection is closed.
void AbandonRequest(core_state& core, request_state& request) {
  const connection_id id = request.connection;
  connection_state* const connection = core.Connection(id);
  const bool sent = request.stage == request_stage::kSent;
  if (request.stage == request_stage::kForwarded) {
    WithdrawForwarded(core, request);
  }
  DropRequest(core, request);
  if (!sent || connection == nullptr) {
    return;
  }
  connection->request = {};
  endpoint_pool& pool = *core.Pool(connection->endpoint);
  CloseConnection(core, id);
  ProcessPool(core, pool);
}

}  // namespace

void OnCallerOpened(core_state& core, const caller_opened& opened) {
  caller_state caller;
  caller.id = opened.caller;
  caller.service = opened.service;
  caller.tenant = opened.tenant;
  caller.key = opened.key;
  caller.forwarded = opened.forwarded;
  if (!opened.account.empty()) {
    caller.account = IdOf<account_id>(opened.account);
  }
  caller_state& stored =
      core.callers.insert_or_assign(opened.caller, std::move(caller))
          .first->second;
  if (core.draining) {
    CloseCaller(core, opened.caller, ShutdownFailure());
    return;
  }
  if (AwaitsCatalogue(core)) {
    return;
  }
  if (core.applied_catalogue.revision == 0) {
    CloseCaller(core, opened.caller, NoCatalogueFailure());
    return;
  }
  if (ResolveGroup(core, stored) == nullptr) {
    CloseCaller(core, opened.caller, UnknownServiceFailure(opened.service));
    return;
  }
  if (!IdentifyCaller(core, stored)) {
    core.Count(counter::kUnknownKeys);
    CloseCaller(core, opened.caller, UnknownKeyFailure());
  }
}

void OnStatementReceived(core_state& core,
                         const statement_received& statement) {
  caller_state* const caller = core.Caller(statement.caller);
  if (caller == nullptr) {
    core.Emit(close_caller{statement.caller, ShutdownFailure()});
    return;
  }
  if (caller->current_request != request_id{} ||
      core.Request(statement.request)) {
    Refuse(core, statement,
           {verdict::kNotRun, sqlstate::kProtocolViolation,
            "a statement of this connection is still in progress"});
    return;
  }
  if (IsInTransaction(*caller)) {
    ContinueTransaction(core, *caller, statement);
    return;
  }
  if (statement.continues_transaction) {
    Refuse(core, statement,
           {verdict::kNotRun, sqlstate::kTransactionLost,
            "the transaction was lost before its COMMIT and is rolled back"});
    return;
  }
  if (core.draining) {
    CloseCaller(core, statement.caller, ShutdownFailure());
    return;
  }
  if (RefuseAfterLostTransaction(core, *caller, statement)) {
    return;
  }
  if (AwaitsCatalogue(core)) {
    HoldEarlyStatement(core, *caller, statement);
    return;
  }
  if (core.applied_catalogue.revision == 0) {
    Refuse(core, statement, NoCatalogueFailure());
    return;
  }
  StartRequest(core, *caller, statement, core.now);
}

void ResumeHeldStatement(core_state& core, const statement_received& statement,
                         instant arrived) {
  if (caller_state* const caller = core.Caller(statement.caller)) {
    StartRequest(core, *caller, statement, arrived);
  }
}

void RefuseHeldStatement(core_state& core, const statement_received& statement,
                         failure reason) {
  Refuse(core, statement, std::move(reason));
  OnRequestEnded(core, statement.caller);
}

void OnCancelReceived(core_state& core, const cancel_received& cancel) {
  const caller_state* const caller = core.Caller(cancel.caller);
  if (caller == nullptr) {
    return;
  }
  request_state* const request = core.Request(caller->current_request);
  if (request == nullptr || request->stage == request_stage::kAwaitingRelease ||
      request->stage == request_stage::kForwarded) {
    return;
  }
  if (request->stage == request_stage::kSent) {
    core.Emit(cancel_statement{request->connection});
    return;
  }
  FailRequest(core, *request,
              {verdict::kNotRun, sqlstate::kCancelled,
               "the statement was cancelled before it was sent"});
}

void OnCallerClosed(core_state& core, const caller_closed& closed) {
  caller_state* const caller = core.Caller(closed.caller);
  if (caller == nullptr) {
    return;
  }
  const request_id current = caller->current_request;
  const connection_id pinned = caller->pinned;
  UnpinConnection(core, *caller);
  // The carrier of a request in progress is told with the request.
  UnpinCarrier(core, *caller, current == request_id{});
  core.callers.erase(closed.caller);
  if (request_state* const request = core.Request(current)) {
    AbandonRequest(core, *request);
  }
  if (const connection_state* const connection = core.Connection(pinned)) {
    endpoint_pool& pool = *core.Pool(connection->endpoint);
    CloseConnection(core, pinned);
    ProcessPool(core, pool);
  }
}

void OnLossAcknowledged(core_state& core,
                        const loss_acknowledged& acknowledgement) {
  if (caller_state* const caller = core.Caller(acknowledgement.caller)) {
    caller->transaction_lost = false;
  }
}

void OnRequestEnded(core_state& core, caller_id id) {
  caller_state* const caller = core.Caller(id);
  if (caller == nullptr) {
    return;
  }
  caller->current_request = {};
  if (core.draining && !IsInTransaction(*caller)) {
    core.ended_while_draining.push_back(id);
  }
}

void CloseCaller(core_state& core, caller_id id, failure reason) {
  if (caller_state* const caller = core.Caller(id)) {
    core.Check(caller->current_request == request_id{},
               "a caller is closed with a request in progress");
    core.callers.erase(id);
  }
  core.Emit(close_caller{id, std::move(reason)});
}

}  // namespace marjoramslip
