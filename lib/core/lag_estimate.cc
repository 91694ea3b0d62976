// Exponentially weighted averages of replication lag.

#include "lag_estimate.h"

#include <algorithm>

namespace marjoramslip {
namespace {

/// Number of primary samples kept. Dropping the oldest one means that a replica
/// which lags further behind is measured against the oldest sample kept.
constexpr std::size_t kSampleLimit = 64;
/// A new observation has a weight of one in this many.
constexpr int kWeightDivisor = 8;
/// Samples closer together than this are merged.
constexpr duration kSampleSpacing = std::chrono::milliseconds(1);

}  // namespace

void lag_estimate::OnPrimaryPosition(log_position position, instant now) {
  if (!primary_samples_.empty() &&
      position <= primary_samples_.back().position) {
    return;
  }
  if (!primary_samples_.empty() &&
      now - primary_samples_.back().seen_at < kSampleSpacing) {
    return;
  }
  if (primary_samples_.size() >= kSampleLimit) {
    primary_samples_.pop_front();
  }
  primary_samples_.push_back({position, now});
}

void lag_estimate::OnReplicaPosition(endpoint_id replica, log_position position,
                                     instant now) {
  const auto next_sample =
      std::find_if(primary_samples_.begin(), primary_samples_.end(),
                   [position](const primary_sample& sample) {
                     return sample.position > position;
                   });
  const duration observed = next_sample == primary_samples_.end()
                                ? duration::zero()
                                : now - next_sample->seen_at;
  const auto [found, inserted] =
      lags_.try_emplace(replica, replica_lag{observed, observed});
  if (!inserted) {
    found->second.average +=
        (observed - found->second.average) / kWeightDivisor;
    found->second.newest = observed;
  }
}

void lag_estimate::Reset() {
  primary_samples_.clear();
  lags_.clear();
}

duration lag_estimate::ExpectedLag(endpoint_id replica) const {
  const auto found = lags_.find(replica);
  return found == lags_.end()
             ? duration::zero()
             : std::max(found->second.average, found->second.newest);
}

bool lag_estimate::HasLikelyReached(endpoint_id replica, log_position position,
                                    instant now) const {
  const auto written =
      std::find_if(primary_samples_.begin(), primary_samples_.end(),
                   [position](const primary_sample& sample) {
                     return sample.position >= position;
                   });
  return written != primary_samples_.end() &&
         written->seen_at + ExpectedLag(replica) <= now;
}

}  // namespace marjoramslip
