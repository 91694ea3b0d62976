// An in-memory SQLite database as the store of a database stand-in.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_SQL_STORE_H_
#define MARJORAMSLIP_TOOLS_STANDIN_SQL_STORE_H_

#include <sqlite3.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace standin {

/// A refusal as PostgreSQL words it.
struct sql_error {
  std::string sqlstate;
  std::string message;
};

/// The answer to a statement.
struct sql_answer {
  std::optional<sql_error> error;
  bool has_rows = false;
  std::vector<std::string> names;
  std::vector<bool> integers;  ///< For each column.
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::string tag;  ///< Of CommandComplete.
};

/// Makes an answer that is an error.
sql_answer Refusal(std::string sqlstate, std::string message);

/// Makes an answer of one row with one text.
sql_answer OneText(std::string name, std::string text);

/// Not safe for use by several threads at once.
class sql_store {
 public:
  sql_store();

  /// Empties the store.
  void Reset();

  /// Runs one statement.
  sql_answer Run(const std::string& text);

  /// True if the statement would change data; false if it reads or is
  /// malformed.
  bool Writes(const std::string& text);

 private:
  struct closer {
    void operator()(sqlite3* handle) const { sqlite3_close(handle); }
  };

  sql_answer Failure() const;
  std::string TagOf(const std::string& text, const sql_answer& answer) const;

  std::unique_ptr<sqlite3, closer> handle_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_SQL_STORE_H_
