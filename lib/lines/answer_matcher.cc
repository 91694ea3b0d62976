// Matching of answers to statements by their ends and by markers.

#include "answer_matcher.h"

#include <algorithm>

namespace marjoramslip::lines {
namespace {

bool IsBegin(statement_kind kind) {
  return kind == statement_kind::kBegin || kind == statement_kind::kBeginRead;
}

}  // namespace

void answer_matcher::OnSent(statement_kind kind, int own, int markers) {
  in_progress_ = true;
  kind_ = kind;
  own_due_ += own;
  markers_ = markers;
  markers_due_ = markers;
  behind_markers_ = 0;
  doubtful_ = false;
  confirming_ = false;
  kept_.reset();
}

void answer_matcher::OnMarkersSent(int markers) {
  markers_ += markers;
  markers_due_ += markers;
  confirming_ = true;
}

answer_use answer_matcher::Match(const whole_answer& answer) {
  const bool has_text =
      answer.end == answer_end::kSigned || answer.end == answer_end::kError;
  const bool known = has_text && history_.Add(answer.text);
  if (answer.end == answer_end::kNone) {
    return answer.has_rows ? answer_use::kOutOfStep : answer_use::kIgnored;
  }
  if (answer.began_unrequested || !IsDue()) {
    return MatchUnrequested(answer, known);
  }
  if (own_due_ > 0) {
    return MatchOwn(answer, known);
  }
  if (!Fits(answer)) {
    return known ? Ignore() : answer_use::kOutOfStep;
  }
  const bool all_may_have_come = markers_ > 0 && ++behind_markers_ > markers_;
  const answer_use use = MatchStatement(answer, known);
  // Nothing more may come, so the statement would wait in vain.
  return in_progress_ && all_may_have_come ? answer_use::kOutOfStep : use;
}

bool answer_matcher::Fits(const whole_answer& answer) const {
  const bool is_signed = answer.end == answer_end::kSigned;
  const bool commits = is_signed && kind_ == statement_kind::kCommit;
  const bool stays_idle =
      transaction_ == transaction_status::kIdle &&
      (is_signed ? !IsBegin(kind_) : answer.end == answer_end::kError);
  return !(commits || stays_idle) ||
         answer.transaction == transaction_status::kIdle;
}

answer_use answer_matcher::MatchStatement(const whole_answer& answer,
                                          bool known) {
  switch (answer.end) {
    case answer_end::kError:
      return MatchError(answer, known);
    case answer_end::kSigned:
      return MatchSigned(known, answer.transaction);
    case answer_end::kUnsigned:
    case answer_end::kNone:
      break;
  }
  return answer.has_rows ? answer_use::kOutOfStep
                         : MatchUnsigned(answer.transaction);
}

answer_use answer_matcher::MatchUnrequested(const whole_answer& answer,
                                            bool known) const {
  const bool repeats_own =
      answer.end == answer_end::kUnsigned && !answer.has_rows;
  return known || repeats_own ? answer_use::kIgnored : answer_use::kOutOfStep;
}

answer_use answer_matcher::MatchOwn(const whole_answer& answer, bool known) {
  const bool refuses_marker = trailing_due_ > 0 &&
                              transaction_ == transaction_status::kFailed &&
                              answer.end == answer_end::kError &&
                              answer.transaction == transaction_status::kFailed;
  if (refuses_marker) {
    --trailing_due_;
    --own_due_;
    return answer_use::kOwn;
  }
  if (answer.end == answer_end::kUnsigned && !answer.has_rows) {
    --own_due_;
    trailing_due_ = std::max(0, trailing_due_ - 1);
    return answer_use::kOwn;
  }
  // An error may mean that the session's state was not applied; then the
  // statement in progress runs without it.
  const bool may_be_own = answer.end == answer_end::kError && in_progress_;
  return known && !may_be_own ? answer_use::kIgnored : answer_use::kOutOfStep;
}

answer_use answer_matcher::MatchError(const whole_answer& answer, bool known) {
  if (known && RollsBack()) {
    // Whether it ran shows in the transaction status of the markers' answers.
    return Ignore();
  }
  if (!kept_) {
    return known ? Keep(answer)
                 : End(answer_use::kFinal, answer.transaction, markers_);
  }
  if (kept_->end == answer_end::kUnsigned) {
    // Either the kept success is a repetition, or a marker was refused.
    return answer_use::kOutOfStep;
  }
  if (kept_->text == answer.text) {
    // One of the two is the statement's. Where they differ in the transaction,
    // it can't be told which one.
    return kept_->transaction == answer.transaction ? Ignore()
                                                    : answer_use::kOutOfStep;
  }
  // Markers are refused in a failed transaction.
  const bool refuses_marker =
      kept_->transaction == transaction_status::kFailed &&
      answer.transaction == transaction_status::kFailed;
  if (refuses_marker && markers_due_ > 0) {
    return OnMarkerAnswered();
  }
  return known ? answer_use::kOutOfStep
               : End(answer_use::kFinal, answer.transaction, markers_);
}

answer_use answer_matcher::MatchSigned(bool known,
                                       transaction_status transaction) {
  return known ? Ignore() : End(answer_use::kFinal, transaction, markers_);
}

answer_use answer_matcher::MatchUnsigned(transaction_status transaction) {
  // Markers do not change the transaction.
  if (kept_ && kept_->transaction == transaction) {
    return markers_due_ > 0 ? OnMarkerAnswered() : answer_use::kOutOfStep;
  }
  if (IsBegin(kind_) && transaction == transaction_status::kOpen) {
    kept_ = kept_answer{answer_end::kUnsigned, {}, transaction};
    return answer_use::kKept;
  }
  if (RollsBack() && transaction == transaction_status::kIdle) {
    return End(answer_use::kFinal, transaction, markers_);
  }
  // Repeats an answer to a statement of the instance, or answers a marker.
  if (!kept_ && markers_due_ > 0 && --markers_due_ == 0) {
    return answer_use::kOutOfStep;
  }
  return Ignore();
}

bool answer_matcher::RollsBack() const {
  return kind_ == statement_kind::kRollback ||
         (kind_ == statement_kind::kCommit &&
          transaction_ == transaction_status::kFailed);
}

answer_use answer_matcher::Ignore() {
  doubtful_ = true;
  return answer_use::kIgnored;
}

answer_use answer_matcher::Keep(const whole_answer& answer) {
  doubtful_ = true;
  kept_ = kept_answer{answer.end, std::string(answer.text), answer.transaction};
  return answer_use::kKept;
}

answer_use answer_matcher::OnMarkerAnswered() {
  if (--markers_due_ > 0) {
    return answer_use::kOwn;
  }
  return End(answer_use::kKeptIsFinal, kept_->transaction, 0);
}

answer_use answer_matcher::End(answer_use use, transaction_status transaction,
                               int own_due) {
  in_progress_ = false;
  own_due_ = own_due;
  trailing_due_ = own_due;
  markers_ = 0;
  markers_due_ = 0;
  doubtful_ = false;
  kept_.reset();
  transaction_ = transaction;
  return use;
}

}  // namespace marjoramslip::lines
