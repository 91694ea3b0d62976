// Bytes of an answer.

#include "caller_answer.h"

#include "marjoramslip/runtime/caller_limits.h"

namespace marjoramslip::shell {
namespace {

constexpr answer_fault kTooLong{
    "54000",
    "what follows the first part of the answer is too long to be kept"};
constexpr answer_fault kInterrupted{
    "58000", "the answer was interrupted after a part of it had been sent"};

}  // namespace

void AppendErrorWithVerdict(std::string& out, wire::error_fields fields,
                            verdict effect) {
  if (!fields.detail.empty()) {
    fields.detail += '\n';
  }
  fields.detail += "verdict: ";
  fields.detail += VerdictName(effect);
  wire::AppendErrorResponse(out, fields);
}

void caller_answer::Start(verdict failed) {
  effect_ = failed;
  start_ = connection_.Position();
  Discard();
  fault_ = nullptr;
}

void caller_answer::Restart() {
  Discard();
  if (!connection_.TakeBack(start_)) {
    fault_ = &kInterrupted;
  }
}

void caller_answer::Columns(std::span<const wire::column> columns) {
  if (fault_ == nullptr) {
    wire::AppendRowDescription(Target(), columns);
    Sent();
  }
}

void caller_answer::Row(std::span<const wire::cell> cells) {
  if (fault_ == nullptr) {
    wire::AppendDataRow(Target(), cells);
    Sent();
  }
}

void caller_answer::Tag(std::string_view tag) {
  holding_ = true;
  if (fault_ == nullptr) {
    wire::AppendCommandComplete(held_, tag);
    Sent();
  }
}

void caller_answer::ServerError(const wire::error_fields& fields) {
  holding_ = true;
  failed_ = true;
  if (fault_ == nullptr) {
    AppendErrorWithVerdict(held_, fields, effect_);
    Sent();
  }
}

void caller_answer::Notice(const wire::error_fields& fields) {
  if (fault_ == nullptr) {
    wire::AppendNoticeResponse(Target(), fields);
    Sent();
  }
}

void caller_answer::Sent() {
  if (!holding_) {
    if (connection_.Pending() >= together_) {
      connection_.Schedule();
    }
    return;
  }
  if (held_.size() > held_limit_) {
    held_ = std::string();
    fault_ = &kTooLong;
  }
}

void caller_answer::Release() {
  connection_.Output() += held_;
  Discard();
}

void caller_answer::Discard() {
  held_.clear();
  if (held_.capacity() > kKeptBufferBytes) {
    held_.shrink_to_fit();
  }
  holding_ = false;
  failed_ = false;
}

}  // namespace marjoramslip::shell
