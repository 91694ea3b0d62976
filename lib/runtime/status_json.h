// A status report as JSON.

#ifndef MARJORAMSLIP_LIB_RUNTIME_STATUS_JSON_H_
#define MARJORAMSLIP_LIB_RUNTIME_STATUS_JSON_H_

#include <string>

#include "marjoramslip/core/status_report.h"
#include "name_table.h"

namespace marjoramslip::shell {

/// Keys are the report's field names; durations are in microseconds, endpoints
/// are named.
std::string FormatStatus(const status_report& report, const name_table& names);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_STATUS_JSON_H_
