// Decides which statement an answer of an endpoint belongs to.

#ifndef MARJORAMSLIP_LIB_LINES_ANSWER_MATCHER_H_
#define MARJORAMSLIP_LIB_LINES_ANSWER_MATCHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "answer_history.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/core/statement.h"

namespace marjoramslip::lines {

/// How an answer ends before the endpoint is ready again.
enum class answer_end : std::uint8_t {
  kNone,      ///< With nothing; so does the answer to a startup.
  kUnsigned,  ///< With a success that is not signed.
  kSigned,
  kError,
};

/// A complete answer. The view is valid during the call.
struct whole_answer {
  answer_end end = answer_end::kNone;
  std::string_view text{};  ///< The signature, or the error line.
  bool has_rows = false;
  transaction_status transaction = transaction_status::kIdle;
  /// It began when no answer was due.
  bool began_unrequested = false;
};

/// What to do with an answer.
enum class answer_use : std::uint8_t {
  kOwn,          ///< It answers a statement of the instance.
  kIgnored,      ///< It repeats an earlier answer; its rows are void.
  kKept,         ///< The statement's answer, unless it repeats an earlier one.
  kFinal,        ///< The statement's answer.
  kKeptIsFinal,  ///< The answer that was kept is the statement's.
  kOutOfStep,    ///< Which statement it answers is unknown.
};

/// Follows the answers of one connection. An endpoint answers statements in
/// their order and may send an answer again at any later time; the protocol
/// gives an answer no id.
///
/// A signed answer that was not seen before is the one to the statement in
/// progress. Any other could repeat an earlier one. Markers tell: statements of
/// the instance that are sent behind the statement. The answer to the statement
/// is on the stream once they are answered, so an answer that was kept is the
/// statement's if there is no other by then.
///
/// Two faults at once remain: a repeated answer that is kept is mistaken for
/// the statement's if as many repeated answers to statements of the instance as
/// there are markers come between it and the real one.
class answer_matcher {
 public:
  /// A statement was sent behind `own` statements of the instance, with
  /// `markers` behind it. There must be none in progress.
  void OnSent(statement_kind kind, int own, int markers);
  /// Markers were sent behind the statement in progress.
  void OnMarkersSent(int markers);
  /// True if markers have to be sent behind the statement in progress.
  bool NeedsMarkers() const {
    return in_progress_ && doubtful_ && !confirming_;
  }

  answer_use Match(const whole_answer& answer);

  /// True if an answer is due.
  bool IsDue() const { return in_progress_ || own_due_ > 0; }
  /// True if the next answer may be that of the statement in progress.
  bool IsStatementDue() const { return in_progress_ && own_due_ == 0; }

 private:
  answer_use MatchUnrequested(const whole_answer& answer, bool known) const;
  answer_use MatchOwn(const whole_answer& answer, bool known);
  /// False if the statement in progress can't leave the transaction so.
  bool Fits(const whole_answer& answer) const;
  answer_use MatchStatement(const whole_answer& answer, bool known);
  answer_use MatchError(const whole_answer& answer, bool known);
  answer_use MatchSigned(bool known, transaction_status transaction);
  answer_use MatchUnsigned(transaction_status transaction);
  bool RollsBack() const;
  answer_use Ignore();
  answer_use Keep(const whole_answer& answer);
  answer_use OnMarkerAnswered();
  answer_use End(answer_use use, transaction_status transaction, int own_due);

  /// An answer that may repeat an earlier one.
  struct kept_answer {
    answer_end end = answer_end::kNone;
    std::string text;
    transaction_status transaction = transaction_status::kIdle;
  };

  answer_history history_;
  bool in_progress_ = false;
  statement_kind kind_ = statement_kind::kRead;
  /// The status before the statement in progress.
  transaction_status transaction_ = transaction_status::kIdle;
  /// Answers to statements of the instance that are due before the statement's.
  int own_due_ = 0;
  int trailing_due_ = 0;  ///< Those to markers of the statement before.
  int markers_ = 0;       ///< Sent behind the statement in progress.
  int markers_due_ = 0;   ///< Those that are not answered.
  /// Answers since markers were sent, not counting those to `own_due_`.
  int behind_markers_ = 0;
  /// An answer was kept or ignored that markers have to decide on.
  bool doubtful_ = false;
  bool confirming_ = false;  ///< These markers were sent.
  std::optional<kept_answer> kept_;
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_ANSWER_MATCHER_H_
