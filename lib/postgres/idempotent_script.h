// The statements that run a caller's write at most once for its idempotency
// key, as a state machine without input or output.

#ifndef MARJORAMSLIP_LIB_POSTGRES_IDEMPOTENT_SCRIPT_H_
#define MARJORAMSLIP_LIB_POSTGRES_IDEMPOTENT_SCRIPT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramslip::shell {

/// How one statement of a script ended.
struct step_result {
  std::string sqlstate;  ///< Empty if it succeeded.
  std::string tag;
  /// The first cell of the first row, if there is one.
  std::optional<std::string> cell;
};

/// How a script ended.
enum class script_end : std::uint8_t { kSucceeded, kFailed, kAlreadyRan };

/// Which transaction the script works in.
enum class script_kind : std::uint8_t {
  kOwnTransaction,  ///< Wraps a single statement.
  kCommit,          ///< Ends the transaction that the caller opened.
};

/// Runs the caller's statement and the recording of its key in one
/// transaction. A unique key decides between concurrent attempts.
class idempotent_script {
 public:
  /// `key_literal` is the key, quoted for SQL.
  idempotent_script(script_kind kind, std::string key_literal);

  /// True if the caller's own statement is to be sent next.
  bool AtStatement() const { return step_ == step::kStatement; }

  /// What to send next, unless AtStatement().
  std::string Sql() const;

  /// Takes the answer to what was sent.
  void Finish(const step_result& answer);

  bool Done() const { return step_ == step::kDone; }

  /// Once Done().
  script_end End() const { return end_; }

  /// The command tag that was recorded with the key, on kAlreadyRan.
  const std::string& RecordedTag() const { return recorded_tag_; }

  /// False only while nothing that was sent could have an effect for the key.
  bool MayHaveRun() const { return may_have_run_; }

 private:
  enum class step : std::uint8_t {
    kBegin,
    kLookUp,
    kStatement,
    kRecord,
    kCommit,
    kRollback,
    kCreateTable,
    kSettle,  ///< Looks the key up after losing a race for it.
    kDone,
  };

  void FinishLookUp(const step_result& answer);
  void FinishCreateTable(const step_result& answer);
  void FinishRecord(const step_result& answer);
  void FinishCommit(const step_result& answer);
  void FinishSettle(const step_result& answer);
  void RollBackThen(step next);
  void FailAfterRollback();

  script_kind kind_;
  std::string key_literal_;
  std::string tag_;
  std::string recorded_tag_;
  step step_;
  step after_rollback_ = step::kDone;
  script_end end_ = script_end::kFailed;
  bool table_created_ = false;
  bool may_have_run_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_IDEMPOTENT_SCRIPT_H_
