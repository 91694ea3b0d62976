// Recognises statements by their text: transaction control, settings and the
// control functions of a group. Everything else goes to SQLite.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_STATEMENT_TEXT_H_
#define MARJORAMSLIP_TOOLS_STANDIN_STATEMENT_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace standin {

/// What a statement is.
enum class statement_kind : std::uint8_t {
  kSql,
  kBegin,
  kCommit,
  kRollback,
  kSavepoint,  ///< SAVEPOINT, RELEASE and ROLLBACK TO.
  kSetTerm,    ///< SET group.expected_term.
  kSet,        ///< Any other SET, RESET or DISCARD; accepted, no effect.
  kShow,
  kGroupStatus,
  kGroupMove,
  kGroupPromote,
  kSleep,
  kLockingSelect,  ///< SELECT ... FOR UPDATE or FOR SHARE.
};

/// One statement.
struct statement {
  statement_kind kind = statement_kind::kSql;
  std::string text;          ///< As SQLite is to see it.
  std::uint64_t number = 0;  ///< Of kSetTerm, kGroupMove and kGroupPromote.
  double seconds = 0;        ///< Of kSleep.
};

/// Splits a query at the semicolons outside quotes and comments and
/// recognises each statement. Empty ones are left out.
std::vector<statement> ReadStatements(std::string_view query);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_STATEMENT_TEXT_H_
