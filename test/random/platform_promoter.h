// The platform's promoter for randomised runs: which database it regards as the
// present primary, the fence, and how it misbehaves.

#ifndef MARJORAMSLIP_TEST_RANDOM_PLATFORM_PROMOTER_H_
#define MARJORAMSLIP_TEST_RANDOM_PLATFORM_PROMOTER_H_

#include <cstddef>
#include <cstdint>

#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip::random_runs {

/// The state of the promoter.
struct platform_promoter {
  std::size_t present = 0;  ///< The present primary.
  term_number newest_term = 1;
  std::uint64_t highest_fence = 0;
  bool late_effects = true;  ///< Calls may take effect seconds later.
  instant slow_until{};      ///< Promotions take long to take effect.
  instant refuses_until{};   ///< Calls are over the limit.
  instant mute_until{};      ///< Calls are lost, or their answers.
  instant last_effect_at{};  ///< When the last accepted call takes effect.
};

}  // namespace marjoramslip::random_runs

#endif  // MARJORAMSLIP_TEST_RANDOM_PLATFORM_PROMOTER_H_
