// What is known of a request's effect when its answer is not a success.

#ifndef MARJORAMSLIP_BASE_VERDICT_H_
#define MARJORAMSLIP_BASE_VERDICT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramslip {

/// Whether a request took effect at an endpoint.
enum class verdict : std::uint8_t {
  kNotRun,      ///< Proved: no effect, now or later.
  kMayHaveRun,  ///< Unknown; it must not be repeated blindly.
  kRan,         ///< Proved: it took effect.
};

/// The verdict as callers read it: "not_run", "may_have_run" or "ran".
std::string_view VerdictName(verdict value);

/// Why a request ends without a success.
struct failure {
  verdict effect = verdict::kNotRun;
  std::string sqlstate;  ///< Five characters, as PostgreSQL assigns them.
  std::string message;   ///< One sentence for a person.
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_BASE_VERDICT_H_
