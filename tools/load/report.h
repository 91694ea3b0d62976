// What a run measured, as a table and as JSON.

#ifndef MARJORAMSLIP_TOOLS_LOAD_REPORT_H_
#define MARJORAMSLIP_TOOLS_LOAD_REPORT_H_

#include <array>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "histogram.h"
#include "history.h"
#include "judge.h"

namespace load {

/// The figures of one class of operations.
struct class_figures {
  histogram accepted;  ///< Latencies of those that succeeded.
  histogram failed;    ///< Of the others.
  std::array<std::uint64_t, 4> outcomes{};  ///< By outcome.
  std::uint64_t without_verdict = 0;
  std::map<std::string, std::uint64_t> errors;  ///< By SQLSTATE.
};

/// A time without an accepted write.
struct write_gap {
  std::chrono::microseconds begins{0};  ///< From the start of the run.
  std::chrono::microseconds length{0};
};

/// All figures of a run.
struct run_figures {
  std::array<class_figures, kOperationKinds> classes;
  std::chrono::microseconds length{0};
  std::uint64_t accepted = 0;
  std::vector<write_gap> gaps;          ///< The longest first, a few.
  std::optional<double> replica_share;  ///< Of reads; empty: not known.
  verdict_count verdicts;
};

/// Sums up the histories of a run from `start` to `end`.
run_figures SumUp(const std::vector<caller_history>& histories, monotonic start,
                  monotonic end);

void PrintTable(std::ostream& out, const run_figures& figures);

/// False if the file cannot be written.
bool SaveJson(const std::string& file, const run_figures& figures);

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_REPORT_H_
