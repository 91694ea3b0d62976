// Reporting of violated invariants.

#include "invariants.h"

#include <string>

namespace marjoramslip {

void invariants::ReportViolation(std::string_view description,
                                 request_id request, effect_list& effects) {
  effects.push_back(counter_increment{counter::kInvariantViolations, 1, {}});
  effects.push_back(log_line{.level = log_level::kError,
                             .event = "invariant.violated",
                             .text = std::string(description),
                             .group = {},
                             .endpoint = {},
                             .term = 0,
                             .request = request});
}

void invariants::Flush(effect_list& effects) {
  if (checks_ == 0) {
    return;
  }
  effects.push_back(counter_increment{counter::kInvariantChecks, checks_, {}});
  checks_ = 0;
}

}  // namespace marjoramslip
