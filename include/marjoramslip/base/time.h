// Time as the core sees it: microseconds of a monotonic clock.

#ifndef MARJORAMSLIP_BASE_TIME_H_
#define MARJORAMSLIP_BASE_TIME_H_

#include <chrono>

namespace marjoramslip {

/// A length of time in microseconds.
using duration = std::chrono::microseconds;

/// A reading of this process's monotonic clock. Tests make their own.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_BASE_TIME_H_
