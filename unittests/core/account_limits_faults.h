// Arbitrary faults for properties of the rate limits of accounts.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_LIMITS_FAULTS_H_
#define MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_LIMITS_FAULTS_H_

#include <rapidcheck.h>

#include "account_limits_world.h"

namespace marjoramslip {

/// Returns an arbitrary number below `limit`. The full range is in use from the
/// first case on.
inline int ArbitraryBelow(int limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

inline limit_faults ArbitraryFaults() {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  return {
      .seed = *rc::gen::arbitrary<std::uint64_t>(),
      .loss_percent = ArbitraryBelow(2) * ArbitraryBelow(30),
      .longest_delay =
          milliseconds(1 + ArbitraryBelow(2) * ArbitraryBelow(400)),
      .longest_queue = milliseconds(ArbitraryBelow(2) * ArbitraryBelow(3000)),
      .mean_between_faults = seconds(4 + ArbitraryBelow(20)),
      .pauses = ArbitraryBelow(2) == 0,
      .restarts = ArbitraryBelow(2) == 0,
      .refusals = ArbitraryBelow(2) == 0,
      .cuts = ArbitraryBelow(2) == 0,
      .changes = ArbitraryBelow(2) == 0,
      .leaves = ArbitraryBelow(2) == 0,
      .ends = ArbitraryBelow(2) == 0};
}

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_LIMITS_FAULTS_H_
