// The steps: BEGIN, look the key up, the statement, record the key, COMMIT.

#include "idempotent_script.h"

#include <cassert>
#include <utility>

namespace marjoramslip::shell {

namespace {

constexpr std::string_view kUniqueViolation = "23505";
constexpr std::string_view kUndefinedTable = "42P01";
constexpr std::string_view kCommitTag = "COMMIT";

/// Tags are made by the endpoint, from a fixed vocabulary; still, only
/// characters that need no quoting are kept.
std::string QuoteTag(std::string_view tag) {
  std::string quoted = "'";
  for (const char c : tag) {
    if (c != '\'' && c != '\\') {
      quoted += c;
    }
  }
  return quoted + "'";
}

}  // namespace

idempotent_script::idempotent_script(script_kind kind, std::string key_literal)
    : kind_(kind),
      key_literal_(std::move(key_literal)),
      step_(kind == script_kind::kCommit ? step::kRecord : step::kBegin),
      may_have_run_(kind == script_kind::kCommit) {
  if (kind == script_kind::kCommit) {
    tag_ = kCommitTag;
  }
}

std::string idempotent_script::Sql() const {
  switch (step_) {
    case step::kBegin:
      return "BEGIN";
    case step::kLookUp:
    case step::kSettle:
      return "SELECT tag FROM marjoramslip_requests WHERE id = " + key_literal_;
    case step::kRecord:
      return "INSERT INTO marjoramslip_requests(id, tag) VALUES (" +
             key_literal_ + ", " + QuoteTag(tag_) + ")";
    case step::kCommit:
      return "COMMIT";
    case step::kRollback:
      return "ROLLBACK";
    case step::kCreateTable:
      return "CREATE TABLE IF NOT EXISTS "
             "marjoramslip_requests(id text primary key, tag text)";
    case step::kStatement:
    case step::kDone:
      break;
  }
  assert(false && "nothing to send");
  return {};
}

void idempotent_script::Finish(const step_result& answer) {
  const bool succeeded = answer.sqlstate.empty();
  switch (step_) {
    case step::kBegin:
      step_ = succeeded ? step::kLookUp : step::kDone;
      return;
    case step::kLookUp:
      FinishLookUp(answer);
      return;
    case step::kStatement:
      if (!succeeded) {
        FailAfterRollback();
        return;
      }
      tag_ = answer.tag;
      step_ = step::kRecord;
      return;
    case step::kRecord:
      FinishRecord(answer);
      return;
    case step::kCommit:
      FinishCommit(answer);
      return;
    case step::kRollback:
      step_ = after_rollback_;
      return;
    case step::kCreateTable:
      FinishCreateTable(answer);
      return;
    case step::kSettle:
      FinishSettle(answer);
      return;
    case step::kDone:
      assert(false && "the script has ended");
  }
}

void idempotent_script::FinishLookUp(const step_result& answer) {
  if (answer.sqlstate == kUndefinedTable && !table_created_) {
    RollBackThen(step::kCreateTable);
    return;
  }
  if (!answer.sqlstate.empty()) {
    FailAfterRollback();
    return;
  }
  if (answer.cell) {
    end_ = script_end::kAlreadyRan;
    recorded_tag_ = *answer.cell;
    RollBackThen(step::kDone);
    return;
  }
  step_ = step::kStatement;
  may_have_run_ = true;
}

void idempotent_script::FinishRecord(const step_result& answer) {
  if (answer.sqlstate.empty()) {
    step_ = step::kCommit;
    return;
  }
  if (answer.sqlstate == kUniqueViolation) {
    RollBackThen(step::kSettle);
    return;
  }
  if (answer.sqlstate == kUndefinedTable && !table_created_) {
    RollBackThen(step::kCreateTable);
    return;
  }
  FailAfterRollback();
}

void idempotent_script::FinishCreateTable(const step_result& answer) {
  table_created_ = true;
  // Another creator may have won: beginning again tells. The transaction that
  // the caller opened is lost and cannot begin again here.
  const bool exists =
      answer.sqlstate.empty() || answer.sqlstate == kUniqueViolation;
  const bool again = exists && kind_ == script_kind::kOwnTransaction;
  step_ = again ? step::kBegin : step::kDone;
}

void idempotent_script::FinishCommit(const step_result& answer) {
  if (answer.sqlstate.empty() && answer.tag == kCommitTag) {
    end_ = script_end::kSucceeded;
    step_ = step::kDone;
    return;
  }
  if (answer.sqlstate == kUniqueViolation) {
    RollBackThen(step::kSettle);
    return;
  }
  FailAfterRollback();
}

void idempotent_script::FinishSettle(const step_result& answer) {
  step_ = step::kDone;
  if (answer.cell) {
    end_ = script_end::kAlreadyRan;
    recorded_tag_ = *answer.cell;
  }
}

void idempotent_script::RollBackThen(step next) {
  after_rollback_ = next;
  step_ = step::kRollback;
}

void idempotent_script::FailAfterRollback() {
  end_ = script_end::kFailed;
  RollBackThen(step::kDone);
}

}  // namespace marjoramslip::shell
