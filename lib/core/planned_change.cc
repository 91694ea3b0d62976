// Planned changes of primary: writes are held until a replica has caught up.

#include <algorithm>
#include <string>
#include <utility>

#include "group_terms.h"

namespace marjoramslip {

namespace {

/// Time for every instance to see the draining record and for its writes in
/// progress to end.
constexpr duration kWriteDrainTime = std::chrono::milliseconds(40);
/// Longest time that writes are held while the candidate catches up.
constexpr duration kDrainingTimeout = std::chrono::milliseconds(1500);

}  // namespace

void group_terms::OnPromoteRequested(endpoint_id endpoint, instant now,
                                     effect_list& effects) {
  if (!Open() || step_ != step::kIdle || !MayDrive(now) ||
      now < next_planned_change_) {
    return;
  }
  StartDraining(endpoint, now, effects);
}

void group_terms::StartDraining(endpoint_id preferred, instant now,
                                effect_list& effects) {
  group_record next = record_.record;
  next.phase = group_phase::kDraining;
  next.candidate = preferred;
  next.candidate_chosen = false;
  reason_ = reason::kPlanned;
  StartRecordWrite(std::move(next), step::kDraining, now, effects);
}

void group_terms::FinishDraining(instant now, effect_list& effects) {
  const endpoint_id requested = record_.record.candidate;
  const bool expired = now - step_since_ >= kDrainingTimeout;
  sample_requested_ = true;
  replica_positions_requested_ = true;
  // Every instance has seen the draining record before the end of the log is
  // read.
  const std::optional<log_point> log_end =
      SampleSince(step_since_ + kWriteDrainTime, now);
  endpoint_id ready;
  for (const auto& [id, view] : endpoints_) {
    const bool eligible = id != Primary() && !view.spec.leaving &&
                          IsWitness(id) && view.state.log_term == Term();
    const bool matches_request = requested == endpoint_id{} || requested == id;
    if (eligible && matches_request && log_end.has_value() &&
        view.state.position >= log_end->position) {
      ready = id;
      break;
    }
  }
  if (ready != endpoint_id{}) {
    StartSealing(reason::kPlanned, ready, now, effects);
    return;
  }
  if (!expired) {
    return;
  }
  // No candidate caught up in time: reopen the term with the same primary.
  group_record next = record_.record;
  next.phase = group_phase::kOpen;
  next.candidate = Primary();
  next.candidate_chosen = true;
  Log(effects, log_level::kWarning, "group.drain",
      "no replica caught up before the draining timeout; the primary is kept",
      Primary());
  StartRecordWrite(std::move(next), step::kOpening, now, effects);
}

}  // namespace marjoramslip
