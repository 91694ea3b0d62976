// The state of a database stand-in: its store, log, term and role, and the
// one transaction that may have written.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_DATABASE_H_
#define MARJORAMSLIP_TOOLS_STANDIN_DATABASE_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "group_log.h"
#include "sql_store.h"
#include "statement_text.h"

namespace standin {

/// The transaction of one connection.
struct transaction {
  enum class status : std::uint8_t { kIdle, kOpen, kFailed };

  std::uint64_t id = 0;  ///< Of the connection, never 0.
  status state = status::kIdle;
  bool implicit = false;   ///< Opened for a query of several statements.
  std::uint64_t term = 0;  ///< Of the database when it began.
  bool wrote = false;
  std::vector<std::string> statements;  ///< Those that wrote.
};

/// What a replica asks of another database.
struct pull_request {
  std::uint64_t term = 0;
  bool fresh = false;  ///< It holds nothing that counts yet.
  std::uint64_t position = 0;
  std::vector<term_start> starts;
  std::chrono::milliseconds lag{0};  ///< Entries younger are not wanted.
};

/// What the other one answers.
struct pull_answer {
  bool serves = false;  ///< It is the primary that the replica is to follow.
  std::uint64_t term = 0;
  std::uint64_t position = 0;
  std::uint64_t common = 0;  ///< Prefix shared with the replica.
  std::vector<term_start> starts;
  std::vector<log_entry> entries;  ///< From `common` on.
};

/// A database safe for use by several threads.
class database {
 public:
  /// A primary starts at term 1; any other is new and holds nothing.
  explicit database(bool primary);

  /// Runs a statement of a connection bound to `expected` (empty: to no
  /// term). Empty if another transaction has written and is not over.
  std::optional<sql_answer> Execute(transaction& own, const statement& what,
                                    std::optional<std::uint64_t> expected);

  /// Waits until no other transaction holds the store; false at `deadline`.
  bool AwaitFree(const transaction& own,
                 std::chrono::steady_clock::time_point deadline);

  /// Ends the transaction of a connection without effect.
  void Abort(transaction& own);

  /// "term/log_term/position/role".
  std::string State();
  /// Moves to a term; the state afterwards.
  std::string Move(std::uint64_t term);
  /// Becomes the primary of `term`; empty if it is at another.
  std::optional<std::string> Promote(std::uint64_t term);

  /// What to ask for; empty while it is a primary.
  std::optional<pull_request> NextPull();
  /// Answers a replica.
  pull_answer Serve(const pull_request& request);
  /// Applies what a primary answered to `request`.
  void Apply(const pull_request& request, const pull_answer& answer);

 private:
  std::optional<sql_error> CheckTerm(
      const transaction& own, std::optional<std::uint64_t> expected) const;
  sql_answer RunInTransaction(transaction& own, const statement& what);
  sql_answer RunAlone(const statement& what);
  sql_answer Begin(transaction& own);
  sql_answer Commit(transaction& own, std::optional<std::uint64_t> expected);
  sql_answer Write(transaction& own, const statement& what);
  void AbortLocked(transaction& own);
  void AppendCommitted(std::vector<std::string> statements);
  void ApplyEntry(const log_entry& entry);
  void RebuildTo(std::uint64_t position);
  std::string StateLocked() const;

  std::mutex mutex_;
  std::condition_variable released_;
  sql_store store_;
  group_log log_;
  std::uint64_t term_ = 0;
  bool primary_ = false;
  bool fresh_ = true;
  /// What a new database has to reach before it counts, and of which term.
  std::optional<term_start> catch_up_;
  std::uint64_t owner_ = 0;  ///< Of the store; 0: none.
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_DATABASE_H_
