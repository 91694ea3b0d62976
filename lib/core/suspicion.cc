// Probes of a group's endpoints and failure detection of its primary.

#include <algorithm>

#include "group_terms.h"

namespace marjoramslip {

namespace {

// New connections must fail for at least this long to raise a suspicion.
constexpr duration kFailureConfirmation = std::chrono::milliseconds(50);
// Interval at which a suspicion is repeated to the other instances.
constexpr duration kSuspicionReportInterval = std::chrono::milliseconds(300);
// Time after which a primary that no release note declares is replaced.
constexpr duration kUndeclaredPrimaryTimeout = std::chrono::seconds(3);
// An endpoint that accepts connections counts as down once it has answered
// nothing for this long. After a restart of a fleet, the connections that all
// instances open take the slots of a healthy endpoint for several hundred
// milliseconds.
constexpr duration kUnansweredTimeout = std::chrono::milliseconds(1000);
// Pause after a probe that a full or slow endpoint did not serve. Each probe
// takes a slot, and often a connection, from the statements that the endpoint
// is too busy to serve.
constexpr duration kMinProbeBackoff = std::chrono::milliseconds(50);
constexpr duration kMaxProbeBackoff = std::chrono::seconds(1);
// Time for a database that is busy with reads to report its log where a change
// of primary depends on it.
constexpr duration kReportTimeout = std::chrono::seconds(1);
// Replication counts as stalled if no lagging replica advances for this long.
constexpr duration kReplicationStallTimeout = std::chrono::milliseconds(2000);

void BackOff(endpoint_view& view, instant now) {
  view.probe_backoff =
      std::clamp(view.probe_backoff * 2, kMinProbeBackoff, kMaxProbeBackoff);
  view.probe_backoff_until = now + view.probe_backoff;
}

/// Notes that the endpoint accepted a connection but left it unanswered.
/// Returns true if it has answered nothing for long enough to count as down.
bool IsUnansweredForLong(endpoint_view& view, instant now) {
  if (!view.unanswered_since.has_value()) {
    view.unanswered_since = now;
  }
  return now - *view.unanswered_since >= kUnansweredTimeout;
}

}  // namespace

void group_terms::OnProbeAnswered(const probe_answered& answer, instant now) {
  if (endpoint_view* const view = Find(answer.endpoint)) {
    view->probe_sent_at.reset();
    view->new_connection_required = false;
    view->probe_backoff = {};
    view->probe_backoff_until = {};
  }
  OnEndpointState(answer.endpoint, answer.sent_at, answer.state, now);
}

void group_terms::OnProbeFailed(const probe_failed& failure, instant now) {
  endpoint_view* const view = Find(failure.endpoint);
  if (view == nullptr) {
    return;
  }
  view->probe_sent_at.reset();
  if (failure.limit_reached) {
    // The endpoint is up but at its connection limit. More probes would only
    // take connections from others.
    view->unreachable_since.reset();
    view->new_connection_required = false;
    view->next_probe = now + options_.probe_interval;
    BackOff(*view, now);
    return;
  }
  if (view->last_received_at > failure.sent_at) {
    // It has answered other requests since: the probe's connection is broken,
    // or the endpoint is slow.
    view->new_connection_required = true;
    view->next_probe = now + options_.probe_interval;
    BackOff(*view, now);
    return;
  }
  if (failure.unanswered && !IsUnansweredForLong(*view, now)) {
    view->new_connection_required = true;
    view->next_probe = now + options_.probe_interval;
    BackOff(*view, now);
    return;
  }
  if (failure.new_connection) {
    RecordConnectionFailure(*view, failure.sent_at, now);
    return;
  }
  if (!view->unreachable_since.has_value()) {
    view->unreachable_since = failure.sent_at;
  }
  view->new_connection_required = true;
  view->next_probe = now;
}

void group_terms::OnConnectionFault(endpoint_id endpoint, instant now) {
  endpoint_view* const view = Find(endpoint);
  if (view == nullptr) {
    return;
  }
  view->new_connection_required = true;
  view->next_probe = std::min(view->next_probe, now);
}

void group_terms::OnNewConnectionFailed(endpoint_id endpoint, instant sent_at,
                                        bool unanswered, instant now) {
  endpoint_view* const view = Find(endpoint);
  // An endpoint that has answered other requests since is overloaded, not down.
  if (view == nullptr || view->last_received_at > sent_at ||
      (unanswered && !IsUnansweredForLong(*view, now))) {
    return;
  }
  RecordConnectionFailure(*view, now, now);
}

void group_terms::RecordConnectionFailure(endpoint_view& view, instant since,
                                          instant now) {
  if (!view.unreachable_since.has_value()) {
    view.unreachable_since = since;
  }
  view.new_connection_required = true;
  const bool confirmed = now - *view.unreachable_since >= kFailureConfirmation;
  const duration delay =
      confirmed ? options_.probe_interval : kFailureConfirmation;
  view.next_probe = now + delay;
  if (confirmed && view.spec.Id() == Primary() && Open() &&
      !suspected_since_.has_value()) {
    suspected_since_ = now;
  }
}

void group_terms::OnSuspicion(instance_id from, const suspicion_report& report,
                              instant now) {
  if (report.term != Term() || report.endpoint != Primary()) {
    return;
  }
  if (!report.suspected) {
    peer_suspicions_.erase(from);
    return;
  }
  const bool is_new = peer_suspicions_.insert_or_assign(from, now).second;
  endpoint_view* const view = Find(Primary());
  if (is_new && view != nullptr && !suspected_since_.has_value()) {
    view->new_connection_required = true;
    view->next_probe = std::min(view->next_probe, now);
  }
}

bool group_terms::SuspicionQuorumReached(instant now) const {
  if (!suspected_since_.has_value()) {
    return false;
  }
  std::uint32_t agreeing = 1;
  for (const auto& [from, received_at] : peer_suspicions_) {
    if (now - received_at <= options_.suspicion_age) {
      ++agreeing;
    }
  }
  return agreeing >= std::min(options_.suspicion_quorum, live_instances_);
}

void group_terms::SendSuspicion(instant now, effect_list& effects) {
  const bool suspected = suspected_since_.has_value();
  if (!suspected && !suspicion_reported_) {
    return;
  }
  if (suspected && suspicion_reported_ && now < next_suspicion_report_) {
    return;
  }
  suspicion_reported_ = suspected;
  next_suspicion_report_ = now + kSuspicionReportInterval;
  suspicion_report report;
  report.group = id_;
  report.endpoint = Primary();
  report.term = Term();
  report.suspected = suspected;
  effects.emplace_back(send_peer_message{instance_id{}, report});
}

void group_terms::CheckReplicationProgress(instant now) {
  // Writes depend on replication only if they wait for a replica.
  if (service_.ack != ack_policy::kReplica || !Open()) {
    replication_progress_.last_progress_at = now;
    return;
  }
  log_position best_position = 0;
  bool any_reachable = false;
  for (const auto& [id, view] : endpoints_) {
    if (id == Primary() || !IsWitness(id) || view.unreachable_since ||
        !view.state_sampled_at.has_value()) {
      continue;
    }
    any_reachable = true;
    if (view.state.log_term == Term()) {
      best_position = std::max(best_position, view.state.position);
    }
  }
  const bool behind = best_position < replication_progress_.target_position;
  if (!any_reachable || !behind ||
      best_position > replication_progress_.best_position) {
    replication_progress_.last_progress_at = now;
    replication_progress_.target_position = samples_.NewestPosition();
  }
  replication_progress_.best_position = best_position;
  replication_stalled_ =
      now - replication_progress_.last_progress_at >= kReplicationStallTimeout;
  if (replication_stalled_ && !suspected_since_.has_value()) {
    suspected_since_ = now;
  }
}

void group_terms::EvaluateUndeclaredPrimary(instant now, effect_list& effects) {
  const bool undeclared = record_.record.phase == group_phase::kOpen &&
                          !endpoints_.contains(Primary());
  if (!undeclared) {
    undeclared_since_.reset();
    return;
  }
  if (!undeclared_since_.has_value()) {
    undeclared_since_ = now;
  }
  // The release note that declares the primary may not have arrived yet. A
  // primary that started again has returned under another id, and a later term
  // has another primary.
  const bool is_replaced =
      !service_.term_bound &&
      (PresentPrimary() != endpoint_id{} || IsLaterTermOverdue(now));
  if ((is_replaced || now - *undeclared_since_ >= kUndeclaredPrimaryTimeout) &&
      step_ == step::kIdle && MayDrive(now)) {
    StartSealing(reason::kUnreachable, endpoint_id{}, now, effects);
  }
}

void group_terms::EvaluatePrimary(instant now, effect_list& effects) {
  CheckReplicationProgress(now);
  SendSuspicion(now, effects);
  EvaluateUndeclaredPrimary(now, effects);
  if (!Open() || step_ != step::kIdle || !MayDrive(now) ||
      (!SuspicionQuorumReached(now) && !IsLaterTermOverdue(now))) {
    return;
  }
  const reason change_reason =
      replication_stalled_ ? reason::kNotReplicating : reason::kUnreachable;
  StartSealing(change_reason, endpoint_id{}, now, effects);
}

instant group_terms::ProbeDueAt(const endpoint_view& view) const {
  if (!service_.term_bound) {
    // Answers to statements supply the evidence. Probes are needed only for
    // endpoints of unknown state and during a change of primary.
    // The holder of the duty acts on states that it has seen itself.
    const bool provided = relayed_ && fence_ == 0;
    const bool unknown = !view.state_sampled_at.has_value() && !provided;
    const bool needed = unknown || view.new_connection_required ||
                        view.unreachable_since.has_value() ||
                        newer_term_since_.has_value() || step_ != step::kIdle;
    return needed ? view.next_probe : instant::max();
  }
  if (view.next_probe == instant{} || !view.state_sampled_at.has_value() ||
      view.new_connection_required) {
    return view.next_probe;
  }
  // Answers to statements make a probe unnecessary.
  return std::max(view.next_probe,
                  *view.state_sampled_at + options_.probe_interval);
}

void group_terms::SendProbe(endpoint_view& view, instant now,
                            effect_list& effects) {
  probe_endpoint probe;
  probe.endpoint = view.spec.Id();
  probe.timeout = AwaitsReports() ? kReportTimeout : options_.probe_timeout;
  probe.new_connection = view.new_connection_required;
  view.probe_sent_at = now;
  view.next_probe = now + options_.probe_interval;
  effects.emplace_back(probe);
}

bool group_terms::ReplicaProbeDue(const endpoint_view& view,
                                  instant now) const {
  if (!replica_positions_requested_) {
    return false;
  }
  const duration interval = service_.term_bound
                                ? options_.probe_interval_waiting
                                : options_.probe_interval;
  // Only a full state shows whether a promotion has taken effect.
  const bool full = service_.term_bound || IsUnsettled(view, now);
  const instant last_sampled_at =
      full ? view.own_state_sampled_at.value_or(instant{})
           : std::max(view.state_sampled_at.value_or(instant{}),
                      view.log_sampled_at);
  return last_sampled_at == instant{} || now - last_sampled_at >= interval;
}

void group_terms::SendProbes(instant now, effect_list& effects) {
  for (auto& [id, view] : endpoints_) {
    if (view.probe_sent_at.has_value()) {
      if (now - *view.probe_sent_at < 4 * options_.probe_timeout) {
        continue;
      }
      view.probe_sent_at.reset();
    }
    // A change of primary needs the states, at the usual interval.
    if (now < (step_ == step::kIdle
                   ? view.probe_backoff_until
                   : std::min(view.probe_backoff_until, view.next_probe))) {
      continue;
    }
    const bool is_primary = id == Primary();
    const bool requested =
        is_primary ? sample_requested_ : ReplicaProbeDue(view, now);
    const bool send_early = requested && !view.unreachable_since.has_value();
    if (!send_early && now < ProbeDueAt(view)) {
      continue;
    }
    SendProbe(view, now, effects);
    if (is_primary) {
      sample_requested_ = false;
    }
  }
  replica_positions_requested_ = false;
}

}  // namespace marjoramslip
