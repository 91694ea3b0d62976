// The properties of a caller's statement that the reducer uses. The statement's
// text stays in the shell.

#ifndef MARJORAMSLIP_CORE_STATEMENT_H_
#define MARJORAMSLIP_CORE_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// The classes of statements that are handled differently.
enum class statement_kind : std::uint8_t {
  kRead,       ///< Proven to be a plain read.
  kWrite,      ///< Anything else.
  kBegin,      ///< Opens a transaction.
  kCommit,     ///< Commits a transaction.
  kRollback,   ///< Rolls back a transaction.
  kBeginRead,  ///< Opens a read-only transaction.
};

/// Returns true for statements that a replica may serve.
constexpr bool IsReadOnly(statement_kind kind) {
  return kind == statement_kind::kRead || kind == statement_kind::kBeginRead;
}

/// The caller's settings that apply to one statement.
struct statement_settings {
  /// Name of the session. If empty, the caller's connection is the session.
  std::string session;
  /// The session token that the caller supplied: the session's floor, which is
  /// the lowest log point that the session's reads may see.
  std::optional<log_point> token;
  /// Maximum age of the data that a read accepts.
  std::optional<duration> max_staleness;
  /// Key that makes a write safe to retry; empty if there is none.
  std::string idempotency_key;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_STATEMENT_H_
