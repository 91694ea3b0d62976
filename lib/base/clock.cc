// Reads CLOCK_BOOTTIME.

#include "marjoramslip/base/clock.h"

#include <ctime>

namespace marjoramslip {

instant BootTime() {
  constexpr long kNanosecondsPerMicrosecond = 1000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return instant(std::chrono::seconds(now.tv_sec) +
                 duration(now.tv_nsec / kNanosecondsPerMicrosecond));
}

}  // namespace marjoramslip
