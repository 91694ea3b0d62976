// Builds the snapshot that `status` shows.

#ifndef MARJORAMSLIP_LIB_CORE_REPORT_H_
#define MARJORAMSLIP_LIB_CORE_REPORT_H_

#include "core_state.h"
#include "marjoramslip/core/status_report.h"

namespace marjoramslip {

/// Returns a snapshot of the instance at `now`.
status_report MakeReport(const core_state& core, instant now);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_REPORT_H_
