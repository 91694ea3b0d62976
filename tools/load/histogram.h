// Latencies in buckets whose width grows with the value.

#ifndef MARJORAMSLIP_TOOLS_LOAD_HISTOGRAM_H_
#define MARJORAMSLIP_TOOLS_LOAD_HISTOGRAM_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace load {

/// Counts of latencies; a quantile is at most 4.5 % above the true one.
class histogram {
 public:
  void Add(std::chrono::microseconds value);
  void Merge(const histogram& other);

  std::uint64_t Count() const { return count_; }
  std::chrono::microseconds Max() const { return max_; }

  /// The least value that `share` (0 to 1) of all are at or below; 0 if
  /// nothing was counted.
  std::chrono::microseconds Quantile(double share) const;

 private:
  /// Buckets for each doubling, and doublings: up to about 12 days.
  static constexpr std::size_t kPerDoubling = 16;
  static constexpr std::size_t kDoublings = 40;

  std::array<std::uint64_t, kPerDoubling * kDoublings> buckets_{};
  std::uint64_t count_ = 0;
  std::chrono::microseconds max_{0};
};

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_HISTOGRAM_H_
