// Running mean of intervals with exponentially decreasing weights.

#include "turn_interval.h"

#include <algorithm>

namespace marjoramslip {
namespace {

/// A new interval has a weight of one in this many.
constexpr std::int64_t kWeightDivisor = 16;

/// A longer interval counts as this many means. Otherwise the end of one stall
/// of seconds would make a queue that drains again look hopeless.
constexpr std::int64_t kMaxRatio = 4;

}  // namespace

void turn_interval::OnTurn(instant now) {
  if (last_turn_.has_value()) {
    const duration interval = now - *last_turn_;
    if (samples_ < kMinSamples) {
      ++samples_;
      mean_ += (interval - mean_) / samples_;
    } else {
      mean_ += (std::min(interval, mean_ * kMaxRatio) - mean_) / kWeightDivisor;
    }
  }
  last_turn_ = now;
}

std::optional<duration> turn_interval::Mean(instant now) const {
  if (samples_ < kMinSamples) {
    return std::nullopt;
  }
  const duration current = last_turn_.has_value() ? now - *last_turn_ : mean_;
  return mean_ + (std::clamp(current, mean_, mean_ * kMaxRatio) - mean_) /
                     kWeightDivisor;
}

}  // namespace marjoramslip
