// Handles answers, refused statements and lost connections.

#include "answers.h"

#include "answer_release.h"
#include "connections.h"
#include "groups.h"
#include "marjoramslip/core/sqlstates.h"
#include "requests.h"
#include "writes.h"

namespace marjoramslip {
namespace {

failure NoRetryFailure() {
  return {verdict::kNotRun, sqlstate::kNotReady,
          "the statement did not run, and its deadline or the retry budget "
          "allows no further attempt"};
}

failure TransactionLostFailure() {
  return {verdict::kNotRun, sqlstate::kTransactionLost,
          "the transaction was lost before its COMMIT and is rolled back"};
}

bool EndsTransaction(statement_kind kind) {
  return kind == statement_kind::kCommit || kind == statement_kind::kRollback;
}

/// Fails a statement of a transaction that has provably been rolled back.
void FailInTransaction(core_state& core, request_state& request) {
  if (caller_state* const caller = core.Caller(request.caller)) {
    caller->transaction_lost = !EndsTransaction(request.kind);
  }
  FailRequest(core, request, TransactionLostFailure());
}

/// Handles a statement that the endpoint refused before it ran because the
/// endpoint is at another term or not writable.
void OnStatementRefused(core_state& core, connection_state& connection,
                        request_state& request, answer_outcome outcome) {
  // The connection is of no further use, because its term is over or its
  // endpoint is not the primary. The exception is a read that turned out to
  // need the primary; its connection is closed as well.
  endpoint_pool& pool = *core.Pool(connection.endpoint);
  group_state& group = *core.Group(request.group);
  if (connection.endpoint == group.terms.Primary()) {
    // Its state shows whether another database has replaced it.
    group.terms.RequestSample();
  }
  CloseConnection(core, connection.id);
  if (request.in_transaction) {
    FailInTransaction(core, request);
    ProcessPool(core, pool);
    return;
  }
  if (IsReadOnly(request.kind) && outcome == answer_outcome::kNotWritable) {
    request.requires_primary = true;
    request.floor.reset();
  }
  Retry(core, request, NoRetryFailure());
  ProcessPool(core, pool);
}

/// Handles a statement that the endpoint refused because it is behind or busy.
/// The connection stays usable.
void OnBehindOrBusy(core_state& core, connection_state& connection,
                    request_state& request, answer_outcome outcome) {
  endpoint_pool& pool = *core.Pool(connection.endpoint);
  if (request.in_transaction) {
    CloseConnection(core, connection.id);
    FailInTransaction(core, request);
    ProcessPool(core, pool);
    return;
  }
  if (outcome == answer_outcome::kBusy) {
    pool.OnStatementRefused(core.now);
  }
  ReturnToPool(core, connection);
  Retry(core, request, NoRetryFailure());
}

/// Pins, unpins, closes or returns the connection after a complete answer.
void SettleConnection(core_state& core, connection_state& connection,
                      caller_state* caller, const request_state& request,
                      transaction_status status) {
  if (status == transaction_status::kIdle) {
    if (caller != nullptr && caller->pinned == connection.id) {
      UnpinConnection(core, *caller);
    }
    ReturnToPool(core, connection);
    return;
  }
  if (connection.pinned != caller_id{}) {
    return;
  }
  if (caller == nullptr || request.kind == statement_kind::kRead) {
    CloseConnection(core, connection.id);
    return;
  }
  connection.floor_pinned =
      request.kind == statement_kind::kBeginRead && !request.requires_primary;
  PinConnection(core, *caller, connection);
}

/// Releases the answer of a successful statement at once, or queues it until
/// its conditions for release hold.
void OnSuccess(core_state& core, request_state& request,
               transaction_status status, bool floor_pinned) {
  const bool transaction_open = status != transaction_status::kIdle;
  if (request.kind == statement_kind::kRollback && !transaction_open) {
    ReleaseRequest(core, request, CurrentSessionFloor(core, request), true);
    return;
  }
  if (floor_pinned) {
    ReleaseRequest(core, request, CurrentSessionFloor(core, request), true);
    return;
  }
  const bool may_run_on_replica = IsReadOnly(request.kind) &&
                                  !request.requires_primary &&
                                  !request.in_transaction;
  if (may_run_on_replica &&
      (!transaction_open || request.kind == statement_kind::kBeginRead)) {
    ReleaseRead(core, request);
    return;
  }
  // Only a term-bound service runs a plain read that turns out to write.
  const bool is_plain_read =
      request.kind == statement_kind::kRead &&
      !core.Group(request.group)->terms.Service().term_bound;
  request.is_write = request.kind == statement_kind::kCommit ||
                     (!transaction_open && !is_plain_read);
  AwaitRelease(core, request);
}

void OnOutcome(core_state& core, request_state& request,
               const statement_answered& answer, bool floor_pinned) {
  if (answer.outcome == answer_outcome::kFailed && request.outcome_unknown) {
    FailRequest(
        core, request,
        {verdict::kMayHaveRun, sqlstate::kOutcomeUnknown,
         "the repeated statement failed; an earlier attempt may have run"});
    return;
  }
  if (answer.outcome == answer_outcome::kFailed) {
    ReleaseRequest(core, request, CurrentSessionFloor(core, request), false);
    return;
  }
  request.answer_point = {
      answer.state.complete ? request.term : answer.state.log_term,
      answer.state.position};
  OnSuccess(core, request, answer.transaction, floor_pinned);
}

}  // namespace

void OnStatementAnswered(core_state& core, const statement_answered& answer) {
  connection_state* const connection = core.Connection(answer.connection);
  if (connection == nullptr) {
    return;
  }
  request_state* const request = core.Request(connection->request);
  const bool expected = request != nullptr &&
                        connection->request == answer.request &&
                        request->connection == answer.connection;
  if (!core.Check(expected, "an answer does not match the statement in flight",
                  answer.request)) {
    core.Emit(close_connection{answer.connection});
    HandleConnectionLoss(core, answer.connection, true, true);
    return;
  }
  endpoint_pool& pool = *core.Pool(connection->endpoint);
  // Within a transaction, an endpoint that reports only its log may report it
  // as of the start of the transaction.
  if (answer.state.complete || !request->in_transaction) {
    ObserveState(core, connection->endpoint, request->sent_at, answer.state);
  }
  pool.RecordServiceTime(core.now - request->sent_at, request->priority);
  connection->request = {};
  pool.OnStatementAnswered(connection->id);
  const bool refused = answer.outcome == answer_outcome::kWrongTerm ||
                       answer.outcome == answer_outcome::kNotWritable;
  if (refused) {
    OnStatementRefused(core, *connection, *request, answer.outcome);
    return;
  }
  if (answer.outcome == answer_outcome::kLogBehind ||
      answer.outcome == answer_outcome::kBusy) {
    OnBehindOrBusy(core, *connection, *request, answer.outcome);
    return;
  }
  pool.RecordResponseTime(core.now - request->sent_at, core.now);
  const bool floor_pinned = request->in_transaction && connection->floor_pinned;
  // Returning the connection may send other requests, but never ends this one.
  SettleConnection(core, *connection, core.Caller(request->caller), *request,
                   answer.transaction);
  if (pool.InFlightLimit().has_value()) {
    // A pinned connection is not returned, but its answer allows another
    // statement to be in flight.
    ProcessPool(core, pool);
  }
  OnOutcome(core, *request, answer, floor_pinned);
}

void OnRequestConnectionLost(core_state& core, request_state& request,
                             bool sent, bool forwarded) {
  if (request.in_transaction) {
    if (request.kind != statement_kind::kCommit || !sent) {
      FailInTransaction(core, request);
      return;
    }
    if (caller_state* const caller = core.Caller(request.caller)) {
      caller->transaction_lost = false;
    }
    FailRequest(core, request,
                {verdict::kMayHaveRun, sqlstate::kOutcomeUnknown,
                 "the connection was lost during COMMIT"});
    return;
  }
  if (!sent) {
    Retry(core, request, NoRetryFailure());
    return;
  }
  const bool safe_to_repeat = request.kind == statement_kind::kBegin ||
                              request.kind == statement_kind::kBeginRead ||
                              request.kind == statement_kind::kRollback;
  if (safe_to_repeat) {
    Retry(core, request, NoRetryFailure());
    return;
  }
  const failure read_failure{verdict::kMayHaveRun, sqlstate::kConnectionLost,
                             "the connection was lost during the answer"};
  const failure write_failure{verdict::kMayHaveRun, sqlstate::kOutcomeUnknown,
                              "the connection was lost during the statement"};
  const bool is_read = request.kind == statement_kind::kRead;
  const bool has_idempotency_key = request.kind == statement_kind::kWrite &&
                                   !request.settings.idempotency_key.empty();
  request.outcome_unknown = request.outcome_unknown || !is_read;
  if (has_idempotency_key ||
      (is_read && !forwarded && !request.requires_primary)) {
    Retry(core, request, is_read ? read_failure : write_failure);
    return;
  }
  FailRequest(core, request, is_read ? read_failure : write_failure);
}

}  // namespace marjoramslip
