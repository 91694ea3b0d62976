// Callers of randomised runs and what they hold the system to.

#include <algorithm>
#include <utility>

#include "world.h"

namespace marjoramslip::random_runs {

namespace {

constexpr duration kStatedAge = std::chrono::milliseconds(400);
constexpr duration kLongestRequest = std::chrono::seconds(12);

}  // namespace

void world::ConnectCaller(std::size_t index) {
  caller& who = callers_[index];
  // A dead instance refuses the connection at once.
  for (std::size_t tries = 0; tries < 10; ++tries) {
    who.instance = Pick(instances_.size());
    if (instances_[who.instance].alive) {
      break;
    }
  }
  who.incarnation = instances_[who.instance].incarnation;
  who.id = caller_id{++next_caller_};
  who.plan.clear();
  who.transaction.clear();
  who.in_transaction = false;
  who.carries_token = Chance(0.5);
  Give(who.instance, caller_opened{who.id, "ledger", "tenant"});
}

void world::PlanStatements(caller& who) {
  if (Chance(0.5)) {
    who.plan.push_back({action::kRead, 0, {}});
    return;
  }
  if (Chance(0.75)) {
    const write_id write = ++next_write_;
    const std::string key = Chance(0.4) ? "key-" + std::to_string(write) : "";
    who.plan.push_back({action::kWrite, write, key});
    return;
  }
  // In the order of a stack: the last statement is sent first.
  who.plan.push_back({action::kCommit, 0, {}});
  for (std::size_t i = 0; i < 1 + Pick(3); ++i) {
    who.plan.push_back({action::kWrite, ++next_write_, {}});
  }
  who.plan.push_back({action::kBegin, 0, {}});
}

void world::NextStatement(std::size_t index) {
  caller& who = callers_[index];
  const instance& mine = instances_[who.instance];
  const bool gone = who.id == caller_id{} || !mine.alive ||
                    mine.incarnation != who.incarnation;
  if (gone) {
    ConnectCaller(index);
    if (!instances_[who.instance].alive) {
      At(std::chrono::milliseconds(100),
         [this, index] { NextStatement(index); });
      return;
    }
  } else if (who.plan.empty() && Chance(0.25)) {
    Give(who.instance, caller_closed{who.id});
    ConnectCaller(index);
  }
  if (who.plan.empty()) {
    PlanStatements(who);
  }
  const statement next = who.plan.back();
  who.plan.pop_back();
  who.in_transaction = who.in_transaction || next.what == action::kBegin;
  Send(index, next);
}

void world::Send(std::size_t index, const statement& what) {
  caller& who = callers_[index];
  pending asked;
  asked.caller = index;
  asked.what = what;
  asked.asked = now_;
  asked.must_see = who.acknowledged;
  if (who.carries_token && who.token.term != 0) {
    asked.settings.token = who.token;
  }
  asked.settings.idempotency_key = what.key;
  if (what.what == action::kRead && Chance(0.4)) {
    asked.settings.max_staleness = kStatedAge;
  }
  statement_received received;
  received.caller = who.id;
  received.request = request_id{++next_request_};
  received.settings = asked.settings;
  switch (what.what) {
    case action::kRead:
      received.kind = statement_kind::kRead;
      break;
    case action::kWrite:
      received.kind = statement_kind::kWrite;
      break;
    case action::kBegin:
      received.kind = statement_kind::kBegin;
      break;
    case action::kCommit:
      received.kind = statement_kind::kCommit;
      break;
    case action::kRollback:
      received.kind = statement_kind::kRollback;
      break;
  }
  who.request = received.request;
  Trace("caller " + std::to_string(index) + " asks " +
        instances_[who.instance].name + " request " +
        std::to_string(received.request.value) + " action " +
        std::to_string(static_cast<int>(what.what)) + " write " +
        std::to_string(what.write) + " token " + FormatLogPoint(who.token) +
        (asked.settings.token.has_value() ? " sent" : "") +
        (asked.settings.max_staleness.has_value() ? " aged" : ""));
  pending_.emplace(received.request, std::move(asked));
  // A caller whose instance dies or sleeps goes elsewhere in the end.
  At(kLongestRequest, [this, index, request = received.request] {
    caller& waiting = callers_[index];
    if (waiting.request != request || !pending_.contains(request)) {
      return;
    }
    const instance& mine = instances_[waiting.instance];
    const bool answers = mine.alive && mine.incarnation == waiting.incarnation;
    if (answers && now_ - mine.paused_until > kLongestRequest) {
      Violation("a request was never ended");
    }
    waiting.id = caller_id{};
    waiting.request = request_id{};
    NextStatement(index);
  });
  Give(who.instance, received);
}

void world::OnRelease(const release_answer& what) {
  const auto at = pending_.find(what.request);
  if (at == pending_.end()) {
    Violation("an answer came for a request that has ended");
    return;
  }
  const pending done = std::move(at->second);
  pending_.erase(at);
  const std::size_t index = done.caller;
  caller& who = callers_[index];
  Trace("request " + std::to_string(what.request.value) + " released, floor " +
        FormatLogPoint(what.floor) + " saw " +
        std::to_string(done.seen.size()));
  if (who.id != what.caller || who.request != what.request) {
    Violation("an answer reached another caller");
    return;
  }
  if (done.what.what == action::kRead) {
    CheckRead(done);
  } else if (done.what.what == action::kWrite && who.in_transaction) {
    who.transaction.push_back(done.what.write);
  } else {
    CheckWrite(who, done);
  }
  if (what.floor.term != 0) {
    who.token = what.floor;
  }
  At(Delay(), [this, index] { NextStatement(index); });
}

void world::CheckRead(const pending& done) {
  ++result_.reads;
  result_.replica_reads += done.from_replica ? 1 : 0;
  const bool aged = done.settings.max_staleness.has_value();
  const bool knows_own = !aged || done.settings.token.has_value();
  const fake_database* const primary = PrimaryDatabase();
  for (const auto& [write, when] : acknowledged_) {
    const bool own = done.must_see.contains(write) && knows_own;
    const bool old = aged && when < done.asked - kStatedAge;
    if (!own && !old) {
      continue;
    }
    const bool seen =
        std::find(done.seen.begin(), done.seen.end(), write) != done.seen.end();
    const bool lost = options_.ack == ack_policy::kPrimary &&
                      (primary == nullptr || !primary->Contains(write));
    if (!seen && !lost) {
      Violation("a read misses write " + std::to_string(write) +
                (own ? " of its own session" : " older than the stated age"));
      return;
    }
  }
}

void world::CheckWrite(const caller& who, const pending& done) {
  std::vector<write_id> writes = who.transaction;
  if (done.what.what == action::kWrite) {
    writes = {done.what.write};
  }
  if (done.what.what == action::kBegin) {
    return;
  }
  const fake_database* const primary = PrimaryDatabase();
  caller& writer = callers_[done.caller];
  for (const write_id write : writes) {
    const bool open = record_.record.phase == group_phase::kOpen;
    if (open && primary != nullptr && !primary->Contains(write)) {
      Violation("write " + std::to_string(write) +
                " was acknowledged but is not on the current primary");
    }
    acknowledged_.emplace(write, now_);
    writer.acknowledged.insert(write);
    ++result_.writes;
    late_writes_ += healed_ ? 1 : 0;
  }
  writer.transaction.clear();
  writer.in_transaction = false;
}

void world::OnFail(const fail_request& what) {
  const auto at = pending_.find(what.request);
  if (at == pending_.end()) {
    Violation("a failure came for a request that has ended");
    return;
  }
  const pending done = std::move(at->second);
  pending_.erase(at);
  const std::size_t index = done.caller;
  caller& who = callers_[index];
  Trace("request " + std::to_string(what.request.value) + " failed " +
        what.reason.sqlstate + " " + what.reason.message);
  if (who.request != what.request) {
    return;
  }
  ++result_.reasons[std::string(VerdictName(what.reason.effect)) + " " +
                    what.reason.sqlstate + " " + what.reason.message];
  if (what.reason.effect == verdict::kNotRun) {
    ++result_.not_run;
    denied_.insert(what.request);
    if (executed_.contains(what.request)) {
      Violation("a request that ran was called not run: " +
                what.reason.message);
    }
  } else {
    ++result_.may_have_run;
  }
  if (what.reason.sqlstate == "72L01") {
    // The session was told that writes of its own are gone.
    who.token = {};
    who.acknowledged.clear();
  }
  const bool in_transaction = who.in_transaction;
  who.in_transaction = false;
  who.transaction.clear();
  who.plan.clear();
  if (in_transaction) {
    Give(who.instance, caller_closed{who.id});
    who.id = caller_id{};
  } else if (!done.what.key.empty()) {
    who.plan.push_back(done.what);  // A keyed write is safe to repeat.
  }
  At(Delay(), [this, index] { NextStatement(index); });
}

void world::FinalChecks() {
  if (!violations_.empty()) {
    return;
  }
  // A change that has just begun, such as one of the witnesses, is no fault.
  constexpr duration kLongestChange = std::chrono::seconds(2);
  if (record_.record.phase != group_phase::kOpen &&
      now_ - record_changed_ > kLongestChange) {
    Violation("the group is not open after all faults have healed");
    return;
  }
  if (late_writes_ == 0) {
    Violation("no write succeeded after all faults had healed");
  }
  CheckOpening();
}

}  // namespace marjoramslip::random_runs
