// Judges what callers of a run on the users' platform are told.

#include "platform_judge.h"

#include <algorithm>

namespace marjoramslip::random_runs {

namespace {

std::string Milliseconds(instant when) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                            when.time_since_epoch())
                            .count()) +
         " ms";
}

}  // namespace

platform_judge::verdict_text platform_judge::OnCommitted(
    const platform_database& database, write_id write, request_id request,
    instant now) {
  executed_.insert(request);
  commit fresh;
  fresh.database = database.Name();
  fresh.term = database.Term();
  fresh.when = now;
  if (database.Term() < newest_term_) {
    fresh.replaced_by = newest_term_;
    fresh.lost = true;
  }
  const bool first = commits_.emplace(write, fresh).second;
  if (!first) {
    return "TWICE: write " + std::to_string(write) + " took effect again";
  }
  if (denied_.contains(request)) {
    return "REFUSED: a request ran after it was called not run";
  }
  return std::nullopt;
}

void platform_judge::OnPromoted(const platform_database& database,
                                instant now) {
  newest_term_ = database.Term();
  newest_since_ = now;
  std::set<write_id> kept;
  for (const log_entry& entry : database.Log()) {
    kept.insert(entry.write);
  }
  for (auto& [write, known] : commits_) {
    known.lost = known.lost || !kept.contains(write);
    if (known.lost) {
      standing_.erase(write);
    }
  }
}

platform_judge::verdict_text platform_judge::OnWriteAcknowledged(
    write_id write, std::uint64_t session, instant now) {
  const auto found = commits_.find(write);
  if (found == commits_.end()) {
    return "MIXED: write " + std::to_string(write) +
           " was acknowledged but not committed";
  }
  commit& known = found->second;
  known.acknowledged = now;
  known.session = session;
  if (!known.lost) {
    standing_.insert(write);
  }
  if (known.replaced_by.has_value()) {
    return "ONE: write " + std::to_string(write) + " was committed by " +
           known.database + " of term " + std::to_string(known.term) + " at " +
           Milliseconds(known.when) + " and acknowledged, after term " +
           std::to_string(*known.replaced_by) + " had begun" +
           (*known.replaced_by == newest_term_
                ? " at " + Milliseconds(newest_since_)
                : "");
  }
  return std::nullopt;
}

platform_judge::verdict_text platform_judge::OnCalledNotRun(
    request_id request) {
  denied_.insert(request);
  if (executed_.contains(request)) {
    return "REFUSED: a request that ran was called not run";
  }
  return std::nullopt;
}

platform_judge::verdict_text platform_judge::OnRead(
    const judged_read& read) const {
  std::vector<write_id> seen = read.seen;
  std::sort(seen.begin(), seen.end());
  for (const write_id write : standing_) {
    const commit& known = commits_.at(write);
    const duration age = read.session == known.session
                             ? duration::zero()
                             : read.max_staleness.value_or(duration::zero());
    const bool owed = *known.acknowledged < read.asked - age;
    if (owed && !std::binary_search(seen.begin(), seen.end(), write)) {
      return "STALE: a read asked at " + Milliseconds(read.asked) +
             " lacks write " + std::to_string(write) + ", committed by " +
             known.database + " of term " + std::to_string(known.term) +
             " and acknowledged at " + Milliseconds(*known.acknowledged);
    }
  }
  return std::nullopt;
}

}  // namespace marjoramslip::random_runs
