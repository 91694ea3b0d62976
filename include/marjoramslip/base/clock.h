// The clock that all decisions go by.

#ifndef MARJORAMSLIP_BASE_CLOCK_H_
#define MARJORAMSLIP_BASE_CLOCK_H_

#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Now, by a clock that never steps and counts the time for which the machine
/// was suspended: a permit or a lease is over then, also if the steady clock
/// stood still meanwhile.
instant BootTime();

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_BASE_CLOCK_H_
