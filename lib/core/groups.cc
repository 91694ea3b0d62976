// Reactions to changes of a group's record, endpoint states and positions.

#include "groups.h"

#include <algorithm>
#include <vector>

#include "answer_release.h"
#include "apply_catalogue.h"
#include "connections.h"
#include "requests.h"
#include "serving.h"

namespace marjoramslip {
namespace {

/// Tick intervals of a group with and without requests or a change in progress.
constexpr duration kActiveTickInterval = std::chrono::milliseconds(5);
constexpr duration kIdleTickInterval = std::chrono::milliseconds(20);
/// Time for which a group still gets ticks after it was last used.
constexpr duration kWatchTimeAfterUse = std::chrono::seconds(2);
/// Replication lag that is reported in the log: about fifty times the usual
/// lag, and more than the staleness that most reads allow.
constexpr duration kReportedLag = std::chrono::seconds(1);
/// Interval between requests to replace a leaving primary.
constexpr duration kSwitchRequestInterval = std::chrono::seconds(1);

group_state* GroupOfEndpoint(core_state& core, endpoint_id endpoint) {
  const endpoint_pool* const pool = core.Pool(endpoint);
  return pool == nullptr ? nullptr : core.Group(pool->Group());
}

/// Logs when a replica falls far behind and when it has caught up. The primary
/// serves all reads while every replica is far behind.
void ReportLag(core_state& core, group_state& group, endpoint_id replica) {
  const duration lag = group.lag.ExpectedLag(replica);
  std::erase_if(group.lagging_replicas, [&group](endpoint_id id) {
    return group.terms.View(id) == nullptr;
  });
  const bool reported = group.lagging_replicas.contains(replica);
  if (!reported && lag >= kReportedLag) {
    group.lagging_replicas.insert(replica);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
    core.Log(log_level::kWarning, "endpoint.behind",
             "replication lags by " + std::to_string(milliseconds) + " ms; " +
                 std::to_string(group.lagging_replicas.size()) + " replicas do",
             group.terms.Id(), replica);
  } else if (reported && lag < kReportedLag / 2) {
    group.lagging_replicas.erase(replica);
    core.Log(
        log_level::kInfo, "endpoint.caught_up",
        std::to_string(group.lagging_replicas.size()) + " replicas still lag",
        group.terms.Id(), replica);
  }
}

/// Updates the lag estimate from a reported state.
void UpdateLag(core_state& core, group_state& group, endpoint_id endpoint,
               const endpoint_state& state) {
  core.MarkDirty(group);
  // An answer to a statement may report the log only, without the term.
  const bool in_present_term = state.complete
                                   ? state.term == group.terms.Term()
                                   : state.log_term == group.terms.LogTerm();
  if (!in_present_term) {
    return;
  }
  if (endpoint == group.terms.Primary()) {
    group.lag.OnPrimaryPosition(state.position, core.now);
  } else {
    group.lag.OnReplicaPosition(endpoint, state.position, core.now);
    ReportLag(core, group, endpoint);
  }
}

/// Returns true if the request waits for a term, a sample or a position.
bool IsWaiting(const request_state& request) {
  return request.stage == request_stage::kAwaitingTerm ||
         request.stage == request_stage::kAwaitingSample ||
         request.stage == request_stage::kAwaitingPosition;
}

/// Routes every waiting request of the group again.
void RerouteWaitingRequests(core_state& core, group_state& group) {
  std::vector<request_id> waiting(group.awaiting_term.begin(),
                                  group.awaiting_term.end());
  for (const auto& [sample_since, id] : group.awaiting_sample) {
    waiting.push_back(id);
  }
  for (const auto& [position, id] : group.awaiting_position) {
    waiting.push_back(id);
  }
  for (const request_id id : waiting) {
    request_state* const request = core.Request(id);
    if (request == nullptr || !IsWaiting(*request)) {
      continue;
    }
    request->retry_not_before = core.now;
    Advance(core, *request);
  }
}

/// Evaluates the answers that await release again. Those that only the previous
/// term could have released fail.
void ReevaluateReleases(core_state& core, group_state& group) {
  std::vector<request_id> answered;
  for (const auto& [position, id] : group.awaiting_release) {
    answered.push_back(id);
  }
  for (const request_id id : answered) {
    request_state* const request = core.Request(id);
    if (request != nullptr &&
        request->stage == request_stage::kAwaitingRelease) {
      AwaitRelease(core, *request);
    }
  }
}

/// Applies a new revision of the group's record to its pools and requests.
void OnRecordChanged(core_state& core, group_state& group) {
  const bool new_term = group.seen_term != group.terms.Term();
  group.seen_term = group.terms.Term();
  const std::uint64_t revision = group.terms.Record().revision;
  core.Check(revision > group.seen_revision,
             "a record's revision did not increase");
  group.seen_revision = revision;
  if (new_term) {
    group.lag.Reset();
    group.lagging_replicas.clear();
    ReevaluateReleases(core, group);
  }
  for (const endpoint_id id : group.pool_ids) {
    endpoint_pool& pool = *core.Pool(id);
    CloseExcessIdle(core, pool);
    RerouteQueued(core, pool, admission_class::kWrite);
    RerouteQueued(core, pool, admission_class::kRead);
  }
  RerouteWaitingRequests(core, group);
}

/// Applies the beginning or end of a time without a serving lease.
void OnServingPhaseChanged(core_state& core, group_state& group) {
  group.seen_phase = ServingPhase(core, group);
  if (group.seen_phase != serving_phase::kServing) {
    for (const endpoint_id id : group.pool_ids) {
      RerouteQueued(core, *core.Pool(id), admission_class::kWrite);
    }
  }
  RerouteWaitingRequests(core, group);
}

/// Advances waiting requests in order until one has to keep waiting.
template <typename key>
void AdvanceFirst(core_state& core,
                  std::set<std::pair<key, request_id>>& waiting) {
  while (!waiting.empty()) {
    const request_id first = waiting.begin()->second;
    Advance(core, *core.Request(first));
    if (!waiting.empty() && waiting.begin()->second == first) {
      return;
    }
  }
}

/// Returns true if a request started to wait after the last sample was
/// requested, or if that sample is overdue.
bool SampleIsDue(const core_state& core, const group_state& group) {
  if (group.awaiting_sample.empty()) {
    return false;
  }
  const instant newest = group.awaiting_sample.rbegin()->first;
  return newest > group.sample_requested_at ||
         core.now - group.sample_requested_at >=
             core.options.probe_interval_waiting;
}

/// Returns true if the home instance's evidence, which is no older than a
/// permit, is recent enough for every request that waits for a sample.
bool RelayedSampleSuffices(const core_state& core, const group_state& group) {
  return group.awaiting_sample.empty() ||
         group.awaiting_sample.rbegin()->first <=
             core.now - core.options.permit;
}

/// Probes for the permit, sample and positions that waiting requests and peers
/// need.
void ProbeForUpdates(core_state& core, group_state& group, bool has_permit) {
  const bool renew = !has_permit && core.now >= group.next_renewal;
  if (renew) {
    const bool by_probes = group.terms.Service().term_bound;
    group.next_renewal =
        core.now + (by_probes ? core.options.probe_interval_waiting
                              : core.options.probe_interval / 2);
  }
  if ((has_permit && SampleIsDue(core, group)) || renew) {
    group.sample_requested_at = core.now;
    group.terms.RequestSample();
  }
  // Where statements carry no term, they name the position that they need, and
  // positions arrive with their answers. Replicas are then probed only to
  // obtain a permit.
  const bool awaits_replica =
      !group.awaiting_release.empty() || !group.awaiting_position.empty();
  if (!has_permit || group.terms.HasUnsettledPromotion(core.now) ||
      (group.terms.Service().term_bound && awaits_replica)) {
    group.terms.RequestReplicaPositions();
  }
  group.terms.SendProbes(core.now, *core.effects);
}

/// Requests what waiting requests and peers need, from the group's home
/// instance or by probes.
void RequestUpdates(core_state& core, group_state& group) {
  const bool peers_wait = !group.relay.waiting.empty();
  if (group.awaiting_release.empty() && group.awaiting_position.empty() &&
      group.awaiting_sample.empty() && !peers_wait) {
    return;
  }
  if (!group.terms.Service().term_bound && group.terms.IsSealed()) {
    // No evidence gives a permit before the record opens. Probes of all
    // instances would only delay those of the instance that changes the
    // primary.
    return;
  }
  const bool has_permit = group.terms.HoldsPermit(core.now);
  const bool needs_evidence = !has_permit || SampleIsDue(core, group);
  const bool relayed =
      needs_evidence && !group.terms.HasUnsettledPromotion(core.now) &&
      (!has_permit || core.now >= group.relay.no_sample_until) &&
      RelayedSampleSuffices(core, group) && RequestEvidence(core, group);
  if (!relayed) {
    ProbeForUpdates(core, group, has_permit && !peers_wait);
  }
  if (!core.next_wake.has_value() || *core.next_wake <= core.now) {
    core.next_wake = core.now + core.options.probe_interval_waiting;
    core.Emit(wake_at{*core.next_wake});
  }
}

bool IsActive(const group_state& group) {
  // A forwarded request concerns the group at its carrier only.
  return !group.terms.Open() ||
         group.request_count > group.forwarded_requests ||
         group.terms.Suspects(group.terms.Primary());
}

/// Returns true if a reachable replica is known to lag. Only further probes
/// show whether it makes progress.
bool AnyReplicaLags(const group_state& group) {
  const endpoint_view* const primary = group.terms.View(group.terms.Primary());
  const auto& endpoints = group.terms.Endpoints();
  return primary != nullptr &&
         std::any_of(
             endpoints.begin(), endpoints.end(), [primary](const auto& entry) {
               return !entry.second.unreachable_since.has_value() &&
                      entry.second.state.position < primary->state.position;
             });
}

/// Returns true while the group needs ticks: it was used recently, or its
/// record, primary or set of endpoints is changing.
bool NeedsTicks(const core_state& core, const group_state& group) {
  const endpoint_view* const primary = group.terms.View(group.terms.Primary());
  return core.now - group.last_used_at < kWatchTimeAfterUse ||
         IsActive(group) || group.open_transactions > 0 || group.withdrawn ||
         primary == nullptr || primary->spec.leaving || AnyReplicaLags(group) ||
         group.pool_ids.size() != group.terms.Endpoints().size() ||
         group.terms.AwaitsWitnessReview(core.now);
}

void SetGroupTimer(core_state& core, group_state& group, instant due) {
  core.timers.Set({timer_kind::kGroup, group.terms.Id().value}, group.timer,
                  due);
}

/// Requests a planned change if the primary is leaving.
void ReplaceLeavingPrimary(core_state& core, group_state& group) {
  const endpoint_view* const primary = group.terms.View(group.terms.Primary());
  if (primary == nullptr || !primary->spec.leaving ||
      !group.terms.AcceptsWrites() || core.now < group.next_switch_request) {
    return;
  }
  group.next_switch_request = core.now + kSwitchRequestInterval;
  group.terms.OnPromoteRequested({}, core.now, *core.effects);
}

}  // namespace

void ObserveState(core_state& core, endpoint_id endpoint, instant sent_at,
                  const endpoint_state& state) {
  group_state* const group = GroupOfEndpoint(core, endpoint);
  if (group == nullptr) {
    return;
  }
  group->terms.OnEndpointState(endpoint, sent_at, state, core.now);
  UpdateLag(core, *group, endpoint, state);
}

void OnProbeAnswered(core_state& core, const probe_answered& answer) {
  group_state* const group = GroupOfEndpoint(core, answer.endpoint);
  if (group == nullptr) {
    return;
  }
  group->terms.OnProbeAnswered(answer, core.now);
  UpdateLag(core, *group, answer.endpoint, answer.state);
}

void OnProbeFailed(core_state& core, const probe_failed& report) {
  group_state* const group = GroupOfEndpoint(core, report.endpoint);
  if (group == nullptr) {
    return;
  }
  group->terms.OnProbeFailed(report, core.now);
  core.MarkDirty(*group);
}

void OnEndpointMoved(core_state& core, const endpoint_moved& result) {
  group_state* const group = GroupOfEndpoint(core, result.endpoint);
  if (group == nullptr) {
    return;
  }
  group->terms.OnMoved(result, core.now, *core.effects);
  UpdateLag(core, *group, result.endpoint, result.state);
}

void OnEndpointPromoted(core_state& core, const endpoint_promoted& result) {
  group_state* const group = GroupOfEndpoint(core, result.endpoint);
  if (group == nullptr) {
    return;
  }
  group->terms.OnPromoted(result, core.now, *core.effects);
  core.MarkDirty(*group);
}

void OnPromotionAnswered(core_state& core, const promotion_answered& answer) {
  group_state* const group = GroupOfEndpoint(core, answer.endpoint);
  if (group == nullptr) {
    return;
  }
  group->terms.OnPromotionAnswered(answer, core.now, *core.effects);
  core.MarkDirty(*group);
}

void OnRecordSeen(core_state& core, group_id id,
                  const versioned_record& record) {
  group_state* const group = core.Group(id);
  if (group == nullptr) {
    return;
  }
  group->terms.OnRecord(record, core.now, *core.effects);
  core.MarkDirty(*group);
}

void OnRecordWritten(core_state& core, const record_written& result) {
  group_state* const group = core.Group(result.group);
  if (group == nullptr) {
    return;
  }
  group->terms.OnWritten(result, core.now, *core.effects);
  core.MarkDirty(*group);
}

void OnPromoteRequested(core_state& core, const promote_requested& request) {
  group_state* const group = core.Group(request.group);
  if (group == nullptr) {
    return;
  }
  group->terms.OnPromoteRequested(request.endpoint, core.now, *core.effects);
  core.MarkDirty(*group);
}

void WakeGroup(core_state& core, group_state& group) {
  group.last_used_at = core.now;
  if (!group.timer.has_value()) {
    SetGroupTimer(core, group, core.now);
  }
}

void ProcessGroupChanges(core_state& core, group_state& group) {
  if (group.seen_revision != group.terms.Record().revision) {
    OnRecordChanged(core, group);
  }
  if (group.seen_phase != ServingPhase(core, group)) {
    OnServingPhaseChanged(core, group);
  }
  ReleaseWaitingAnswers(core, group);
  AnswerWaitingPeers(core, group);
  AdvanceFirst(core, group.awaiting_sample);
  AdvanceFirst(core, group.awaiting_position);
  RequestUpdates(core, group);
  if (!group.timer.has_value() && NeedsTicks(core, group)) {
    SetGroupTimer(core, group, core.now);
  }
}

void OnGroupTimer(core_state& core, group_id id) {
  group_state* const group = core.Group(id);
  if (group == nullptr) {
    return;
  }
  group->timer.reset();
  if (DropIfUnused(core, *group)) {
    return;
  }
  group->terms.OnTick(core.now, *core.effects);
  ReplaceLeavingPrimary(core, *group);
  core.MarkDirty(*group);
  if (!NeedsTicks(core, *group)) {
    return;
  }
  SetGroupTimer(
      core, *group,
      core.now + (IsActive(*group) ? kActiveTickInterval : kIdleTickInterval));
}

}  // namespace marjoramslip
