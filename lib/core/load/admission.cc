// Computes limits, chances and retry times from queue lengths and rates.

#include "admission.h"

#include <algorithm>

namespace marjoramslip {
namespace {

/// A request is hopeless only if its expected wait exceeds its remaining time
/// by a quarter, because the measured rate varies.
constexpr std::int64_t kMarginNumerator = 5;
constexpr std::int64_t kMarginDenominator = 4;

/// Shortest and longest retry times before they are spread. The longest is
/// about the duration of a burst.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(20);
constexpr duration kMaxRetryDelay = std::chrono::seconds(5);

}  // namespace

std::uint32_t InFlightLimit(std::uint32_t slots, std::uint32_t surplus,
                            std::uint32_t carriers) {
  const std::uint32_t sharers = std::max<std::uint32_t>(1, carriers);
  return std::max<std::uint32_t>(1, (slots + surplus + sharers - 1) / sharers);
}

bool IsHopeless(std::size_t turns, duration interval, duration remaining) {
  return interval * static_cast<std::int64_t>(turns) * kMarginDenominator >
         std::max(duration::zero(), remaining) * kMarginNumerator;
}

duration RetryDelay(std::size_t waiting, duration interval,
                    std::uint64_t random) {
  const duration drained =
      std::clamp(interval * static_cast<std::int64_t>(waiting), kMinRetryDelay,
                 kMaxRetryDelay);
  const auto span = static_cast<std::uint64_t>(drained.count());
  return drained / 2 + duration(static_cast<std::int64_t>(random % span));
}

std::string RetryText(duration delay) {
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(delay).count();
  return "; retry after " + std::to_string(milliseconds) + " ms";
}

}  // namespace marjoramslip
