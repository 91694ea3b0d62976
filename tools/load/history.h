// What the callers asked and were answered, and the findings of one run.

#ifndef MARJORAMSLIP_TOOLS_LOAD_HISTORY_H_
#define MARJORAMSLIP_TOOLS_LOAD_HISTORY_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "link.h"

namespace load {

using monotonic = std::chrono::steady_clock::time_point;

/// Classes of operations.
enum class operation_kind : std::uint8_t {
  kRead,         ///< Of the caller's own rows.
  kAgedRead,     ///< With a stated age, of another caller's rows.
  kInsert,       ///< One row.
  kIncrement,    ///< Adds one to a row: not idempotent.
  kTransaction,  ///< Two rows in one transaction.
};
inline constexpr std::size_t kOperationKinds = 5;

/// "read", "aged_read", "insert", "increment" or "transaction".
const char* KindName(operation_kind kind);

/// One operation as its caller saw it.
struct operation {
  operation_kind kind = operation_kind::kRead;
  bool keyed = false;  ///< Named a request id.
  std::uint32_t target = 0;
  std::uint32_t attempts = 1;
  monotonic due;  ///< When it was to start.
  monotonic end;
  outcome effect = outcome::kAccepted;
  bool verdict = true;
  std::string sqlstate;
  /// Rows written: the first one, and the number of rows from it on.
  std::int64_t seq = 0;
  std::int64_t rows = 0;
};

/// A promise that was broken: what, and by whom it was seen.
struct violation {
  std::string what;
  std::string caller;
};

/// Everything one caller did.
struct caller_history {
  std::string caller;
  std::string tenant;
  std::vector<operation> operations;
  std::vector<violation> violations;
};

/// A write that has been acknowledged.
struct acknowledged_write {
  monotonic at;
  std::int64_t written_us = 0;  ///< Of the wall clock, as in its row.
};

/// What each caller last had acknowledged, for the age of others' reads.
class write_board {
 public:
  explicit write_board(std::size_t callers) : writes_(callers) {}

  void Add(std::size_t caller, acknowledged_write write);

  /// The `written_us` of the caller's last write that was acknowledged at or
  /// before `moment`; 0 if there is none.
  std::int64_t NewestBefore(std::size_t caller, monotonic moment);

 private:
  std::mutex mutex_;
  std::vector<std::vector<acknowledged_write>> writes_;
};

/// Writes the operations as comma-separated lines, times in microseconds
/// from `start`. False if the file cannot be written.
bool SaveHistory(const std::string& file,
                 const std::vector<caller_history>& history, monotonic start);

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_HISTORY_H_
