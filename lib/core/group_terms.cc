// Endpoint states, permits, position samples and floors of a group.

#include "group_terms.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marjoramslip {

namespace {

// Mixes bits so that ids derived from a counter don't collide between
// processes.
std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}  // namespace

group_terms::group_terms(const core_options& options,
                         const service_spec& service, const group_spec& group)
    : options_(options), id_(group.Id()), name_(group.name) {
  live_instances_ = options.suspicion_quorum;
  SetSpec(service, group);
}

void group_terms::SetSpec(const service_spec& service,
                          const group_spec& group) {
  service_ = service;
  std::map<endpoint_id, endpoint_view> endpoints;
  for (const endpoint_spec& spec : group.endpoints) {
    const auto known = endpoints_.find(spec.Id());
    endpoint_view view;
    if (known != endpoints_.end() && known->second.spec.host == spec.host &&
        known->second.spec.port == spec.port) {
      view = std::move(known->second);
    }
    view.spec = spec;
    endpoints.emplace(spec.Id(), std::move(view));
  }
  for (const auto& [id, view] : endpoints_) {
    if (service_.acknowledging_replicas > 0 && !endpoints.contains(id)) {
      NoteDeparture(view);
    }
  }
  for (const auto& [id, view] : endpoints) {
    departed_.erase(id);
  }
  endpoints_ = std::move(endpoints);
}

