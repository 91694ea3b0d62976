// What a change of primary is waiting for, for logs, metrics and the status.

#include "group_terms.h"

namespace marjoramslip {
namespace {

std::string_view NameOf(promotion_outcome outcome) {
  switch (outcome) {
    case promotion_outcome::kAccepted:
      return "accepted";
    case promotion_outcome::kNotRunning:
      return "refused, not running";
    case promotion_outcome::kOverLimit:
      return "refused, over the limit";
    case promotion_outcome::kNotSent:
      return "not sent";
    case promotion_outcome::kUnknown:
      break;
  }
  return "no answer";
}

std::string Describe(const promotion_answered& answer) {
  std::string text(NameOf(answer.outcome));
  if (!answer.reason.empty()) {
    text += ": " + answer.reason;
  }
  return text;
}

}  // namespace

void group_terms::LogPromotionAnswer(const promotion_answered& answer,
                                     effect_list& effects) {
  last_promotion_answer_ = answer;
  const bool accepted = answer.outcome == promotion_outcome::kAccepted;
  Log(effects, accepted ? log_level::kInfo : log_level::kWarning,
      "group.promotion_answered",
      "attempt " + std::to_string(promotion_attempts_) + ": " +
          Describe(answer),
      answer.endpoint);
}

change_stage group_terms::Stage(instant now) const {
  if (!record_known_ || record_.revision == 0 || Open()) {
    return change_stage::kNone;
  }
  if (step_ != step::kIdle) {
    return StageOfStep(now);
  }
  return record_.record.phase == group_phase::kOpen
             ? change_stage::kAwaitingPrimary
             : change_stage::kElsewhere;
}

change_stage group_terms::StageOfStep(instant now) const {
  if (pending_write_ != operation_id{}) {
    return change_stage::kWritingRecord;
  }
  if (step_ == step::kDraining) {
    return change_stage::kDraining;
  }
  if (!service_.term_bound && !NoOtherServes(now)) {
    return change_stage::kAwaitingInstances;
  }
  if (step_ == step::kMoving) {
    return change_stage::kAwaitingDatabases;
  }
  const bool accepted =
      last_promotion_answer_.has_value() &&
      last_promotion_answer_->outcome == promotion_outcome::kAccepted;
  return promoted_ || accepted ? change_stage::kAwaitingEffect
                               : change_stage::kAwaitingPlatform;
}

change_report group_terms::Change(instant now) const {
  change_report report;
  report.stage = closed_time_.Stage();
  report.closed_for = now - closed_time_.Since().value_or(now);
  report.attempts = promotion_attempts_;
  if (last_promotion_answer_.has_value()) {
    report.last_answer = Describe(*last_promotion_answer_);
  }
  return report;
}

}  // namespace marjoramslip
