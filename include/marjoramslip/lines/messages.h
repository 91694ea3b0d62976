// Messages of line-based text protocols between callers, instances and
// endpoints, independent of the syntax of any one protocol.

#ifndef MARJORAMSLIP_LINES_MESSAGES_H_
#define MARJORAMSLIP_LINES_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "marjoramslip/base/log_point.h"
#include "marjoramslip/core/events.h"

namespace marjoramslip::lines {

/// The kind of a caller's statement.
enum class statement_verb : std::uint8_t {
  kBegin,
  kBeginRead,  ///< Begins a read-only transaction.
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSet,         ///< Sets a session value.
  kPrepare,     ///< Prepares a named statement.
  kExecute,     ///< Runs a prepared statement.
  kDeallocate,  ///< Drops a prepared statement.
  kUnknown,     ///< Not a statement of the protocol.
};

/// The first line of a caller; names the database to connect to.
struct startup_line {
  std::string_view database;
  std::string_view key;  ///< Of the caller's account; a secret.
};

/// A caller's statement. The views refer to the parsed line.
struct statement_line {
  std::string_view id;
  std::string_view text;  ///< The whole statement, forwarded unchanged.
  statement_verb verb = statement_verb::kUnknown;
  /// The name of the session value or of the prepared statement.
  std::string_view name;
  /// The session value, the shape of the prepared statement, or its arguments.
  std::string_view value;
  bool writes = false;  ///< Whether the statement to prepare writes.
};

/// The caller ends its session.
struct quit_line {};

/// A line that is not a message of the protocol.
struct malformed_line {};

/// A line from a caller.
using caller_line =
    std::variant<startup_line, statement_line, quit_line, malformed_line>;

/// Why an endpoint did not complete a statement.
enum class endpoint_refusal : std::uint8_t {
  kBusy,         ///< It is overloaded; the statement did not run.
  kBehind,       ///< Its log lacks the position; the statement did not run.
  kNotWritable,  ///< It is not a primary; the statement did not run.
  kUnknownStatement,    ///< No such prepared statement; it did not run.
  kTooManyConnections,  ///< It accepts no more connections.
  kWrongEndpoint,       ///< Another endpoint answers at the address.
  kFailed,              ///< It failed and may have run.
};

/// One row, forwarded unchanged.
struct row_line {
  std::string_view line;
};

/// A statement succeeded.
struct done_line {
  std::string_view signature;  ///< Empty: the endpoint signed nothing.
};

/// A statement did not succeed.
struct error_line {
  endpoint_refusal reason = endpoint_refusal::kFailed;
  std::string_view line;  ///< The whole line.
};

/// The endpoint is ready for the next statement.
struct ready_line {
  transaction_status transaction = transaction_status::kIdle;
  std::optional<log_point> end_of_log;
};

/// A line from an endpoint.
using endpoint_line =
    std::variant<row_line, done_line, error_line, ready_line, malformed_line>;

/// Why the instance itself rejects a caller's statement.
enum class caller_refusal : std::uint8_t {
  kBusy,              ///< It had no effect; the caller may retry.
  kTransactionLost,   ///< The transaction had no effect.
  kOutcomeUnknown,    ///< It may have taken effect.
  kUnknownDatabase,   ///< No such route.
  kUnknownKey,        ///< No account holds the caller's key.
  kUnknownStatement,  ///< No such prepared statement.
  kTooLarge,          ///< It would exceed a limit; it had no effect.
  kBadMessage,        ///< Not a statement, or not allowed at this point.
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LINES_MESSAGES_H_
