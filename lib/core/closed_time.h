// The time for which a group accepts no writes, by what it is waiting for.

#ifndef MARJORAMSLIP_LIB_CORE_CLOSED_TIME_H_
#define MARJORAMSLIP_LIB_CORE_CLOSED_TIME_H_

#include <optional>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/core/change_stage.h"
#include "marjoramslip/core/effects.h"

namespace marjoramslip {

/// Measures the time that a group spends in each stage of a change.
class closed_time {
 public:
  /// Records that the group is in `stage` from `now` on. Reports the time spent
  /// so far when the stage changes, and once a second.
  void Observe(group_id group, change_stage stage, instant now,
               effect_list& effects);

  change_stage Stage() const { return stage_; }
  /// Since when the group has been closed; empty if it is open.
  std::optional<instant> Since() const { return closed_since_; }

 private:
  change_stage stage_ = change_stage::kNone;
  std::optional<instant> closed_since_;
  instant reported_at_{};
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_CLOSED_TIME_H_
