// Checks of invariants at run time, enabled in release builds as well.

#ifndef MARJORAMSLIP_LIB_CORE_INVARIANTS_H_
#define MARJORAMSLIP_LIB_CORE_INVARIANTS_H_

#include <cstdint>
#include <string_view>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/core/effects.h"

namespace marjoramslip {

/// Counts the checks and emits violations as effects.
class invariants {
 public:
  /// Counts a check and returns `holds`. If it is false, logs and counts the
  /// violation.
  bool Check(bool holds, std::string_view description, request_id request,
             effect_list& effects) {
    ++checks_;
    if (holds) [[likely]] {
      return true;
    }
    ReportViolation(description, request, effects);
    return false;
  }

  /// Emits the number of checks since the last call.
  void Flush(effect_list& effects);

 private:
  static void ReportViolation(std::string_view description, request_id request,
                              effect_list& effects);

  std::uint64_t checks_ = 0;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_INVARIANTS_H_
