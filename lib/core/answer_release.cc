// Checks permits and replicas' positions when an answer is released.

#include "answer_release.h"

#include "connections.h"
#include "marjoramslip/core/sqlstates.h"
#include "requests.h"
#include "writes.h"

namespace marjoramslip {
namespace {

failure OutcomeUnknown() {
  return {verdict::kMayHaveRun, sqlstate::kOutcomeUnknown,
          "the write ran but could not be confirmed as lasting"};
}

/// Fails a request whose answer could not be confirmed, because the term is
/// over or its conditions were not met in time. A write with an idempotency key
/// and a read whose rows are still held here are retried if the term is over.
void FailUnconfirmed(core_state& core, request_state& request, bool term_over) {
  if (request.is_write) {
    const bool has_key = request.kind == statement_kind::kWrite &&
                         !request.in_transaction &&
                         !request.settings.idempotency_key.empty();
    request.outcome_unknown = true;
    if (has_key && term_over) {
      Retry(core, request, OutcomeUnknown());
      return;
    }
    FailRequest(core, request, OutcomeUnknown());
    return;
  }
  if (IsReadOnly(request.kind) && !request.in_transaction) {
    const failure unconfirmed{verdict::kMayHaveRun, sqlstate::kConnectionLost,
                              "the answer could not be confirmed as current"};
    // Without term-bound statements, no part of the answer was forwarded.
    const bool may_repeat =
        request.kind == statement_kind::kRead &&
        !core.Group(request.group)->terms.Service().term_bound;
    if (may_repeat && term_over) {
      Retry(core, request, unconfirmed);
      return;
    }
    FailRequest(core, request, unconfirmed);
    return;
  }
  caller_state* const caller = core.Caller(request.caller);
  if (caller != nullptr && caller->pinned != connection_id{}) {
    CloseConnection(core, caller->pinned);
    caller->transaction_lost = true;
  }
  FailRequest(core, request,
              {verdict::kNotRun, sqlstate::kTransactionLost,
               "the primary was replaced or could not be confirmed; the "
               "transaction is rolled back"});
}

/// Returns whether the answer may be released now.
ack_state EvaluateRelease(const core_state& core, const group_state& group,
                          const request_state& request) {
  if (request.is_write) {
    const bool has_waited = request.answered_at >= request.sent_at;
    return group.terms.WriteAckState(
        request.answer_point, has_waited ? request.answered_at : core.now,
        core.now);
  }
  // A read is current while its term is the present one.
  if (request.term != group.terms.Term()) {
    return ack_state::kLost;
  }
  return group.terms.HoldsPermit(core.now) ? ack_state::kAllowed
                                           : ack_state::kWait;
}

/// Releases an answer whose conditions hold.
void ReleaseConfirmed(core_state& core, const group_state& group,
                      request_state& request) {
  const bool allowed =
      group.terms.HoldsPermit(core.now) &&
      EvaluateRelease(core, group, request) == ack_state::kAllowed;
  if (!core.Check(allowed, "an answer is released without a permit",
                  request.id)) {
    FailRequest(core, request, OutcomeUnknown());
    return;
  }
  const log_point floor = request.is_write ? RaiseFloor(core, request)
                                           : CurrentSessionFloor(core, request);
  ReleaseRequest(core, request, floor, true);
}

}  // namespace

void AwaitRelease(core_state& core, request_state& request) {
  group_state& group = *core.Group(request.group);
  switch (EvaluateRelease(core, group, request)) {
    case ack_state::kAllowed:
      ReleaseConfirmed(core, group, request);
      return;
    case ack_state::kLost:
      FailUnconfirmed(core, request, true);
      return;
    case ack_state::kWait:
      break;
  }
  if (!group.terms.HoldsPermit(core.now)) {
    core.Count(counter::kPermitWaits, request.group);
  }
  MoveTo(core, request, request_stage::kNew);
  if (request.answered_at < request.sent_at) {
    request.answered_at = core.now;
  }
  request.release_key = request.is_write ? request.answer_point.position : 0;
  MoveTo(core, request, request_stage::kAwaitingRelease);
  core.MarkDirty(group);
}

void ReleaseWaitingAnswers(core_state& core, group_state& group) {
  while (!group.awaiting_release.empty()) {
    request_state& request =
        *core.Request(group.awaiting_release.begin()->second);
    switch (EvaluateRelease(core, group, request)) {
      case ack_state::kAllowed:
        ReleaseConfirmed(core, group, request);
        break;
      case ack_state::kLost:
        FailUnconfirmed(core, request, true);
        break;
      case ack_state::kWait:
        return;
    }
  }
}

void ReleaseRead(core_state& core, request_state& request) {
  const group_state& group = *core.Group(request.group);
  if (request.floor.has_value()) {
    // Where statements carry no term, the database checks the floor itself and
    // reports its log with the answer. Its position when the statement was sent
    // may have been out of date.
    const log_point served = group.terms.Service().term_bound
                                 ? request.served_from
                                 : request.answer_point;
    if (!group.terms.Service().term_bound &&
        served.term > group.terms.LogTerm()) {
      // The record of that term has not arrived, so nothing is known of its
      // log.
      FailUnconfirmed(core, request, true);
      return;
    }
    const bool reached =
        request.sent_to_primary || group.terms.Covers(served, *request.floor);
    if (!core.Check(reached, "a read is served below its floor", request.id)) {
      FailRequest(core, request,
                  {verdict::kMayHaveRun, sqlstate::kInternalError,
                   "the answer does not cover the session's writes"});
      return;
    }
    ReleaseRequest(core, request, CurrentSessionFloor(core, request), true);
    return;
  }
  if (!request.sent_to_primary) {
    // A policy without floors sent the read to a replica.
    ReleaseRequest(core, request, CurrentSessionFloor(core, request), true);
    return;
  }
  AwaitRelease(core, request);
}

void OnReleaseTimeout(core_state& core, request_state& request) {
  FailUnconfirmed(core, request, false);
}

}  // namespace marjoramslip
