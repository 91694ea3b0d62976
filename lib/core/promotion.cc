// Change of a group's primary where the platform promotes on request and
// statements carry no term: seal the record, wait until every instance has
// acknowledged it, promote the most advanced replica, open the next term.
//
// An instance releases answers of a primary only under its serving lease. The
// promotion is requested once no other instance can release an answer of the
// old term any more: each one has acknowledged the sealed record, or its
// membership lease was ended after the seal and its serving lease has expired
// since. docs/PROOFS.md has the argument.

#include <algorithm>
#include <string>
#include <utility>

#include "group_terms.h"

namespace marjoramslip {
namespace {

/// Interval at which the record is sent again to instances that have not
/// acknowledged it, and the step-down command to the old primary.
constexpr duration kCommandInterval = std::chrono::milliseconds(50);
/// Interval between reads of the list of instances.
constexpr duration kMembersReadInterval = std::chrono::milliseconds(500);
/// Time for a listed instance to acknowledge the sealed record before its
/// membership lease is ended.
constexpr duration kAckTimeout = std::chrono::milliseconds(350);
/// Interval between calls that end the same membership lease.
constexpr duration kMembershipEndInterval = std::chrono::milliseconds(300);
/// Additional time for all replicas to report their log positions before a
/// candidate is chosen from those that have.
constexpr duration kReplicaReportTimeout = std::chrono::milliseconds(60);
/// Delays before a request that had no effect is repeated, and before the
/// candidates that were given up are tried again. Each is twice the one before.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr duration kMaxRetryDelay = std::chrono::milliseconds(1600);
/// Upper bound on a promotion request and its answer. No request is started
/// if the duty may lapse within this time.
constexpr duration kDutyMargin = std::chrono::milliseconds(1100);
/// Time for a record to arrive after endpoints have reported a later term.
/// After that, this instance suspects the primary.
constexpr duration kLaterTermTimeout = std::chrono::milliseconds(500);
/// Time after which a primary that answers is handed its group back because the
/// platform has accepted no promotion, and time until a planned change that
/// ended so is tried again.
constexpr duration kStalledPromotionTimeout = std::chrono::milliseconds(1000);
constexpr duration kPlannedChangeRetryDelay = std::chrono::milliseconds(5000);
/// Time within which a request must be sent, and within which it is answered
/// or given up.
constexpr duration kSendLimit = std::chrono::milliseconds(500);
constexpr duration kRequestLimit = kSendLimit + kDutyMargin;

}  // namespace

void group_terms::SetDuty(const duty_seen& duty) {
  const std::uint64_t fence = duty.fence;
  const bool changing = step_ == step::kMoving || step_ == step::kPromoting;
  if (changing && !service_.term_bound && fence != 0 && fence != last_fence_) {
    // Another instance may have held the duty meanwhile.
    step_ = step::kIdle;
  }
  last_fence_ = fence != 0 ? fence : last_fence_;
  fence_ = fence;
  duty_usable_from_ = duty.usable_from;
  duty_until_ = duty.held_until;
}

bool group_terms::HoldsDuty(instant now) const {
  return service_.term_bound ||
         (fence_ != 0 && now + kDutyMargin < duty_until_);
}

bool group_terms::MayDrive(instant now) const {
  return HoldsDuty(now) && (service_.term_bound || now >= duty_usable_from_);
}

void group_terms::OnRecordAck(instance_id from, std::uint64_t revision,
                              instant now, effect_list& effects) {
  std::uint64_t& acknowledged = acknowledged_[from];
  if (acknowledged < phase_revision_ && revision >= phase_revision_) {
    last_acknowledgement_at_ = now;
  }
  acknowledged = std::max(acknowledged, revision);
  AdvanceChange(now, effects);
}

void group_terms::OnMembershipEnded(instance_id member, instant now) {
  memberships_ended_[member] = now;
}

// An instance that was listed after this phase began needs no acknowledgement:
// it reads the records after it is listed and before it serves.
bool group_terms::AllAcknowledged(std::uint64_t revision) const {
  return peers_listed_at_ >= phase_since_ &&
         std::all_of(
             peers_.begin(), peers_.end(), [&](const recent_peer& peer) {
               const auto entry = acknowledged_.find(peer.id);
               return entry != acknowledged_.end() && entry->second >= revision;
             });
}

bool group_terms::NoOtherServes(instant now) const {
  if (peers_listed_at_ < phase_since_ || !peers_known_since_.has_value()) {
    return false;
  }
  // An instance that vanished before this one first read the list is unknown.
  const instant unknown_expired =
      *peers_known_since_ + options_.majority_lease_wait;
  if (AllAcknowledged(phase_revision_)) {
    return now >= unknown_expired;
  }
  const duration wait = MajorityAcknowledged() ? options_.serving_lease_wait
                                               : options_.majority_lease_wait;
  // Until it acknowledged, an instance may have confirmed the leases of others.
  instant last_confirmation = std::max(phase_since_, last_acknowledgement_at_);
  for (const recent_peer& peer : peers_) {
    const auto entry = acknowledged_.find(peer.id);
    if (entry != acknowledged_.end() && entry->second >= phase_revision_) {
      continue;
    }
    const auto ended = memberships_ended_.find(peer.id);
    if (ended == memberships_ended_.end() || ended->second < phase_since_) {
      return false;
    }
    last_confirmation = std::max(last_confirmation, ended->second);
  }
  return now >= std::max(unknown_expired, last_confirmation + wait);
}

bool group_terms::MajorityAcknowledged() const {
  std::size_t acknowledged = 1;  // Counts this instance.
  for (const recent_peer& peer : peers_) {
    const auto entry = acknowledged_.find(peer.id);
    const bool counts = peer.established && entry != acknowledged_.end() &&
                        entry->second >= phase_revision_;
    acknowledged += counts ? 1 : 0;
  }
  return acknowledged * 2 > peers_.size() + 1;
}

void group_terms::EndSilentMemberships(instant now, effect_list& effects) {
  if (now < next_membership_end_ || peers_listed_at_ < phase_since_) {
    return;
  }
  for (const recent_peer& peer : peers_) {
    const auto ended = memberships_ended_.find(peer.id);
    const bool in_time = peer.listed && now - phase_since_ < kAckTimeout;
    if (acknowledged_[peer.id] < phase_revision_ && !in_time &&
        (ended == memberships_ended_.end() || ended->second < phase_since_)) {
      effects.emplace_back(end_membership{peer.id, peer.lease});
      next_membership_end_ = now + kMembershipEndInterval;
    }
  }
}

void group_terms::RequestMembers(instant now, effect_list& effects) {
  if (peers_listed_at_ < phase_since_ && now >= next_members_read_) {
    next_members_read_ = now + kMembersReadInterval;
    effects.emplace_back(read_members{});
  }
}

void group_terms::SendRecord(instant now, effect_list& effects) {
  RequestMembers(now, effects);
  EndSilentMemberships(now, effects);
  if (now < next_send_) {
    return;
  }
  next_send_ = now + kCommandInterval;
  for (const recent_peer& peer : peers_) {
    if (acknowledged_[peer.id] < record_.revision) {
      effects.emplace_back(
          send_peer_message{peer.id, record_update{id_, record_}});
    }
  }
}

void group_terms::AdvancePromotion(instant now, effect_list& effects) {
  SendRecord(now, effects);
  FindPromoted();
  if (HandBackIfReturned(now, effects)) {
    return;
  }
  if (step_ == step::kMoving && !promoted_) {
    if (!record_.record.candidate_chosen || candidate_given_up_) {
      ChooseForPromotion(now, effects);
      return;
    }
    EnterStep(step::kPromoting, now);
  }
  RequestPromotion(now, effects);
  OpenPromoted(now, effects);
}

endpoint_id group_terms::PresentPrimary() const {
  endpoint_id present;
  log_point end;
  log_point furthest;
  for (const auto& [id, view] : endpoints_) {
    const endpoint_state& state = view.state;
    if (!view.state_sampled_at.has_value()) {
      continue;
    }
    if (state.term > LogTerm()) {
      return {};
    }
    const log_point received = std::max(state.received_point, state.Point());
    furthest = std::max(furthest, received);
    if (*view.state_sampled_at >= phase_since_ &&
        !view.unreachable_since.has_value() &&
        state.role == endpoint_role::kPrimary && state.term == LogTerm() &&
        state.log_term == LogTerm()) {
      present = id;
      end = received;
    }
  }
  return end < furthest ? endpoint_id{} : present;
}

bool group_terms::IsPlanned() const {
  const group_record& record = record_.record;
  const endpoint_view* const primary = View(record.primary);
  return reason_ == reason::kPlanned ||
         (record.candidate != endpoint_id{} && !record.candidate_chosen) ||
         (primary != nullptr && primary->spec.leaving);
}

// The platform has one primary a term. While no later promotion takes effect,
// the primary of the last open term is the only one whose writes can be
// acknowledged, so opening the term again shows nothing that it must not.
void group_terms::HandBack(endpoint_id present, instant now,
                           effect_list& effects) {
  group_record next = record_.record;
  next.term = LogTerm();
  next.phase = group_phase::kOpen;
  next.primary = present;
  next.candidate = present;
  next.candidate_chosen = true;
  next.unsettled = NextUnsettled(now);
  // A database that restarted has another id and the same log.
  if (!endpoints_.contains(record_.record.primary)) {
    std::replace(next.witnesses.begin(), next.witnesses.end(),
                 record_.record.primary, present);
  }
  if (IsPlanned()) {
    next_planned_change_ = now + kPlannedChangeRetryDelay;
  }
  Log(effects, log_level::kInfo, "group.handed_back",
      "the primary of term " + std::to_string(next.term) +
          " has returned, state " + FormatEndpointState(View(present)->state),
      present);
  StartRecordWrite(std::move(next), step::kHandingBack, now, effects);
}

bool group_terms::IsPromotionStalled(instant now) const {
  const auto found = candidacies_.find(record_.record.candidate);
  return step_ == step::kPromoting && found != candidacies_.end() &&
         !found->second.in_flight && !found->second.accepted_at.has_value() &&
         now - step_since_ >= kStalledPromotionTimeout;
}

bool group_terms::HandBackIfReturned(instant now, effect_list& effects) {
  const endpoint_id present = PresentPrimary();
  if (present == endpoint_id{} || promoted_ || !MayDrive(now)) {
    return false;
  }
  const bool chosen = record_.record.candidate_chosen;
  const bool is_asked = chosen && present == record_.record.candidate;
  if (MayHaveBeenPromoted(present) &&
      !(is_asked && IsPresentForThePlatform(present, now))) {
    return false;
  }
  const bool is_excluded = (chosen && !candidate_given_up_) || IsPlanned() ||
                           reason_ == reason::kNotReplicating;
  if (is_excluded && !is_asked && !IsPromotionStalled(now)) {
    return false;
  }
  HandBack(present, now, effects);
  return true;
}

bool group_terms::IsEligible(const endpoint_view& view,
                             endpoint_id present) const {
  const endpoint_id id = view.spec.Id();
  const auto known = candidacies_.find(id);
  const bool given_up = known != candidacies_.end() && known->second.given_up;
  // For the present primary, the platform changes nothing.
  const bool has_stepped_down = view.state_sampled_at.has_value() &&
                                *view.state_sampled_at >= phase_since_ &&
                                view.state.role == endpoint_role::kReplica;
  return (id != Primary() || has_stepped_down) && id != present && !given_up &&
         !view.unreachable_since.has_value();
}

void group_terms::ChooseForPromotion(instant now, effect_list& effects) {
  if (!NoOtherServes(now) || !MayDrive(now) || now < next_choice_) {
    return;
  }
  if (service_.acknowledging_replicas > 0) {
    ChooseAcknowledging(now, effects);
    return;
  }
  const endpoint_id present = PresentPrimary();
  endpoint_id best;
  std::pair<bool, log_point> best_rank;
  bool complete = true;
  for (const auto& [id, view] : endpoints_) {
    if (!IsEligible(view, present)) {
      continue;
    }
    if (!view.state_sampled_at.has_value() ||
        *view.state_sampled_at < step_since_) {
      complete = false;
      continue;
    }
    const bool current = view.state.log_term >= LogTerm();
    const std::pair<bool, log_point> rank = {
        !view.spec.leaving,
        std::max(view.state.received_point, view.state.Point())};
    const bool preferred =
        id == record_.record.candidate && !record_.record.candidate_chosen;
    if (current && (best == endpoint_id{} || preferred || rank > best_rank)) {
      best = id;
      best_rank = rank;
    }
    if (preferred && current) {
      complete = true;
      break;
    }
  }
  const bool may_wait = now - step_since_ < kAckTimeout + kReplicaReportTimeout;
  if (!complete && may_wait) {
    return;
  }
  if (best == endpoint_id{}) {
    OnNoCandidate(present, now, effects);
    return;
  }
  WriteCandidate(best, best_rank.second, now, effects);
}

void group_terms::WriteCandidate(endpoint_id candidate, log_point point,
                                 instant now, effect_list& effects) {
  group_record next = record_.record;
  next.candidate = candidate;
  next.candidate_chosen = true;
  next.candidate_point = point;
  next.unsettled = NextUnsettled(now);
  candidacy& request = CandidacyOf(candidate);
  request.may_take_effect =
      request.may_take_effect || request.accepted_at.has_value();
  request.accepted_at.reset();
  next_promotion_ = {};
  Log(effects, log_level::kInfo, "group.candidate",
      "received up to " + FormatLogPoint(point) + ", state " +
          FormatEndpointState(View(candidate)->state) +
          (AllAcknowledged(phase_revision_)
               ? ", all instances hold the sealed record"
               : ", the leases of silent instances have expired"),
      candidate);
  StartRecordWrite(std::move(next), step::kChoosing, now, effects);
}

/// Opens the old term again where nothing else is left. If another database may
/// have been promoted unseen, the platform is asked for the old primary: it
/// changes nothing if that one still leads. Otherwise lets the candidates that
/// were given up be tried again after a while.
void group_terms::OnNoCandidate(endpoint_id present, instant now,
                                effect_list& effects) {
  if (present != endpoint_id{} && !MayHaveBeenPromoted(present)) {
    HandBack(present, now, effects);
    return;
  }
  if (present != endpoint_id{} && !CandidacyOf(present).given_up) {
    WriteCandidate(present, View(present)->state.Point(), now, effects);
    return;
  }
  const auto any_given_up =
      std::any_of(candidacies_.begin(), candidacies_.end(),
                  [](const auto& entry) { return entry.second.given_up; });
  if (!any_given_up) {
    return;
  }
  for (auto& [id, known] : candidacies_) {
    known.given_up = false;
  }
  next_choice_ = now + NextRetryDelay();
}

duration group_terms::NextRetryDelay() {
  retry_delay_ = std::clamp(2 * retry_delay_, kMinRetryDelay, kMaxRetryDelay);
  return retry_delay_;
}

void group_terms::RequestPromotion(instant now, effect_list& effects) {
  const endpoint_id candidate = record_.record.candidate;
  if (promoted_ || now < next_promotion_ || View(candidate) == nullptr ||
      !MayDrive(now) || !NoOtherServes(now)) {
    return;
  }
  candidacy& request = CandidacyOf(candidate);
  if (request.given_up || request.accepted_at.has_value() ||
      (request.in_flight && now - request.requested_at < kRequestLimit)) {
    return;
  }
  request.may_take_effect = request.may_take_effect || request.in_flight;
  request.in_flight = true;
  request.requested_at = now;
  ++promotion_attempts_;
  last_promotion_answer_.reset();
  Log(effects, log_level::kInfo, "group.promote",
      "attempt " + std::to_string(promotion_attempts_) +
          ": asking the platform, fence " + std::to_string(fence_),
      candidate);
  effects.emplace_back(
      promote_endpoint{candidate, Term(), fence_,
                       std::min(now + kSendLimit, duty_until_ - kDutyMargin)});
}

void group_terms::OnPromotionAnswered(const promotion_answered& answer,
                                      instant now, effect_list& effects) {
  LogPromotionAnswer(answer, effects);
  const auto found = candidacies_.find(answer.endpoint);
  if (found == candidacies_.end() || !found->second.in_flight) {
    return;  // It was requested in an earlier change.
  }
  candidacy& request = found->second;
  request.in_flight = false;
  switch (answer.outcome) {
    case promotion_outcome::kAccepted:
      request.accepted_at = now;
      break;
    case promotion_outcome::kNotRunning:
      request.given_up = true;
      break;
    case promotion_outcome::kUnknown:
      request.may_take_effect = true;
      [[fallthrough]];
    case promotion_outcome::kOverLimit:
    case promotion_outcome::kNotSent:
      next_promotion_ = now + NextRetryDelay();
      break;
  }
  AdvanceChange(now, effects);
}

/// Gives the candidate up if it can't be promoted: it is out of reach, the
/// platform refuses it, or its promotion does not take effect.
void group_terms::ReviewCandidate(instant now) {
  const endpoint_id candidate = record_.record.candidate;
  const endpoint_view* const view = View(candidate);
  candidacy& request = CandidacyOf(candidate);
  const bool lost = view == nullptr ||
                    (view->unreachable_since.has_value() &&
                     now - *view->unreachable_since >= options_.takeover_delay);
  // A platform that accepts nothing would not accept another candidate either,
  // which may have received less.
  const bool without_effect =
      request.accepted_at.has_value() && candidate != PresentPrimary() &&
      now - *request.accepted_at >= kPromotionEffectTimeout;
  if (lost || without_effect || request.given_up) {
    request.given_up = true;
    candidate_given_up_ = true;
    request.may_take_effect = request.may_take_effect || request.in_flight ||
                              request.accepted_at.has_value();
    request.accepted_at.reset();
    EnterStep(step::kMoving, now);
  }
}

/// Looks for a database that reports itself as the primary of a term after the
/// last open one, be it the candidate or another whose promotion took effect
/// late. The newest of them is the primary.
void group_terms::FindPromoted() {
  for (const auto& [id, view] : endpoints_) {
    const endpoint_state& state = view.state;
    const term_number newest =
        promoted_.has_value() ? promoted_fork_.term : LogTerm();
    if (view.state_sampled_at.has_value() &&
        state.role == endpoint_role::kPrimary && state.term > newest) {
      promoted_ = id;
      promoted_fork_ = {state.term, LogTerm(), state.received_point.position};
    }
  }
}

/// Reacts to an endpoint in a later term than that of the open record: a
/// promotion took effect late or was made from elsewhere. The record is read
/// again, and the primary is suspected if no newer record arrives in time.
void group_terms::OnNewerTermSeen(term_number term, instant now) {
  // The recorded primary may have returned under another id.
  const bool open = record_known_ && record_.revision != 0 &&
                    record_.record.phase == group_phase::kOpen;
  if (!open || term <= Term()) {
    return;
  }
  record_read_requested_ = true;
  newer_term_since_ = newer_term_since_.value_or(now);
  if (IsLaterTermOverdue(now) && !suspected_since_) {
    suspected_since_ = now;
  }
}

bool group_terms::IsLaterTermOverdue(instant now) const {
  return newer_term_since_.has_value() &&
         now - *newer_term_since_ >= kLaterTermTimeout;
}

void group_terms::OpenPromoted(instant now, effect_list& effects) {
  if (!promoted_ || !MayDrive(now) || !NoOtherServes(now)) {
    return;
  }
  // Not before: until a later primary leads, the old one may be handed the
  // group back.
  if (View(Primary()) != nullptr && *promoted_ != Primary()) {
    effects.emplace_back(move_endpoint{Primary(), promoted_fork_.term, false});
  }
  group_record next = record_.record;
  next.term = promoted_fork_.term;
  next.primary = *promoted_;
  next.candidate = *promoted_;
  next.candidate_chosen = true;
  next.phase = group_phase::kOpen;
  candidacies_[*promoted_].accepted_at.reset();
  next.unsettled = NextUnsettled(now);
  next.forks.Append(promoted_fork_);
  StartRecordWrite(std::move(next), step::kOpening, now, effects);
}

/// Another instance, or this one before, may have requested the candidate. The
/// record is written before it is requested again, so that no write of an
/// earlier holder of the duty can replace it afterwards.
void group_terms::TakeOverCandidate(instant now, effect_list& effects) {
  group_record next = record_.record;
  candidacy& request = CandidacyOf(next.candidate);
  request.may_take_effect = true;
  request.requested_at = now;
  next.unsettled = NextUnsettled(now);
  StartRecordWrite(std::move(next), step::kChoosing, now, effects);
}

void group_terms::ResumePromotion(instant now, effect_list& effects) {
  if (!MayDrive(now)) {
    return;
  }
  const group_record& record = record_.record;
  if (step_ == step::kIdle) {
    reason_ = record.phase == group_phase::kDraining ? reason::kPlanned
                                                     : reason::kUnreachable;
    if (record.phase == group_phase::kSealed && record.candidate_chosen) {
      TakeOverCandidate(now, effects);
      return;
    }
    EnterStep(record.phase == group_phase::kDraining ? step::kDraining
                                                     : step::kMoving,
              now);
    return;
  }
  if (step_ == step::kPromoting && !promoted_) {
    ReviewCandidate(now);
  }
}

}  // namespace marjoramslip
