// Implements the stages, timers and ends of requests.

#include "requests.h"

#include <algorithm>
#include <string>
#include <utility>

#include "accounts/identification.h"
#include "accounts/limit_control.h"
#include "answer_release.h"
#include "answers.h"
#include "callers.h"
#include "connections.h"
#include "forwarding.h"
#include "marjoramslip/core/sqlstates.h"
#include "reads.h"
#include "writes.h"

namespace marjoramslip {
namespace {

/// Interval at which an answer that waits for its caller to read is checked.
/// The I/O layer bounds how long the caller itself may stay silent.
constexpr duration kHeldAnswerCheckInterval = std::chrono::seconds(5);

/// Wait before the first retry. It doubles with each further retry, at most
/// `kMaxBackoffDoublings` times.
constexpr duration kInitialRetryBackoff = std::chrono::milliseconds(10);
constexpr std::uint32_t kMaxBackoffDoublings = 6;
/// Shortest delay of a timer: none is due at the instant at which it is set.
constexpr duration kMinTimerDelay = std::chrono::milliseconds(1);
/// Time for the way to a carrier and back, on top of the time that the carrier
/// allows the endpoint and the release of the answer.
constexpr duration kForwardingAllowance = std::chrono::milliseconds(200);

timer_owner TimerOwnerOf(const request_state& request) {
  return {timer_kind::kRequest, request.id.value};
}

admission_class AdmissionClassOf(const request_state& request) {
  return IsReadOnly(request.kind) && !request.requires_primary
             ? admission_class::kRead
             : admission_class::kWrite;
}

log_position FloorPosition(const request_state& request) {
  return request.floor.has_value() ? request.floor->position : 0;
}

const char* StageName(request_stage stage) {
  switch (stage) {
    case request_stage::kNew:
      return "a route";
    case request_stage::kAwaitingTerm:
      return "an open term";
    case request_stage::kAwaitingSample:
      return "a sample of the primary's position";
    case request_stage::kAwaitingPosition:
      return "a replica to catch up";
    case request_stage::kAwaitingConnection:
      return "a connection";
    case request_stage::kSent:
      return "the endpoint's answer";
    case request_stage::kAwaitingRelease:
      return "evidence of the term";
    case request_stage::kForwarded:
      return "the carrier's answer";
  }
  return "an unknown stage";
}

void LeaveStage(core_state& core, group_state& group, request_state& request) {
  switch (request.stage) {
    case request_stage::kNew:
      return;
    case request_stage::kAwaitingTerm:
      group.awaiting_term.erase(request.id);
      return;
    case request_stage::kAwaitingSample:
      group.awaiting_sample.erase({request.sample_since, request.id});
      return;
    case request_stage::kAwaitingPosition:
      group.awaiting_position.erase({FloorPosition(request), request.id});
      return;
    case request_stage::kAwaitingConnection:
      if (endpoint_pool* const pool = core.Pool(request.endpoint)) {
        pool->Waiting().Erase(request.queue_ticket);
      }
      return;
    case request_stage::kSent:
      --group.sent_requests;
      return;
    case request_stage::kAwaitingRelease:
      group.awaiting_release.erase({request.release_key, request.id});
      --group.sent_requests;
      return;
    case request_stage::kForwarded:
      --core.carrier_states[request.carrier].outstanding;
      --group.carrier_uses[request.carrier].outstanding;
      --group.sent_requests;
      --group.forwarded_requests;
      return;
  }
}

void EnterStage(core_state& core, group_state& group, request_state& request) {
  switch (request.stage) {
    case request_stage::kNew:
      return;
    case request_stage::kAwaitingTerm:
      group.awaiting_term.insert(request.id);
      return;
    case request_stage::kAwaitingSample:
      group.awaiting_sample.emplace(request.sample_since, request.id);
      return;
    case request_stage::kAwaitingPosition:
      group.awaiting_position.emplace(FloorPosition(request), request.id);
      return;
    case request_stage::kAwaitingConnection:
      request.queued_at = core.now;
      request.queue_ticket =
          core.Pool(request.endpoint)
              ->Waiting()
              .Push(AdmissionClassOf(request), request.id, request.objective,
                    request.priority, request.account);
      return;
    case request_stage::kSent:
      ++group.sent_requests;
      return;
    case request_stage::kAwaitingRelease:
      group.awaiting_release.emplace(request.release_key, request.id);
      ++group.sent_requests;
      return;
    case request_stage::kForwarded:
      ++core.carrier_states[request.carrier].outstanding;
      ++group.carrier_uses[request.carrier].outstanding;
      ++group.sent_requests;
      ++group.forwarded_requests;
      return;
  }
}

/// Returns when the timer of the request is due in its present stage.
instant DueTime(const core_state& core, const group_state& group,
                const request_state& request) {
  switch (request.stage) {
    case request_stage::kSent:
      return request.blocked_on_caller
                 ? core.now + kHeldAnswerCheckInterval
                 : request.progressed_at + request.progress_timeout;
    case request_stage::kAwaitingRelease:
      return std::max(request.deadline,
                      request.answered_at + core.options.permit);
    case request_stage::kForwarded:
      // The carrier answers in time by itself unless it is silent.
      return request.carrier_silent
                 ? request.deadline
                 : request.deadline + request.progress_timeout +
                       core.options.permit + kForwardingAllowance;
    case request_stage::kAwaitingTerm:
      if (request.retry_not_before > core.now) {
        return std::min(request.deadline, request.retry_not_before);
      }
      return request.deadline;
    case request_stage::kAwaitingPosition: {
      const instant wait_limit =
          request.position_wait_since.value_or(core.now) +
          group.terms.Service().replica_wait;
      return wait_limit > core.now ? std::min(request.deadline, wait_limit)
                                   : request.deadline;
    }
    default:
      return request.deadline;
  }
}

void EmitFinished(core_state& core, const request_state& request,
                  bool succeeded, verdict effect) {
  if (request.carried) {
    // Its caller's instance reports it.
    core.Count(counter::kStatementsCarried, request.group);
    return;
  }
  const group_state& group = *core.Group(request.group);
  const bool sent = request.sent_at != instant{};
  const bool sent_to_primary = request.endpoint == group.terms.Primary();
  core.Emit(request_finished{
      .request = request.id,
      .caller = request.caller,
      .account = request.account,
      .kind = request.kind,
      .served_by =
          sent_to_primary ? endpoint_role::kPrimary : endpoint_role::kReplica,
      .succeeded = succeeded,
      .effect = effect,
      .queued = (sent ? request.sent_at : core.now) - request.arrived_at,
      .total = core.now - request.arrived_at});
}

/// Erases the request and frees its caller. `request` is invalid afterwards.
void EraseRequest(core_state& core, request_state& request) {
  MoveTo(core, request, request_stage::kNew);
  core.timers.Cancel(TimerOwnerOf(request), request.timer);
  --core.Group(request.group)->request_count;
  const caller_id caller = request.caller;
  core.requests.erase(request.id);
  OnRequestEnded(core, caller);
}

/// Returns the number of the group's other requests.
std::uint32_t OthersInProgress(const core_state& core,
                               const request_state& request) {
  return core.groups.at(request.group)->request_count - 1;
}

void FailExpired(core_state& core, request_state& request) {
  if (request.stage == request_stage::kAwaitingTerm) {
    FailRequest(core, request,
                {verdict::kNotRun, sqlstate::kNotReady,
                 "no primary took the statement before the deadline"});
    return;
  }
  FailRequest(core, request,
              {verdict::kNotRun, sqlstate::kCancelled,
               "the deadline passed before the statement could be sent"});
}

}  // namespace

void MoveTo(core_state& core, request_state& request, request_stage stage) {
  group_state& group = *core.Group(request.group);
  LeaveStage(core, group, request);
  request.stage = stage;
  EnterStage(core, group, request);
  if (stage == request_stage::kNew) {
    return;
  }
  const instant due =
      std::max(DueTime(core, group, request), core.now + kMinTimerDelay);
  if (request.timer != due) {
    core.timers.Set(TimerOwnerOf(request), request.timer, due);
  }
}

void Advance(core_state& core, request_state& request) {
  if (core.now >= request.deadline) {
    // Waiting in another stage would postpone the timer that ends the request.
    FailExpired(core, request);
    return;
  }
  MoveTo(core, request, request_stage::kNew);
  if (!IdentifyAgain(core, request) ||
      ForwardIfCarriedElsewhere(core, request)) {
    return;
  }
  const group_state& group = *core.Group(request.group);
  const bool has_record = group.terms.Record().revision != 0;
  if (!has_record || core.now < request.retry_not_before) {
    MoveTo(core, request, request_stage::kAwaitingTerm);
    return;
  }
  if (AdmissionClassOf(request) == admission_class::kRead) {
    AdvanceRead(core, request);
    return;
  }
  AdvanceWrite(core, request);
}

void Retry(core_state& core, request_state& request,
           const failure& final_failure) {
  group_state& group = *core.Group(request.group);
  if (core.now >= request.deadline || !group.retries.TryConsume()) {
    FailRequest(core, request, final_failure);
    return;
  }
  core.Count(counter::kRetries, request.group);
  const std::uint32_t doublings =
      std::min(request.attempts, kMaxBackoffDoublings);
  ++request.attempts;
  request.connection = {};
  request.retry_not_before =
      core.now + kInitialRetryBackoff * (1U << doublings);
  request.position_wait_since.reset();
  Advance(core, request);
}

/// Builds the log text of a failed request: its failure, its age, its stage and
/// the state of its group.
std::string DescribeFailure(const core_state& core,
                            const request_state& request,
                            const failure& reason) {
  const auto milliseconds = [](duration interval) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(interval)
            .count());
  };
  const group_terms& terms = core.groups.at(request.group)->terms;
  std::string text(VerdictName(reason.effect));
  text += " " + reason.sqlstate + ": " + reason.message + "; after ";
  text += milliseconds(core.now - request.arrived_at) + " ms";
  text += ", waiting for ";
  text += StageName(request.stage);
  text += ", retries " + std::to_string(request.attempts);
  text += ", priority " + std::to_string(request.priority);
  if (const auto pool = core.pools.find(request.endpoint);
      pool != core.pools.end()) {
    text += ", " + std::to_string(pool->second.Waiting().Count()) +
            " queued, " + std::to_string(pool->second.InFlight()) +
            " in flight";
  }
  text += terms.Open() ? ", term open" : ", term closed";
  text += terms.HoldsPermit(core.now) ? ", permit" : ", no permit";
  return text;
}

