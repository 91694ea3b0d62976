// What a parse tree says of each of its statements.

#ifndef MARJORAMSLIP_SQL_STATEMENT_FACTS_H_
#define MARJORAMSLIP_SQL_STATEMENT_FACTS_H_

#include <string>
#include <string_view>
#include <vector>

namespace marjoramslip::sql {

/// Facts of one statement. Views point into the tree.
struct statement_facts {
  std::string_view node;  ///< The kind of statement, such as "SelectStmt".
  /// False if any part of it is not known to be without side effects.
  bool plain_read = true;
  /// True if it changes the state of its connection for those who come after.
  bool leaves_traces = false;
  /// True for the CONCURRENTLY of a statement.
  bool concurrent = false;
  // Of statements about settings and transactions.
  std::string_view kind;  ///< Such as "VAR_SET_VALUE".
  std::string name;       ///< The setting.
  std::vector<std::string> values;
  bool local = false;  ///< SET LOCAL.
  bool chain = false;  ///< AND CHAIN.
};

/// Reads the facts of all statements of `tree`, the parse tree of `source` as
/// JSON.
std::vector<statement_facts> ReadFacts(std::string_view tree,
                                       std::string_view source);

}  // namespace marjoramslip::sql

#endif  // MARJORAMSLIP_SQL_STATEMENT_FACTS_H_
