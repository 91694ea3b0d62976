// Spaces the polls of a watch so that changes that come close together arrive
// in one answer.

#ifndef MARJORAMSLIP_KV_POLL_PACER_H_
#define MARJORAMSLIP_KV_POLL_PACER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "marjoramslip/base/time.h"

namespace marjoramslip::kv {

/// Decides how long a watch waits between an answer with changes and its next
/// poll. A single change is delivered at once, since a poll is waiting for it.
///
/// Load pattern: many instances start together, each writes a few keys, and
/// each watches all of them. Polling again at once costs a call per change and
/// instance, which grows with the square of the fleet.
class poll_pacer {
 public:
  static constexpr duration kMinPause = std::chrono::milliseconds(50);
  static constexpr duration kMaxPause = std::chrono::milliseconds(800);

  /// Returns the pause after a poll that returned `changes` changes. Answers
  /// without changes come at the end of a long poll and reset the pause.
  duration PauseAfter(std::size_t changes) {
    if (changes == 0) {
      pause_ = kMinPause;
      return duration::zero();
    }
    const duration pause = pause_;
    pause_ = std::min(pause_ * 2, kMaxPause);
    return pause;
  }

 private:
  duration pause_ = kMinPause;
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_POLL_PACER_H_
