// Decides which requests are refused before they are sent, and when their
// callers should come back.
//
// Load addressed: more requests than an endpoint serves before their deadlines.
// A request that waits until its deadline in vain keeps its caller from trying
// elsewhere. Callers that are refused together and return together make the
// next peak.

#ifndef MARJORAMSLIP_LIB_CORE_LOAD_ADMISSION_H_
#define MARJORAMSLIP_LIB_CORE_LOAD_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Returns how many statements one of `carriers` instances may have in flight
/// at an endpoint with `slots` slots. `surplus` statements, for all carriers
/// together, cover the time that answers and next statements are on the way. At
/// least 1.
std::uint32_t InFlightLimit(std::uint32_t slots, std::uint32_t surplus,
                            std::uint32_t carriers);

/// Returns true if a queued request with `turns` turns before its own has no
/// chance to be sent within `remaining`, its time to the deadline.
bool IsHopeless(std::size_t turns, duration interval, duration remaining);

/// Returns after what time a refused caller should come back: when `waiting`
/// requests with a turn each `interval` will have gone, spread by `random` over
/// half to one and a half of that time.
duration RetryDelay(std::size_t waiting, duration interval,
                    std::uint64_t random);

/// Returns the part of a refusal's text that says when to come back.
std::string RetryText(duration delay);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LOAD_ADMISSION_H_
