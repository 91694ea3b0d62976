// Turns the stages that a group passes through into measured times.

#include "closed_time.h"

#include <array>

namespace marjoramslip {
namespace {

constexpr duration kReportInterval = std::chrono::seconds(1);

}  // namespace

std::string_view NameOf(change_stage stage) {
  constexpr std::array<std::string_view, 9> kNames = {
      "open",
      "change by another instance",
      "awaiting a declared primary",
      "draining",
      "awaiting instances",
      "awaiting databases",
      "awaiting the platform",
      "awaiting the effect",
      "writing the record"};
  return kNames.at(static_cast<std::size_t>(stage));
}

void closed_time::Observe(group_id group, change_stage stage, instant now,
                          effect_list& effects) {
  const bool changed = stage != stage_;
  if (stage_ != change_stage::kNone &&
      (changed || now - reported_at_ >= kReportInterval)) {
    effects.emplace_back(group_closed{group, stage_, now - reported_at_});
    reported_at_ = now;
  }
  if (!changed) {
    return;
  }
  stage_ = stage;
  reported_at_ = now;
  if (stage == change_stage::kNone) {
    closed_since_.reset();
  } else {
    closed_since_ = closed_since_.value_or(now);
  }
}

}  // namespace marjoramslip
