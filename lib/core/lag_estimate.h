// Estimates the replication lag of a group's replicas from observed positions.

#ifndef MARJORAMSLIP_LIB_CORE_LAG_ESTIMATE_H_
#define MARJORAMSLIP_LIB_CORE_LAG_ESTIMATE_H_

#include <deque>
#include <map>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Moving average, for each replica, of the time from seeing a log position at
/// the primary to seeing it at the replica.
class lag_estimate {
 public:
  /// Records that the primary had reached `position`.
  void OnPrimaryPosition(log_position position, instant now);

  /// Records that `replica` had reached `position`.
  void OnReplicaPosition(endpoint_id replica, log_position position,
                         instant now);

  /// Discards all observations. Called when the term changes, because positions
  /// of different terms cannot be compared.
  void Reset();

  /// Returns the expected lag of `replica`, which is at least the lag observed
  /// last. Returns zero if no lag was observed.
  duration ExpectedLag(endpoint_id replica) const;

  /// Returns true if `replica` should have reached `position` by now, given its
  /// expected lag.
  bool HasLikelyReached(endpoint_id replica, log_position position,
                        instant now) const;

 private:
  struct primary_sample {
    log_position position = 0;
    instant seen_at;
  };

  struct replica_lag {
    duration average{};
    duration newest{};
  };

  std::deque<primary_sample> primary_samples_;
  std::map<endpoint_id, replica_lag> lags_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LAG_ESTIMATE_H_
