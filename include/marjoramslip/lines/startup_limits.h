// Time for the startup of a connection to an endpoint.

#ifndef MARJORAMSLIP_LINES_STARTUP_LIMITS_H_
#define MARJORAMSLIP_LINES_STARTUP_LIMITS_H_

#include <algorithm>
#include <chrono>

#include "marjoramslip/base/time.h"

namespace marjoramslip::lines {

/// Time in all for the startup on a connection that the endpoint's machine has
/// accepted. A startup takes a slot even if its connection was given up, so
/// giving up and trying again keeps an overloaded endpoint overloaded.
inline constexpr duration kStartupTimeout = std::chrono::milliseconds(1600);

/// Returns the further time for an accepted connection whose time-out `timeout`
/// has passed.
constexpr duration StartupExtension(duration timeout) {
  return std::max(kStartupTimeout - timeout, duration::zero());
}

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LINES_STARTUP_LIMITS_H_