/// Clears the caller's lost transaction if the request was to begin it. A
/// caller whose transaction did not begin is in none, even if its connection
/// was lost in the meantime.
void ClearUnbegunTransaction(core_state& core, const request_state& request) {
  const bool begins = request.kind == statement_kind::kBegin ||
                      request.kind == statement_kind::kBeginRead;
  caller_state* const caller = core.Caller(request.caller);
  if (begins && !request.in_transaction && caller != nullptr) {
    caller->transaction_lost = false;
  }
}

void FailRequest(core_state& core, request_state& request, failure reason) {
  ClearUnbegunTransaction(core, request);
  if (request.outcome_unknown && reason.effect == verdict::kNotRun) {
    reason.effect = verdict::kMayHaveRun;
    reason.sqlstate = sqlstate::kOutcomeUnknown;
  }
  if (reason.effect == verdict::kNotRun) {
    ReturnToken(core, request);
  }
  core.Emit(log_line{.level = log_level::kWarning,
                     .event = "request.failed",
                     .text = DescribeFailure(core, request, reason),
                     .group = request.group,
                     .endpoint = request.endpoint,
                     .term = core.groups.at(request.group)->terms.Term(),
                     .request = request.id});
  EmitFinished(core, request, false, reason.effect);
  core.Emit(fail_request{request.caller, request.id, std::move(reason),
                         OthersInProgress(core, request)});
  EraseRequest(core, request);
}