endpoint_view* group_terms::Find(endpoint_id endpoint) {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const endpoint_view* group_terms::View(endpoint_id endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? nullptr : &found->second;
}

bool group_terms::IsWitness(endpoint_id endpoint) const {
  const std::vector<endpoint_id>& witnesses = record_.record.witnesses;
  return std::find(witnesses.begin(), witnesses.end(), endpoint) !=
         witnesses.end();
}

std::size_t group_terms::Majority() const {
  return record_.record.witnesses.size() / 2 + 1;
}

std::uint64_t group_terms::UniqueId() {
  ++unique_counter_;
  const std::uint64_t mixed =
      Mix(options_.process_seed ^ Mix(HashName(options_.instance_name)) ^
          Mix(id_.value + unique_counter_));
  return mixed == 0 ? 1 : mixed;
}

void group_terms::OnEndpointState(endpoint_id endpoint, instant sent_at,
                                  const endpoint_state& state, instant now) {
  endpoint_view* const view = Find(endpoint);
  if (view == nullptr) {
    return;
  }
  view->unreachable_since.reset();
  view->unanswered_since.reset();
  view->last_received_at = now;
  if (!state.complete) {
    OnLogPosition(*view, sent_at, state, now);
    return;
  }
  if (!view->state_sampled_at.has_value() ||
      sent_at >= *view->state_sampled_at) {
    view->state_sampled_at = sent_at;
    view->own_state_sampled_at = sent_at;
    view->own_state_term = state.term;
    view->log_sampled_at = std::max(view->log_sampled_at, sent_at);
    view->state = state;
  }
  if (!record_known_) {
    return;
  }
  if (state.term > Term()) {
    if (!service_.term_bound) {
      OnNewerTermSeen(state.term, now);
    }
    // Where one instance writes the first record, the watch delivers it. Reads
    // of all groups by all instances until then would overload the store.
    const bool first_awaited = !service_.term_bound && record_.revision == 0;
    record_read_requested_ = record_read_requested_ || !first_awaited;
    return;
  }
  const bool is_primary = endpoint == Primary();
  const bool acts_as_primary =
      state.role == endpoint_role::kPrimary && state.log_term == Term();
  if (state.term == Term() && state.log_term != 0 &&
      (!is_primary || acts_as_primary)) {
    view->evidence_at = std::max(view->evidence_at.value_or(sent_at), sent_at);
  }
  if (!is_primary) {
    return;
  }
  CoverDepartures(*view, sent_at);
  if (state.term == Term() && acts_as_primary) {
    samples_.Add(sent_at, {Term(), state.position});
    suspected_since_.reset();
    return;
  }
  // The record names this endpoint as the primary, but it reports another term
  // or role: it no longer is.
  if (Open() && sent_at >= record_changed_at_ &&
      !suspected_since_.has_value()) {
    suspected_since_ = now;
  }
}

// Handles an answer that gives the end of the log and nothing else.
void group_terms::OnLogPosition(endpoint_view& view, instant sent_at,
                                const endpoint_state& state, instant now) {
  if (!view.state_sampled_at.has_value() || sent_at < view.log_sampled_at) {
    return;
  }
  view.log_sampled_at = sent_at;
  OnNewerTermSeen(state.log_term, now);
  // Its log follows the term, so it has not been moved to a later one.
  if (record_known_ && state.log_term == Term()) {
    view.evidence_at = std::max(view.evidence_at.value_or(sent_at), sent_at);
  }
  view.state.log_term = state.log_term;
  view.state.position = state.position;
  const bool is_current_primary = view.spec.Id() == Primary() &&
                                  record_known_ && state.log_term == Term() &&
                                  view.state.term == Term() &&
                                  view.state.role == endpoint_role::kPrimary;
  if (is_current_primary) {
    CoverDepartures(view, sent_at);
  }
  if (is_current_primary && state.position >= samples_.NewestPosition()) {
    samples_.Add(sent_at, state.Point());
  }
  if (is_current_primary && suspected_since_.has_value() &&
      sent_at > *suspected_since_) {
    suspected_since_.reset();
  }
  if (HoldsPermit(now)) {
    samples_.Confirm(now);
  }
}

void group_terms::OnRecord(const versioned_record& record, instant now,
                           effect_list& effects) {
  if (record.revision == 0) {
    record_known_ = true;
    return;
  }
  if (pending_write_ != operation_id{} &&
      record.record.writer == pending_record_.writer) {
    // The watch delivered this instance's own write before its answer came.
    OnWritten(record_written{pending_write_, id_, write_outcome::kApplied,
                             record.revision},
              now, effects);
    return;
  }
  if (record_known_ && record.revision <= record_.revision) {
    // There is no newer record. If a delayed write makes one, the watch
    // delivers it.
    record_read_requested_ =
        record_read_requested_ && record.revision < record_.revision;
    return;
  }
  record_known_ = true;
  record_read_requested_ = false;
  const term_number old_term = Term();
  const term_number old_log_term = LogTerm();
  const bool was_open = Open();
  record_ = record;
  if (LogTerm() != old_log_term) {
    departed_.clear();
  }
  record_changed_at_ = now;
  newer_term_since_.reset();
  // Another instance's write supersedes the step in progress here.
  step_ = step::kIdle;
  candidate_given_up_ = false;
  FollowUnsettled(now);
  if (Term() != old_term || Open()) {
    phase_since_ = now;
    phase_revision_ = record_.revision;
    reports_since_.reset();
  }
  if (Term() != old_term) {
    ClearTermState();
  }
  if (was_open && !Open() && !write_gap_since_.has_value()) {
    write_gap_since_ = now;
  }
  if (Open()) {
    write_gap_since_.reset();
  }
  Log(effects, log_level::kInfo, "group.record",
      "phase " + std::to_string(static_cast<int>(record_.record.phase)) +
          " at revision " + std::to_string(record_.revision),
      Primary());
}

void group_terms::ClearTermState() {
  if (service_.term_bound) {
    samples_.Clear();
  } else {
    samples_.DropUnconfirmed();
  }
  peer_suspicions_.clear();
  suspected_since_.reset();
  suspicion_reported_ = false;
  replication_progress_ = {};
  replication_stalled_ = false;
  moved_.clear();
  majority_moved_.reset();
  promoted_.reset();
  candidacies_.clear();
  next_promotion_ = {};
  next_choice_ = {};
  retry_delay_ = {};
  promotion_attempts_ = 0;
  last_promotion_answer_.reset();
  for (auto& [id, view] : endpoints_) {
    view.evidence_at.reset();
    view.next_probe = {};
  }
}

bool group_terms::Open() const {
  return record_known_ && record_.revision != 0 &&
         record_.record.phase == group_phase::kOpen &&
         endpoints_.contains(Primary());
}

term_number group_terms::LogTerm() const {
  const auto forks = Forks().Forks();
  return forks.empty() ? 0 : forks.back().term;
}

bool group_terms::HoldsPermit(instant now) const {
  if (!record_known_ || record_.revision == 0 ||
      record_.record.phase == group_phase::kSealed) {
    return false;
  }
  if (!service_.term_bound && now >= serving_until_) {
    return false;
  }
  const auto has_evidence = [&](endpoint_id id) {
    const endpoint_view* const view = View(id);
    return view != nullptr && view->evidence_at.has_value() &&
           now - *view->evidence_at <= options_.permit;
  };
  // Without term-bound statements, an answer of the primary itself shows that
  // it is at the term.
  if (service_.term_bound && !has_evidence(Primary())) {
    return false;
  }
  const auto& witnesses = record_.record.witnesses;
  const auto count =
      std::count_if(witnesses.begin(), witnesses.end(), has_evidence);
  return static_cast<std::size_t>(count) >= Majority();
}

std::optional<log_point> group_terms::SampleSince(instant since, instant now) {
  if (HoldsPermit(now)) {
    samples_.Confirm(now);
  } else if (service_.term_bound) {
    return std::nullopt;
  }
  return samples_.EarliestConfirmed(since);
}

bool group_terms::ContainsLogUpTo(endpoint_id endpoint, log_point point) const {
  const endpoint_view* const view = View(endpoint);
  return view != nullptr && view->state.term == Term() &&
         view->state.log_term == Term() &&
         Forks().Contains(view->state.Point(), point);
}

ack_state group_terms::WriteAckState(log_point point, instant answered_at,
                                     instant now) const {
  if (!HoldsPermit(now)) {
    return ack_state::kWait;
  }
  if (IsBeyondFork(point)) {
    return ack_state::kLost;
  }
  if (newer_term_since_.has_value() || !NonePromotedBefore(answered_at, now)) {
    return ack_state::kWait;
  }
  // A write of an earlier term is in the open term's log unless it is beyond
  // the fork.
  if (service_.ack == ack_policy::kPrimary) {
    return ack_state::kAllowed;
  }
  std::size_t holders = 1;  // Counts the primary.
  for (const endpoint_id id : record_.record.witnesses) {
    holders += id != Primary() && ContainsLogUpTo(id, point) ? 1 : 0;
  }
  return holders >= Majority() ? ack_state::kAllowed : ack_state::kWait;
}

log_point group_terms::SurvivingFloor(log_point floor) const {
  const bool acknowledged_writes_survive =
      service_.ack == ack_policy::kReplica || !service_.term_bound;
  return acknowledged_writes_survive ? Forks().Surviving(LogTerm(), floor)
                                     : floor;
}

bool group_terms::IsBeyondFork(log_point floor) const {
  return Forks().Lost(LogTerm(), floor);
}

bool group_terms::IsFloorLost(log_point floor) const {
  return Forks().Lost(LogTerm(), SurvivingFloor(floor));
}

bool group_terms::ServesReads(endpoint_id endpoint) const {
  const endpoint_view* const view = View(endpoint);
  if (view == nullptr || !record_known_ || record_.revision == 0) {
    return false;
  }
  if (view->spec.leaving || view->unreachable_since.has_value()) {
    return false;
  }
  const endpoint_state& state = view->state;
  if (!service_.term_bound) {
    // The database checks the position that a read requires.
    return state.log_term == LogTerm();
  }
  if (state.term != Term()) {
    return false;
  }
  if (endpoint == Primary() && Open()) {
    return state.role == endpoint_role::kPrimary && state.log_term == Term();
  }
  return state.role == endpoint_role::kReplica && state.log_term == LogTerm();
}

log_point group_terms::Later(log_point a, log_point b) const {
  return Forks().Later(LogTerm(), SurvivingFloor(a), SurvivingFloor(b));
}

bool group_terms::Covers(log_point reached, log_point floor) const {
  return Forks().Contains(reached, SurvivingFloor(floor));
}

bool group_terms::Reaches(endpoint_id endpoint, log_point floor) const {
  const endpoint_view* const view = View(endpoint);
  return view != nullptr && Covers(view->state.Point(), floor);
}

bool group_terms::Suspects(endpoint_id endpoint) const {
  return endpoint == Primary() && suspected_since_.has_value();
}

void group_terms::Log(effect_list& effects, log_level level,
                      std::string_view name, std::string text,
                      endpoint_id endpoint) const {
  log_line line;
  line.level = level;
  line.event = name;
  line.text = std::move(text);
  line.group = id_;
  line.endpoint = endpoint;
  line.term = Term();
  effects.emplace_back(std::move(line));
}

}  // namespace marjoramslip
