// One caller of a run.

#include "caller.h"

#include <algorithm>
#include <thread>

namespace load {

namespace {

using namespace std::chrono_literals;

constexpr auto kFirstBackOff = 5ms;
constexpr auto kLongestBackOff = 100ms;
constexpr std::uint32_t kKeyedAttempts = 20;
constexpr const char* kTokenParameter = "marjoramslip.session_token";
constexpr const char* kUniqueViolation = "23505";

std::int64_t ToInteger(const std::string& text) {
  return text.empty() ? 0 : std::stoll(text);
}

}  // namespace

std::string TenantOf(const load_options& options, std::size_t caller) {
  return "tenant-" + std::to_string(caller % options.tenants);
}

link_options LinkOptions(const load_options& options, const std::string& target,
                         const std::string& tenant, const std::string& name) {
  link_options out;
  out.target = target;
  out.service = options.service;
  out.name = name;
  out.timeout = options.timeout;
  out.options = "-c marjoramslip.tenant=" + tenant;
  if (options.session == session_mode::kNamed) {
    out.options += " -c marjoramslip.session=" + name;
  }
  return out;
}

caller::caller(shared_run& run, std::size_t index)
    : run_(run),
      options_(run.options),
      index_(index),
      random_(run.options.seed * 1'000'003 + index) {
  history_.caller = run.name + "-" + std::to_string(index);
  history_.tenant = TenantOf(options_, index);
  for (const std::string& target : options_.targets) {
    places_.emplace_back(
        LinkOptions(options_, target, history_.tenant, history_.caller));
  }
  target_ = index % places_.size();
}

void caller::Run() {
  const bool paced = options_.rate > 0;
  const std::chrono::duration<double> seconds(
      paced ? options_.callers / options_.rate : 0);
  const auto interval =
      std::chrono::duration_cast<monotonic::duration>(seconds);
  monotonic due = run_.start + interval * index_ / options_.callers;
  while (std::chrono::steady_clock::now() < run_.end && due < run_.end) {
    WaitUntil(due);
    if (Chance(options_.roam)) {
      Roam();
    }
    RunOne(paced ? due : std::chrono::steady_clock::now());
    due += interval;
  }
}

void caller::WaitUntil(monotonic due) { std::this_thread::sleep_until(due); }

void caller::Roam() {
  if (places_.size() < 2) {
    return;
  }
  std::uniform_int_distribution<std::size_t> others(1, places_.size() - 1);
  target_ = (target_ + others(random_)) % places_.size();
  carry_token_ = true;
}

operation_kind caller::Choose() {
  if (acknowledged_ > 0 && Chance(options_.read_share)) {
    return Chance(options_.staleness_share) ? operation_kind::kAgedRead
                                            : operation_kind::kRead;
  }
  if (acknowledged_ > 0 && Chance(options_.increment_share)) {
    return operation_kind::kIncrement;
  }
  return Chance(options_.transaction_share) ? operation_kind::kTransaction
                                            : operation_kind::kInsert;
}

void caller::RunOne(monotonic due) {
  operation one;
  switch (Choose()) {
    case operation_kind::kRead:
      one = Read();
      break;
    case operation_kind::kAgedRead:
      one = AgedRead();
      break;
    case operation_kind::kInsert:
      one = Insert();
      break;
    case operation_kind::kIncrement:
      one = Increment();
      break;
    case operation_kind::kTransaction:
      one = Transaction();
      break;
  }
  one.due = due;
  one.target = static_cast<std::uint32_t>(target_);
  one.end = std::chrono::steady_clock::now();
  history_.operations.push_back(one);
}

operation caller::Read() {
  operation one;
  one.kind = operation_kind::kRead;
  const std::string echo = history_.caller + "#" + std::to_string(++reads_);
  const reply answer =
      Ask("SELECT max(seq), '" + echo + "' FROM ledger WHERE caller = '" +
          history_.caller + "'");
  NoteAnswer(one, answer);
  if (!answer.Succeeded()) {
    return one;
  }
  CheckEcho(answer, echo);
  const std::int64_t seen = ToInteger(answer.Value());
  if (seen < acknowledged_) {
    Violation("read-your-writes: saw row " + std::to_string(seen) + ", row " +
              std::to_string(acknowledged_) + " was acknowledged");
  }
  if (seen >= next_seq_) {
    Violation("saw a row that was never written");
  }
  return one;
}

operation caller::AgedRead() {
  operation one;
  one.kind = operation_kind::kAgedRead;
  // Callers of one tenant share a group.
  const std::size_t peers =
      (options_.callers - 1 - index_ % options_.tenants) / options_.tenants;
  std::uniform_int_distribution<std::size_t> any(0, peers);
  const std::size_t other =
      index_ % options_.tenants + any(random_) * options_.tenants;
  const std::string name = run_.name + "-" + std::to_string(other);
  const std::string echo = history_.caller + "#" + std::to_string(++reads_);
  const auto asked = std::chrono::steady_clock::now();
  const reply answer = Ask("SELECT max(written_us), '" + echo +
                               "' FROM ledger WHERE caller = '" + name + "'",
                           true);
  NoteAnswer(one, answer);
  if (!answer.Succeeded()) {
    return one;
  }
  CheckEcho(answer, echo);
  const auto fresh = other == index_ ? asked : asked - options_.max_staleness;
  const std::int64_t least = run_.board.NewestBefore(other, fresh);
  const std::int64_t seen = ToInteger(answer.Value());
  if (seen < least) {
    const std::string by = seen == 0
                               ? "no row at all"
                               : std::to_string(least - seen) + " us too old";
    Violation("stated age: saw " + by);
  }
  return one;
}

operation caller::Insert() {
  const std::int64_t seq = next_seq_++;
  const std::int64_t written_us = NextWritten();
  operation one =
      WriteAlone(operation_kind::kInsert, seq, InsertText(seq, written_us));
  if (one.effect == outcome::kAccepted) {
    Acknowledge(seq, written_us);
  }
  if (one.sqlstate == kUniqueViolation) {
    Violation("a row with an id of its own exists already: ran twice");
  }
  return one;
}

operation caller::Increment() {
  return WriteAlone(operation_kind::kIncrement, acknowledged_,
                    "UPDATE ledger SET amount = amount + 1 WHERE id = '" +
                        RowId(acknowledged_) + "'");
}

operation caller::WriteAlone(operation_kind kind, std::int64_t seq,
                             const std::string& text) {
  operation one;
  one.kind = kind;
  one.seq = seq;
  one.rows = 1;
  one.keyed = Chance(options_.keyed_share);
  if (!one.keyed) {
    NoteAnswer(one, Ask(text));
    return one;
  }
  const std::string key =
      history_.caller + "-" + std::to_string(history_.operations.size());
  reply answer = AskKeyed(text, key);
  bool unknown = answer.effect == outcome::kMayHaveRun;
  while (unknown && one.attempts < kKeyedAttempts) {
    ++one.attempts;
    NoteAnswer(one, answer);
    answer = AskKeyed(text, key);
    unknown =
        answer.effect != outcome::kAccepted && answer.effect != outcome::kRan;
  }
  NoteAnswer(one, answer);
  if (unknown) {
    // A later "not run" speaks of the last attempt alone.
    one.effect = outcome::kMayHaveRun;
  }
  return one;
}

operation caller::Transaction() {
  operation one;
  one.kind = operation_kind::kTransaction;
  one.seq = next_seq_;
  one.rows = 2;
  next_seq_ += one.rows;
  const std::int64_t first_us = NextWritten();
  const std::int64_t second_us = NextWritten();
  reply answer = Ask("BEGIN");
  if (answer.Succeeded()) {
    answer = places_[target_].connection.Run(InsertText(one.seq, first_us));
  }
  if (answer.Succeeded()) {
    answer =
        places_[target_].connection.Run(InsertText(one.seq + 1, second_us));
  }
  const bool commits = answer.Succeeded();
  if (commits) {
    answer = places_[target_].connection.Run("COMMIT");
  } else {
    if (places_[target_].connection.Open()) {
      places_[target_].connection.Run("ROLLBACK");
    }
    // Nothing was committed, whatever became of the statement that failed.
    answer.effect = outcome::kNotRun;
  }
  NoteAnswer(one, answer);
  if (one.effect == outcome::kAccepted) {
    Acknowledge(one.seq + 1, second_us);
  }
  return one;
}

reply caller::Ask(const std::string& text, bool aged) {
  reply prepared = Prepare(aged);
  if (!prepared.Succeeded()) {
    return prepared;
  }
  return places_[target_].connection.Run(text);
}

reply caller::AskKeyed(const std::string& text, const std::string& key) {
  reply prepared = Prepare(false);
  if (prepared.Succeeded()) {
    prepared = Set("marjoramslip.request_id", key);
  }
  if (!prepared.Succeeded()) {
    return prepared;
  }
  return places_[target_].connection.Run(text);
}

reply caller::Prepare(bool aged) {
  place& here = places_[target_];
  if (!here.connection.Open()) {
    here.aged = false;
    carry_token_ = true;
  }
  reply done;
  const bool token = options_.session == session_mode::kToken;
  if (token && carry_token_ && !token_.empty()) {
    done = Set(kTokenParameter, token_);
  }
  if (done.Succeeded() && aged != here.aged) {
    done = Set(
        "marjoramslip.max_staleness",
        aged ? std::to_string(options_.max_staleness.count()) + "ms" : "off");
    here.aged = aged;
  }
  carry_token_ = carry_token_ && !done.Succeeded();
  if (!done.Succeeded()) {
    // The statement itself has not been sent.
    here.connection.Close();
    done.effect = outcome::kNotRun;
  }
  return done;
}

reply caller::Set(const std::string& name, const std::string& value) {
  reply done =
      places_[target_].connection.Run("SET " + name + " = '" + value + "'");
  if (!done.Succeeded()) {
    done.effect = outcome::kNotRun;
  }
  return done;
}

void caller::NoteAnswer(operation& one, const reply& answer) {
  one.effect = answer.effect;
  one.verdict = answer.verdict || answer.broken || !answer.sent;
  one.sqlstate = answer.sqlstate;
  const std::string token =
      places_[target_].connection.Parameter(kTokenParameter);
  if (!token.empty()) {
    token_ = token;
  }
  BackOff(answer);
}

void caller::Acknowledge(std::int64_t seq, std::int64_t written_us) {
  acknowledged_ = seq;
  run_.board.Add(index_, {std::chrono::steady_clock::now(), written_us});
}

void caller::CheckEcho(const reply& answer, const std::string& expected) {
  const bool whole = answer.rows.size() == 1 && answer.rows[0].size() == 2;
  if (!whole || answer.rows[0][1] != expected) {
    Violation("an answer to another request, or not a whole one");
  }
}

void caller::Violation(const std::string& what) {
  history_.violations.push_back({what, history_.caller});
}

void caller::BackOff(const reply& answer) {
  if (answer.Succeeded()) {
    back_off_ = 0ms;
    return;
  }
  if (answer.broken || !answer.sent) {
    Roam();
  }
  back_off_ = std::clamp<std::chrono::milliseconds>(
      back_off_ * 2, kFirstBackOff, kLongestBackOff);
  std::this_thread::sleep_for(back_off_);
}

std::string caller::InsertText(std::int64_t seq,
                               std::int64_t written_us) const {
  return "INSERT INTO ledger(id, caller, seq, amount, written_us) VALUES ('" +
         RowId(seq) + "', '" + history_.caller + "', " + std::to_string(seq) +
         ", 0, " + std::to_string(written_us) + ")";
}

std::string caller::RowId(std::int64_t seq) const {
  return history_.caller + "-" + std::to_string(seq);
}

std::int64_t caller::NextWritten() {
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  last_written_us_ = std::max<std::int64_t>(last_written_us_ + 1, now.count());
  return last_written_us_;
}

bool caller::Chance(double share) {
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  return chance(random_) < share;
}

}  // namespace load
