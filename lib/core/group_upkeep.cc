// Maintenance of a group between changes of primary: writing its first record,
// moving databases that missed a change, updating the set of witnesses.

#include <algorithm>
#include <string>
#include <utility>

#include "group_terms.h"

namespace marjoramslip {

namespace {

/// Time for all endpoints of a new group to report. After that, a majority is
/// enough for the first record.
constexpr duration kCreationDelay = std::chrono::milliseconds(500);
/// Interval between attempts to move databases that missed a change to the
/// present term.
constexpr duration kLaggingMoveInterval = std::chrono::milliseconds(500);
/// Interval between reviews of the set of witnesses.
constexpr duration kReviewInterval = std::chrono::seconds(5);
/// The same where databases register themselves, so that the set is soon out of
/// date.
constexpr duration kRegisteredReviewInterval = std::chrono::seconds(1);
/// Time without a change in the number of registered databases after which a
/// group counts as complete.
constexpr duration kRegistrationQuietTime = std::chrono::milliseconds(1500);
/// Interval between reviews while the present set of witnesses gives no permit.
constexpr duration kReviewIntervalWithoutPermit =
    std::chrono::milliseconds(200);

}  // namespace

/// Returns true while endpoints are still being declared. Databases that
/// register themselves do so one after another.
bool group_terms::AwaitingDeclarations(instant now) {
  if (service_.term_bound) {
    return false;
  }
  if (declared_count_ != endpoints_.size()) {
    declared_count_ = endpoints_.size();
    declared_count_since_ = now;
  }
  return now - declared_count_since_ < kRegistrationQuietTime;
}

void group_terms::CreateRecord(instant now, effect_list& effects) {
  if (AwaitingDeclarations(now)) {
    return;
  }
  const endpoint_view* primary = nullptr;
  std::vector<endpoint_id> witnesses;
  for (const auto& [id, view] : endpoints_) {
    if (view.state.role != endpoint_role::kPrimary || !view.state_sampled_at) {
      continue;
    }
    if (primary != nullptr) {
      Log(effects, log_level::kError, "group.ambiguous",
          "two databases of a new group report the role of primary", id);
      return;
    }
    primary = &view;
  }
  if (primary == nullptr || primary->state.log_term == 0) {
    return;
  }
  const term_number term = primary->state.term;
  for (const auto& [id, view] : endpoints_) {
    if (view.state.term == term && view.state.log_term == term) {
      witnesses.push_back(id);
    }
  }
  const bool complete = witnesses.size() == endpoints_.size();
  const bool is_majority = witnesses.size() * 2 > endpoints_.size();
  if (!complete && (!is_majority || now - step_since_ < kCreationDelay)) {
    return;
  }
  group_record record;
  record.term = term;
  record.primary = primary->spec.Id();
  record.candidate = record.primary;
  record.candidate_chosen = true;
  record.forks = fork_history({fork_point{term, 0, 0}});
  record.witnesses = std::move(witnesses);
  StartRecordWrite(std::move(record), step::kCreating, now, effects);
}

std::vector<endpoint_id> group_terms::NextWitnesses() const {
  std::vector<endpoint_id> witnesses;
  for (const auto& [id, view] : endpoints_) {
    const bool caught_up =
        view.state.log_term == Term() && view.state.term == Term();
    if (caught_up || IsWitness(id)) {
      witnesses.push_back(id);
    }
  }
  return witnesses;
}

void group_terms::MoveLaggingEndpoints(instant now, effect_list& effects) {
  if (!service_.term_bound || !Open() || step_ != step::kIdle ||
      now < next_lagging_move_) {
    return;
  }
  next_lagging_move_ = now + kLaggingMoveInterval;
  for (const auto& [id, view] : endpoints_) {
    // A database that missed the change is a usable witness again once it is
    // moved to the term. A new one reaches the term by replication.
    const bool behind = view.state.log_term != 0 && view.state.term < Term();
    if (behind && view.state_sampled_at.has_value() &&
        !view.unreachable_since) {
      effects.emplace_back(move_endpoint{id, Term()});
    }
  }
}

bool group_terms::MayBecomeWitness(const endpoint_view& view) const {
  return !IsWitness(view.spec.Id()) && !view.spec.leaving &&
         ContainsLogUpTo(view.spec.Id(), log_point{Term(), 0});
}

/// Adds or removes one witness within the term. Majorities of two sets that
/// differ by one member intersect, so permits obtained from the old set remain
/// safe for instances that use the new one.
void group_terms::ReplaceWitness(instant now, effect_list& effects) {
  std::vector<endpoint_id> witnesses = record_.record.witnesses;
  const auto removed =
      std::find_if(witnesses.begin(), witnesses.end(),
                   [this](endpoint_id id) { return !endpoints_.contains(id); });
  if (removed != witnesses.end()) {
    witnesses.erase(removed);
  } else {
    const auto added = std::find_if(
        endpoints_.begin(), endpoints_.end(),
        [this](const auto& entry) { return MayBecomeWitness(entry.second); });
    if (added == endpoints_.end()) {
      return;
    }
    witnesses.push_back(added->first);
  }
  WriteWitnesses(std::move(witnesses), now, effects);
}

/// Replaces all witnesses that are gone by all databases of the term. The sets
/// need not intersect: every instance holds the record, so none is left out of
/// the wait for acknowledgements or leases at the next change of primary.
void group_terms::ReplaceLostWitnesses(instant now, effect_list& effects) {
  std::vector<endpoint_id> witnesses = record_.record.witnesses;
  std::erase_if(witnesses,
                [this](endpoint_id id) { return !endpoints_.contains(id); });
  for (const auto& [id, view] : endpoints_) {
    if (MayBecomeWitness(view)) {
      witnesses.push_back(id);
    }
  }
  if (witnesses != record_.record.witnesses) {
    WriteWitnesses(std::move(witnesses), now, effects);
  }
}

void group_terms::WriteWitnesses(std::vector<endpoint_id> witnesses,
                                 instant now, effect_list& effects) {
  Log(effects, log_level::kInfo, "group.witnesses",
      std::to_string(witnesses.size()) + " databases are witnesses of the term",
      Primary());
  group_record next = record_.record;
  next.witnesses = std::move(witnesses);
  StartRecordWrite(std::move(next), step::kReplacingWitnesses, now, effects);
}

bool group_terms::AwaitsWitnessReview(instant now) const {
  if (service_.term_bound || !Open() || !MayDrive(now)) {
    return false;
  }
  const auto& witnesses = record_.record.witnesses;
  return std::any_of(
             witnesses.begin(), witnesses.end(),
             [this](endpoint_id id) { return !endpoints_.contains(id); }) ||
         std::any_of(endpoints_.begin(), endpoints_.end(),
                     [this](const auto& entry) {
                       return !entry.second.spec.leaving &&
                              !entry.second.unreachable_since.has_value() &&
                              !IsWitness(entry.first);
                     });
}

/// Reviews the set of witnesses where the platform promotes. Only the holder of
/// the duty changes the set. Without a permit, as when a majority is lost for
/// good, it does so once every instance that may hold evidence from the old set
/// has acknowledged the record.
void group_terms::ReviewWitnessesAsDutyHolder(instant now,
                                              effect_list& effects) {
  if (!MayDrive(now)) {
    return;
  }
  if (HoldsPermit(now)) {
    ReplaceWitness(now, effects);
    return;
  }
  if (AwaitsWitnessReview(now)) {
    // Without callers nobody else asks for the evidence of a permit.
    RequestSample();
    RequestReplicaPositions();
    next_review_ = now + kReviewIntervalWithoutPermit;
  }
  const auto& witnesses = record_.record.witnesses;
  const bool any_removed =
      std::any_of(witnesses.begin(), witnesses.end(),
                  [this](endpoint_id id) { return !endpoints_.contains(id); });
  if (!any_removed && IsWitness(Primary())) {
    return;
  }
  next_review_ = now + kReviewIntervalWithoutPermit;
  RequestMembers(now, effects);
  if (AllAcknowledged(record_.revision)) {
    ReplaceLostWitnesses(now, effects);
    return;
  }
  for (const recent_peer& peer : peers_) {
    effects.emplace_back(
        send_peer_message{peer.id, record_update{id_, record_}});
  }
}

void group_terms::ReviewWitnesses(instant now, effect_list& effects) {
  if (now < next_review_) {
    return;
  }
  next_review_ =
      now + (service_.term_bound ? kReviewInterval : kRegisteredReviewInterval);
  if (!Open() || step_ != step::kIdle) {
    return;
  }
  if (!service_.term_bound) {
    ReviewWitnessesAsDutyHolder(now, effects);
    return;
  }
  if (!HoldsPermit(now)) {
    return;
  }
  if (NextWitnesses() != record_.record.witnesses) {
    Log(effects, log_level::kInfo, "group.witnesses",
        "the set of databases changed; opening a new term with new witnesses",
        Primary());
    StartSealing(reason::kPlanned, Primary(), now, effects);
  }
}

}  // namespace marjoramslip