void ReleaseRequest(core_state& core, request_state& request, log_point floor,
                    bool succeeded) {
  EmitFinished(core, request, succeeded,
               succeeded ? verdict::kRan : verdict::kNotRun);
  core.Emit(release_answer{request.caller, request.id, floor,
                           OthersInProgress(core, request)});
  EraseRequest(core, request);
}

void DropRequest(core_state& core, request_state& request) {
  const bool sent = request.outcome_unknown ||
                    request.stage == request_stage::kSent ||
                    request.stage == request_stage::kAwaitingRelease ||
                    request.stage == request_stage::kForwarded;
  if (!sent) {
    ReturnToken(core, request);
  }
  EmitFinished(core, request, false,
               sent ? verdict::kMayHaveRun : verdict::kNotRun);
  EraseRequest(core, request);
}

void OnStatementProgressed(core_state& core,
                           const statement_progressed& progress) {
  request_state* const request = core.Request(progress.request);
  if (request == nullptr || request->stage != request_stage::kSent ||
      request->connection != progress.connection) {
    return;
  }
  request->progressed_at = core.now;
  request->blocked_on_caller = progress.caller_buffer_full;
  MoveTo(core, *request, request_stage::kSent);
}

void OnRequestTimer(core_state& core, request_id id) {
  request_state* const request = core.Request(id);
  if (!core.Check(request != nullptr,
                  "a timer is due for a request that has ended", id)) {
    return;
  }
  request->timer.reset();
  if (request->stage == request_stage::kSent && request->blocked_on_caller) {
    MoveTo(core, *request, request_stage::kSent);
    return;
  }
  if (request->stage == request_stage::kSent) {
    if (!core.Check(core.Connection(request->connection) != nullptr,
                    "a sent request has no connection", id)) {
      OnRequestConnectionLost(core, *request, true, true);
      return;
    }
    core.Emit(close_connection{request->connection});
    HandleConnectionLoss(core, request->connection, true, true);
    return;
  }
  if (request->stage == request_stage::kForwarded) {
    OnForwardTimeout(core, *request);
    return;
  }
  if (request->stage == request_stage::kAwaitingRelease) {
    OnReleaseTimeout(core, *request);
    return;
  }
  Advance(core, *request);
}

}  // namespace marjoramslip
