// Measures how often a queue gets a turn.
//
// Load addressed: an endpoint shared by several instances and priorities. The
// mean service time divided by the connections overstates the capacity there,
// because the connections of one instance get a part of the slots only, and a
// low priority a part of the turns only. The time between turns shows both.

#ifndef MARJORAMSLIP_LIB_CORE_LOAD_TURN_INTERVAL_H_
#define MARJORAMSLIP_LIB_CORE_LOAD_TURN_INTERVAL_H_

#include <cstdint>
#include <optional>

#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Running mean of the time between turns while requests wait.
class turn_interval {
 public:
  /// Records that a queue that was empty has a request from `now` on. The time
  /// up to its next turn is not measured: it may have been idle.
  void OnFirstQueued() { last_turn_.reset(); }
  /// Records a turn at `now`.
  void OnTurn(instant now);
  /// Returns the mean; nothing until `kMinSamples` intervals were measured. A
  /// current interval that is longer than the mean counts as one measurement.
  std::optional<duration> Mean(instant now) const;

  /// Intervals that must have been measured before the mean is used.
  static constexpr std::uint32_t kMinSamples = 8;

 private:
  duration mean_{};
  std::uint32_t samples_ = 0;
  std::optional<instant> last_turn_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LOAD_TURN_INTERVAL_H_
