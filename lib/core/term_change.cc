// The change of a group's primary: seal the record, move a majority of the
// witnesses to the new term, choose the most advanced of them, promote it, wait
// for permits to lapse, open the record.

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "group_terms.h"

namespace marjoramslip {

namespace {

// Interval at which a command to an endpoint is repeated.
constexpr duration kCommandInterval = std::chrono::milliseconds(100);
// Time for the other endpoints to answer once a majority has moved.
constexpr duration kMoveGracePeriod = std::chrono::milliseconds(30);
// Time that a planned change waits for the old primary to move.
constexpr duration kPlannedMoveTimeout = std::chrono::milliseconds(500);
// Time that a planned change waits for a new set of witnesses to catch up.
constexpr duration kWitnessCatchUpTimeout = std::chrono::milliseconds(500);
// Interval at which a missing or outdated record is read again.
constexpr duration kRecordReadInterval = std::chrono::milliseconds(200);
// Range over which instances spread the takeover of an abandoned change.
constexpr duration kTakeoverJitter = std::chrono::milliseconds(300);

}  // namespace

void group_terms::EnterStep(step next, instant now) {
  step_ = next;
  step_since_ = now;
  next_send_ = now;
}

void group_terms::StartRecordWrite(group_record record, step next_step,
                                   instant now, effect_list& effects) {
  record.writer = UniqueId();
  pending_write_ = operation_id{record.writer};
  pending_record_ = std::move(record);
  EnterStep(next_step, now);
  write_record write;
  write.operation = pending_write_;
  write.group = id_;
  write.expected_revision = record_.revision;
  write.record = pending_record_;
  effects.emplace_back(std::move(write));
}

void group_terms::OnWritten(const record_written& result, instant now,
                            effect_list& effects) {
  if (result.operation != pending_write_) {
    return;
  }
  pending_write_ = operation_id{};
  if (result.outcome != write_outcome::kApplied) {
    step_ = step::kIdle;
    record_read_requested_ = true;
    Log(effects, log_level::kWarning, "group.write",
        result.outcome == write_outcome::kConflict
            ? "record write conflict: another instance changed the record first"
            : "record write outcome unknown; reading the record again",
        Primary());
    return;
  }
  const step written_step = step_;
  const reason change_reason = reason_;
  const auto write_gap_since = write_gap_since_;
  OnRecord(versioned_record{pending_record_, result.revision}, now, effects);
  if (record_.record.writer != pending_record_.writer) {
    return;
  }
  effects.emplace_back(
      send_peer_message{instance_id{}, record_update{id_, record_}});
  reason_ = change_reason;
  switch (written_step) {
    case step::kDraining:
      EnterStep(step::kDraining, now);
      break;
    case step::kSealing:
      write_gap_since_ = write_gap_since;
      EnterStep(step::kMoving, now);
      break;
    case step::kChoosing:
      EnterStep(step::kPromoting, now);
      break;
    case step::kHandingBack:
    case step::kOpening: {
      effects.emplace_back(counter_increment{
          written_step == step::kOpening ? counter::kPromotionsFinished
                                         : counter::kPrimariesHandedBack,
          1, id_});
      const duration gap = now - write_gap_since.value_or(now);
      effects.emplace_back(
          counter_increment{counter::kFailoverGapMicroseconds,
                            static_cast<std::uint64_t>(gap.count()), id_});
      Log(effects, log_level::kInfo, "group.opened",
          "writes resume after " + std::to_string(gap.count() / 1000) + " ms",
          Primary());
      break;
    }
    default:
      break;
  }
  AdvanceChange(now, effects);
}

void group_terms::StartSealing(reason change_reason, endpoint_id preferred,
                               instant now, effect_list& effects) {
  group_record next = record_.record;
  next.term = Term() + 1;
  next.phase = group_phase::kSealed;
  next.candidate = preferred;
  next.candidate_chosen = false;
  next.candidate_point = {};
  reason_ = change_reason;
  if (!write_gap_since_.has_value()) {
    const endpoint_view* const primary = View(Primary());
    write_gap_since_ =
        primary == nullptr || !primary->unreachable_since.has_value()
            ? now
            : *primary->unreachable_since;
  }
  effects.emplace_back(counter_increment{counter::kPromotionsStarted, 1, id_});
  Log(effects, log_level::kWarning, "group.seal",
      "sealing term " + std::to_string(next.term), Primary());
  StartRecordWrite(std::move(next), step::kSealing, now, effects);
}

void group_terms::MoveEndpoints(instant now, effect_list& effects) {
  if (now < next_send_) {
    return;
  }
  next_send_ = now + kCommandInterval;
  for (const auto& [id, view] : endpoints_) {
    if (!moved_.contains(id)) {
      effects.emplace_back(move_endpoint{id, Term()});
    }
  }
}

void group_terms::OnMoved(const endpoint_moved& answer, instant now,
                          effect_list& effects) {
  OnEndpointState(answer.endpoint, answer.sent_at, answer.state, now);
  const bool moving = step_ == step::kMoving || step_ == step::kPromoting;
  if (!moving || answer.state.term != Term()) {
    return;
  }
  const bool is_vote = IsWitness(answer.endpoint) && answer.state.log_term != 0;
  if (!is_vote) {
    return;
  }
  moved_.insert_or_assign(answer.endpoint, answer.state);
  std::size_t others = 0;
  for (const auto& [id, state] : moved_) {
    others += id != Primary() ? 1 : 0;
  }
  // A primary that doesn't replicate is excluded, so the other witnesses must
  // form the majority without it.
  const std::size_t votes =
      reason_ == reason::kNotReplicating ? others : moved_.size();
  if (votes >= Majority() && !majority_moved_.has_value()) {
    majority_moved_ = now;
  }
  AdvanceChange(now, effects);
}

void group_terms::ChooseCandidate(instant now, effect_list& effects) {
  const bool all_moved = moved_.size() == record_.record.witnesses.size();
  const bool await_primary = reason_ == reason::kPlanned &&
                             !moved_.contains(Primary()) &&
                             now - step_since_ < kPlannedMoveTimeout;
  const bool in_grace = now - *majority_moved_ < kMoveGracePeriod;
  if (!all_moved && (in_grace || await_primary)) {
    return;
  }
  const auto excluded = [&](endpoint_id id) {
    return id == Primary() && reason_ == reason::kNotReplicating;
  };
  // Normalized points compare correctly: a log that follows a term but hasn't
  // reached its start is not ahead of one that still follows the parent.
  const auto point_of = [&](const endpoint_state& state) {
    return Forks().Normalize(state.Point());
  };
  log_point furthest;
  for (const auto& [id, state] : moved_) {
    if (!excluded(id)) {
      furthest = std::max(furthest, point_of(state));
    }
  }
  endpoint_id best;
  bool best_is_leaving = true;
  for (const auto& [id, state] : moved_) {
    if (excluded(id) || point_of(state) != furthest) {
      continue;
    }
    const endpoint_view* const view = View(id);
    const bool leaving = view == nullptr || view->spec.leaving;
    const bool preferred = id == record_.record.candidate;
    if (best == endpoint_id{} || preferred || (best_is_leaving && !leaving)) {
      best = id;
      best_is_leaving = leaving;
    }
    if (preferred) {
      break;
    }
  }
  assert(best != endpoint_id{} && "a majority has a most advanced member");
  group_record next = record_.record;
  next.candidate = best;
  next.candidate_chosen = true;
  next.candidate_point = furthest;
  next.forks.Append({Term(), furthest.term, furthest.position});
  Log(effects, log_level::kInfo, "group.candidate",
      "most advanced of " + std::to_string(moved_.size()) + " at " +
          FormatLogPoint(furthest),
      best);
  StartRecordWrite(std::move(next), step::kChoosing, now, effects);
}

void group_terms::PromoteCandidate(instant now, effect_list& effects) {
  if (now < next_send_) {
    return;
  }
  next_send_ = now + kCommandInterval;
  for (const auto& [id, view] : endpoints_) {
    if (!moved_.contains(id)) {
      effects.emplace_back(move_endpoint{id, Term()});
    }
  }
  if (!promoted_) {
    effects.emplace_back(promote_endpoint{record_.record.candidate, Term()});
  }
}

void group_terms::OnPromoted(const endpoint_promoted& answer, instant now,
                             effect_list& effects) {
  OnEndpointState(answer.endpoint, now, answer.state, now);
  if (step_ != step::kPromoting ||
      answer.endpoint != record_.record.candidate) {
    return;
  }
  if (!answer.accepted || answer.state.term != Term() ||
      answer.state.role != endpoint_role::kPrimary) {
    return;
  }
  promoted_ = answer.endpoint;
  AdvanceChange(now, effects);
}

bool group_terms::PermitsLapsed(instant now) const {
  if (!majority_moved_.has_value()) {
    return false;
  }
  if (service_.failover == failover_policy::kLease) {
    return now - *majority_moved_ >= service_.lease;
  }
  const auto old_primary = moved_.find(record_.record.primary);
  if (old_primary != moved_.end()) {
    const endpoint_state& state = old_primary->second;
    const bool before_promotion = state.log_term < Term();
    if (before_promotion &&
        Forks().Normalize(state.Point()) <= record_.record.candidate_point) {
      return true;  // The candidate has every write of the old primary.
    }
  }
  return now - *majority_moved_ >= options_.permit_wait;
}

void group_terms::OpenIfDue(instant now, effect_list& effects) {
  if (!promoted_ || !PermitsLapsed(now)) {
    return;
  }
  group_record next = record_.record;
  std::vector<endpoint_id> witnesses = NextWitnesses();
  // A new set is adopted only if a majority of it has the whole old log.
  const auto holds_log = [&](endpoint_id id) {
    return id == next.candidate || ContainsLogUpTo(id, next.candidate_point);
  };
  const auto holders = static_cast<std::size_t>(
      std::count_if(witnesses.begin(), witnesses.end(), holds_log));
  const bool majority_holds_log = holders * 2 > witnesses.size();
  if (!majority_holds_log && reason_ == reason::kPlanned &&
      witnesses != next.witnesses &&
      now - step_since_ < kWitnessCatchUpTimeout) {
    return;
  }
  if (majority_holds_log) {
    next.witnesses = std::move(witnesses);
  }
  next.phase = group_phase::kOpen;
  next.primary = next.candidate;
  StartRecordWrite(std::move(next), step::kOpening, now, effects);
}

void group_terms::AdvanceChange(instant now, effect_list& effects) {
  const bool changing = step_ == step::kMoving || step_ == step::kPromoting;
  if (changing && !service_.term_bound) {
    AdvancePromotion(now, effects);
    return;
  }
  switch (step_) {
    case step::kDraining:
      if (pending_write_ == operation_id{}) {
        FinishDraining(now, effects);
      }
      return;
    case step::kMoving:
      MoveEndpoints(now, effects);
      if (!majority_moved_.has_value()) {
        return;
      }
      if (!record_.record.candidate_chosen) {
        ChooseCandidate(now, effects);
        return;
      }
      EnterStep(step::kPromoting, now);
      [[fallthrough]];
    case step::kPromoting:
      PromoteCandidate(now, effects);
      OpenIfDue(now, effects);
      return;
    default:
      return;
  }
}

void group_terms::ResumeChange(instant now, effect_list& effects) {
  if (!service_.term_bound) {
    ResumePromotion(now, effects);
    return;
  }
  const group_record& record = record_.record;
  const std::uint64_t hash =
      HashName(options_.instance_name) ^ (id_.value + Term());
  const duration jitter{static_cast<std::int64_t>(
      hash % static_cast<std::uint64_t>(kTakeoverJitter.count()))};
  const duration delay = record.phase == group_phase::kDraining
                             ? jitter / 4
                             : options_.takeover_delay + jitter;
  if (step_ == step::kIdle) {
    if (now - record_changed_at_ < delay) {
      return;
    }
    reason_ = record.phase == group_phase::kDraining ||
                      record.candidate != endpoint_id{}
                  ? reason::kPlanned
                  : reason::kUnreachable;
    EnterStep(record.phase == group_phase::kDraining ? step::kDraining
                                                     : step::kMoving,
              now);
    AdvanceChange(now, effects);
    return;
  }
  // An unreachable candidate is replaced under a higher term.
  const endpoint_view* const candidate = View(record.candidate);
  const bool candidate_unreachable =
      candidate == nullptr ||
      (candidate->unreachable_since.has_value() &&
       now - *candidate->unreachable_since >= options_.takeover_delay);
  if (step_ == step::kPromoting && !promoted_ && candidate_unreachable &&
      now - step_since_ >= options_.takeover_delay + jitter) {
    StartSealing(reason::kUnreachable, endpoint_id{}, now, effects);
  }
}

void group_terms::OnTick(instant now, effect_list& effects) {
  FollowDepartures(now);
  closed_time_.Observe(id_, Stage(now), now, effects);
  if (record_known_ && record_.revision == 0) {
    // Only the first of several claims to create a record takes effect, so
    // creation does not wait for earlier holders of the duty.
    if (step_ != step::kCreating && HoldsDuty(now)) {
      if (step_since_ == instant{}) {
        step_since_ = now;
      }
      CreateRecord(now, effects);
    }
  } else if (record_known_) {
    EvaluatePrimary(now, effects);
    if (record_.record.phase != group_phase::kOpen) {
      ResumeChange(now, effects);
    }
    AdvanceChange(now, effects);
    MoveLaggingEndpoints(now, effects);
    ReviewWitnesses(now, effects);
  }
  if ((record_read_requested_ || !record_known_) && now >= next_record_read_) {
    next_record_read_ = now + kRecordReadInterval;
    effects.emplace_back(read_record{id_});
  }
  SendProbes(now, effects);
}

}  // namespace marjoramslip
