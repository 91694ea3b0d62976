// Judges a run: what was acknowledged must be there exactly once, what was
// refused as not run must not be there.

#ifndef MARJORAMSLIP_TOOLS_LOAD_JUDGE_H_
#define MARJORAMSLIP_TOOLS_LOAD_JUDGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "history.h"
#include "options.h"

namespace load {

/// A row as it is found at the end.
struct found_row {
  std::int64_t seq = 0;
  std::int64_t amount = 0;
  std::string id;
};

/// The judgement.
struct verdict_count {
  std::uint64_t accepted = 0;              ///< Rows acknowledged.
  std::uint64_t accepted_missing = 0;      ///< ... that are not there.
  std::uint64_t not_run = 0;               ///< Rows refused as not run.
  std::uint64_t not_run_present = 0;       ///< ... that are there.
  std::uint64_t ran_missing = 0;           ///< Said to have run; not there.
  std::uint64_t may_have_run = 0;          ///< Rows of unknown effect.
  std::uint64_t may_have_run_present = 0;  ///< ... that are there.
  std::uint64_t doubles = 0;               ///< Rows or increments twice.
  std::uint64_t increments_missing = 0;
  std::uint64_t torn_transactions = 0;  ///< One row of two.
  std::uint64_t strangers = 0;          ///< Rows that nobody wrote.
  std::uint64_t unread_callers = 0;     ///< Whose rows could not be read.
  std::vector<violation> violations;    ///< All, those above included.

  bool Held() const { return violations.empty() && unread_callers == 0; }
};

/// Judges one caller's history by the rows found.
void JudgeCaller(const caller_history& history,
                 const std::vector<found_row>& rows, verdict_count& into);

/// Reads the rows of every caller and judges them all.
verdict_count JudgeAll(const load_options& options,
                       const std::vector<caller_history>& histories);

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_JUDGE_H_
