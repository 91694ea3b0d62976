// Names of verdicts.

#include "marjoramslip/base/verdict.h"

namespace marjoramslip {

std::string_view VerdictName(verdict value) {
  switch (value) {
    case verdict::kNotRun:
      return "not_run";
    case verdict::kMayHaveRun:
      return "may_have_run";
    case verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace marjoramslip
