// Latencies in logarithmic buckets.

#include "histogram.h"

#include <algorithm>
#include <cmath>

namespace load {

using std::chrono::microseconds;

void histogram::Add(microseconds value) {
  const double positive = std::max(1.0, static_cast<double>(value.count()));
  const double place = std::ceil(std::log2(positive) * kPerDoubling);
  const auto index =
      std::min(buckets_.size() - 1, static_cast<std::size_t>(place));
  ++buckets_[index];
  ++count_;
  max_ = std::max(max_, value);
}

void histogram::Merge(const histogram& other) {
  for (std::size_t index = 0; index < buckets_.size(); ++index) {
    buckets_[index] += other.buckets_[index];
  }
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
}

microseconds histogram::Quantile(double share) const {
  const double wanted = share * static_cast<double>(count_);
  std::uint64_t seen = 0;
  for (std::size_t index = 0; index < buckets_.size(); ++index) {
    seen += buckets_[index];
    if (seen > 0 && static_cast<double>(seen) >= wanted) {
      const double bound = std::exp2(static_cast<double>(index) / kPerDoubling);
      return std::min(max_, microseconds(std::llround(bound)));
    }
  }
  return max_;
}

}  // namespace load
