// Terms, transactions and the log of a database stand-in.

#include "database.h"

#include <algorithm>
#include <iostream>

namespace standin {

namespace {

constexpr const char* kOtherTerm = "72T01";
constexpr const char* kReadOnly = "25006";
constexpr const char* kNotReady = "57P03";
constexpr const char* kTransactionFailed = "25P02";

sql_answer Done(std::string tag) {
  sql_answer answer;
  answer.tag = std::move(tag);
  return answer;
}

wall_time Now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

}  // namespace

database::database(bool primary) {
  if (primary) {
    term_ = 1;
    primary_ = true;
    fresh_ = false;
    log_.BeginTerm(1);
  }
}

std::optional<sql_answer> database::Execute(
    transaction& own, const statement& what,
    std::optional<std::uint64_t> expected) {
  const std::lock_guard lock(mutex_);
  if (what.kind == statement_kind::kRollback) {
    AbortLocked(own);
    own.state = transaction::status::kIdle;
    return Done("ROLLBACK");
  }
  if (what.kind == statement_kind::kCommit) {
    return Commit(own, expected);
  }
  if (own.state == transaction::status::kFailed) {
    return Refusal(kTransactionFailed,
                   "current transaction is aborted, commands ignored until "
                   "end of transaction block");
  }
  if (owner_ != 0 && owner_ != own.id && what.kind != statement_kind::kBegin) {
    return std::nullopt;
  }
  sql_answer answer;
  if (auto refused = CheckTerm(own, expected)) {
    answer.error = std::move(refused);
  } else if (what.kind == statement_kind::kBegin) {
    return Begin(own);
  } else if (own.state == transaction::status::kOpen) {
    answer = RunInTransaction(own, what);
  } else {
    answer = RunAlone(what);
  }
  if (answer.error && own.state == transaction::status::kOpen) {
    AbortLocked(own);
    own.state = transaction::status::kFailed;
  }
  return answer;
}

bool database::AwaitFree(const transaction& own,
                         std::chrono::steady_clock::time_point deadline) {
  std::unique_lock lock(mutex_);
  return released_.wait_until(lock, deadline,
                              [&] { return owner_ == 0 || owner_ == own.id; });
}

void database::Abort(transaction& own) {
  const std::lock_guard lock(mutex_);
  AbortLocked(own);
  own.state = transaction::status::kIdle;
}

std::string database::State() {
  const std::lock_guard lock(mutex_);
  return StateLocked();
}

std::string database::Move(std::uint64_t term) {
  const std::lock_guard lock(mutex_);
  if (term <= term_) {
    return StateLocked();
  }
  if (owner_ != 0) {
    store_.Run("ROLLBACK");
    owner_ = 0;
    released_.notify_all();
  }
  term_ = term;
  primary_ = false;
  catch_up_.reset();
  std::cerr << "moved " << StateLocked() << std::endl;
  return StateLocked();
}

std::optional<std::string> database::Promote(std::uint64_t term) {
  const std::lock_guard lock(mutex_);
  if (term != term_ || term == 0) {
    return std::nullopt;
  }
  if (!primary_) {
    primary_ = true;
    fresh_ = false;
    log_.BeginTerm(term);
    std::cerr << "promoted " << StateLocked() << std::endl;
  }
  return StateLocked();
}

std::optional<pull_request> database::NextPull() {
  const std::lock_guard lock(mutex_);
  if (primary_) {
    return std::nullopt;
  }
  pull_request request;
  request.term = term_;
  request.fresh = fresh_;
  request.position = log_.Position();
  request.starts = log_.Starts();
  return request;
}

pull_answer database::Serve(const pull_request& request) {
  constexpr std::size_t kBatch = 500;
  const std::lock_guard lock(mutex_);
  pull_answer answer;
  answer.term = term_;
  const bool any_term = request.fresh && request.term == 0;
  if (!primary_ || !(any_term || request.term == term_)) {
    return answer;
  }
  answer.serves = true;
  answer.position = log_.Position();
  answer.starts = log_.Starts();
  answer.common = log_.CommonPrefix(request.starts, request.position);
  const wall_time newest = Now() - request.lag;
  const auto& entries = log_.Entries();
  for (auto at = answer.common; at < entries.size(); ++at) {
    const bool full = answer.entries.size() == kBatch;
    if (full || entries[at].committed > newest) {
      break;
    }
    answer.entries.push_back(entries[at]);
  }
  return answer;
}

void database::Apply(const pull_request& request, const pull_answer& answer) {
  const std::lock_guard lock(mutex_);
  const bool moved = term_ != request.term || primary_;
  if (moved || !answer.serves || log_.Position() != request.position) {
    return;
  }
  if (answer.common < log_.Position()) {
    RebuildTo(answer.common);
  }
  log_.SetStarts(answer.starts);
  for (const log_entry& entry : answer.entries) {
    ApplyEntry(entry);
  }
  if (!fresh_) {
    return;
  }
  if (!catch_up_ || catch_up_->term != answer.term) {
    catch_up_ = term_start{answer.term, answer.position};
  }
  if (log_.Position() >= catch_up_->start) {
    fresh_ = false;
    term_ = answer.term;
    std::cerr << "caught up " << StateLocked() << std::endl;
  }
}

std::optional<sql_error> database::CheckTerm(
    const transaction& own, std::optional<std::uint64_t> expected) const {
  const bool moved =
      own.state == transaction::status::kOpen && own.term != term_;
  if (moved || (expected && *expected != term_)) {
    return sql_error{kOtherTerm, "the database is at term " +
                                     std::to_string(term_) + "; nothing ran"};
  }
  if (fresh_) {
    return sql_error{kNotReady, "the database has not caught up yet"};
  }
  return std::nullopt;
}

sql_answer database::Begin(transaction& own) {
  if (own.state == transaction::status::kIdle) {
    own.state = transaction::status::kOpen;
    own.term = term_;
    own.wrote = false;
    own.statements.clear();
  }
  own.implicit = false;
  return Done("BEGIN");
}

sql_answer database::Commit(transaction& own,
                            std::optional<std::uint64_t> expected) {
  const auto before = own.state;
  if (before != transaction::status::kOpen) {
    own.state = transaction::status::kIdle;
    const bool failed = before == transaction::status::kFailed;
    return Done(failed ? "ROLLBACK" : "COMMIT");
  }
  const auto refused = CheckTerm(own, expected);
  if (refused || !own.wrote) {
    AbortLocked(own);
    own.state = transaction::status::kIdle;
    return refused ? Refusal(refused->sqlstate, refused->message)
                   : Done("COMMIT");
  }
  own.state = transaction::status::kIdle;
  sql_answer answer = store_.Run("COMMIT");
  if (answer.error) {
    AbortLocked(own);
    return answer;
  }
  if (!own.statements.empty()) {
    AppendCommitted(std::move(own.statements));
  }
  own.wrote = false;
  own.statements.clear();
  owner_ = 0;
  released_.notify_all();
  return Done("COMMIT");
}

sql_answer database::RunInTransaction(transaction& own, const statement& what) {
  const bool writes = what.kind == statement_kind::kSavepoint ||
                      what.kind == statement_kind::kLockingSelect ||
                      store_.Writes(what.text);
  return writes ? Write(own, what) : store_.Run(what.text);
}

sql_answer database::Write(transaction& own, const statement& what) {
  if (!primary_) {
    return Refusal(kReadOnly, "cannot write: this database is a replica");
  }
  if (!own.wrote) {
    store_.Run("BEGIN");
    own.wrote = true;
    owner_ = own.id;
  }
  sql_answer answer = store_.Run(what.text);
  const bool logged = what.kind != statement_kind::kLockingSelect;
  if (!answer.error && logged) {
    own.statements.push_back(what.text);
  }
  return answer;
}

sql_answer database::RunAlone(const statement& what) {
  if (what.kind == statement_kind::kSavepoint) {
    return Refusal("25P01", "savepoints need a transaction block");
  }
  const bool locks = what.kind == statement_kind::kLockingSelect;
  const bool writes = store_.Writes(what.text);
  if ((locks || writes) && !primary_) {
    return Refusal(kReadOnly, "cannot write: this database is a replica");
  }
  sql_answer answer = store_.Run(what.text);
  if (writes && !answer.error) {
    AppendCommitted({what.text});
  }
  return answer;
}

void database::AbortLocked(transaction& own) {
  if (own.wrote && owner_ == own.id) {
    store_.Run("ROLLBACK");
    owner_ = 0;
    released_.notify_all();
  }
  own.wrote = false;
  own.statements.clear();
}

void database::AppendCommitted(std::vector<std::string> statements) {
  log_.Append({term_, Now(), std::move(statements)});
}

void database::ApplyEntry(const log_entry& entry) {
  store_.Run("BEGIN");
  for (const std::string& text : entry.statements) {
    const sql_answer answer = store_.Run(text);
    if (answer.error) {
      std::cerr << "replay failed: " << answer.error->message << std::endl;
    }
  }
  store_.Run("COMMIT");
  log_.Append(entry);
}

void database::RebuildTo(std::uint64_t position) {
  std::vector<log_entry> kept(
      log_.Entries().begin(),
      log_.Entries().begin() + static_cast<std::ptrdiff_t>(position));
  std::cerr << "dropped " << log_.Position() - position
            << " entries beyond position " << position << std::endl;
  store_.Reset();
  log_.Truncate(0);
  for (const log_entry& entry : kept) {
    ApplyEntry(entry);
  }
}

std::string database::StateLocked() const {
  const std::uint64_t log_term = fresh_ ? 0 : log_.Term();
  const std::uint64_t position = fresh_ ? 0 : log_.Position();
  return std::to_string(term_) + "/" + std::to_string(log_term) + "/" +
         std::to_string(position) + "/" + (primary_ ? "primary" : "replica");
}

}  // namespace standin
