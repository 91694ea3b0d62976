// A database of the users' platform for randomised runs.

#include "platform_database.h"

#include <algorithm>

namespace marjoramslip::random_runs {

namespace {

/// Time for which a database that was rolled back refuses work.
constexpr duration kBusyAfterRollback = std::chrono::milliseconds(80);

std::string NameOfStart(const std::string& identity, std::uint64_t start) {
  return identity + "." + std::to_string(start);
}

}  // namespace

platform_database::platform_database(std::string identity, bool primary)
    : identity_(std::move(identity)),
      role_(primary ? endpoint_role::kPrimary : endpoint_role::kReplica) {}

std::string platform_database::Name() const {
  return NameOfStart(identity_, starts_);
}

bool platform_database::IsKnownAs(endpoint_id id) const {
  for (std::uint64_t start = 1; start <= starts_; ++start) {
    if (IdOf<endpoint_id>(NameOfStart(identity_, start)) == id) {
      return true;
    }
  }
  return false;
}

bool platform_database::Contains(write_id write) const {
  return std::any_of(log_.begin(), log_.end(), [&](const log_entry& entry) {
    return entry.write == write;
  });
}

endpoint_state platform_database::EndOfLog() const {
  endpoint_state state;
  state.complete = false;
  state.log_term = term_;
  state.position = applied_;
  return state;
}

endpoint_state platform_database::Status() const {
  endpoint_state state = EndOfLog();
  state.complete = true;
  state.term = term_;
  state.role = role_;
  state.received_point = {term_, log_.size()};
  return state;
}

bool platform_database::Reaches(log_point point) const {
  if (point.term >= term_) {
    return point.term == term_ && point.position <= applied_;
  }
  const auto next = starts_of_terms_.upper_bound(point.term);
  return point.position <= std::min(next->second, applied_);
}

bool platform_database::LostLead(const database_session& session) const {
  return !IsPrimary() || session.expected_term != term_;
}

execution platform_database::Commit(database_session& session, instant now) {
  execution done;
  const std::vector<write_id> writes = std::move(*session.transaction);
  session.transaction.reset();
  if (!writes.empty() && LostLead(session)) {
    done.outcome = answer_outcome::kNotWritable;
    return done;
  }
  for (const write_id write : writes) {
    log_.push_back({term_, write, now});
  }
  applied_ = IsPrimary() ? log_.size() : applied_;
  return done;
}

execution platform_database::Run(database_session& session,
                                 const statement& what, log_point required,
                                 instant now) {
  execution done;
  if (session.transaction.has_value()) {
    if (what.what == action::kCommit) {
      return Commit(session, now);
    }
    if (what.what == action::kRollback) {
      session.transaction.reset();
      return done;
    }
    done.transaction = transaction_status::kOpen;
    if (LostLead(session)) {
      done.outcome = answer_outcome::kNotWritable;
      done.transaction = transaction_status::kFailed;
    } else if (what.what == action::kWrite) {
      session.transaction->push_back(what.write);
    }
    return done;
  }
  if (what.what == action::kRead) {
    if (!Reaches(required)) {
      done.outcome = answer_outcome::kLogBehind;
      return done;
    }
    for (std::size_t i = 0; i < applied_; ++i) {
      done.seen.push_back(log_[i].write);
    }
    return done;
  }
  if (!IsPrimary()) {
    done.outcome = answer_outcome::kNotWritable;
    return done;
  }
  session.expected_term = term_;
  session.transaction.emplace();
  if (what.what == action::kWrite) {
    session.transaction->push_back(what.write);
    return Commit(session, now);
  }
  done.transaction = transaction_status::kOpen;
  return done;
}

void platform_database::Restart(bool leads) {
  ++starts_;
  running_ = true;
  applied_ = log_.size();
  role_ = leads ? endpoint_role::kPrimary : endpoint_role::kReplica;
}

void platform_database::Lead(term_number term) {
  term_ = term;
  role_ = endpoint_role::kPrimary;
  applied_ = log_.size();
  starts_of_terms_[term] = log_.size();
}

void platform_database::StepDown(term_number term) {
  if (term > term_) {
    role_ = endpoint_role::kReplica;
  }
}

void platform_database::Follow(const platform_database& primary,
                               instant received, instant applied, instant now) {
  const auto committed_by = [&](instant when) {
    const auto end = std::find_if(
        primary.log_.begin(), primary.log_.end(),
        [when](const log_entry& entry) { return entry.committed > when; });
    return static_cast<std::size_t>(end - primary.log_.begin());
  };
  if (term_ != primary.term_) {
    const auto [own, theirs] = std::mismatch(
        log_.begin(), log_.end(), primary.log_.begin(), primary.log_.end());
    if (own != log_.end()) {
      log_.erase(own, log_.end());
      busy_until_ = now + kBusyAfterRollback;
    }
    applied_ = std::min(applied_, log_.size());
    term_ = primary.term_;
    starts_of_terms_ = primary.starts_of_terms_;
    role_ = endpoint_role::kReplica;
  }
  for (std::size_t i = log_.size(); i < committed_by(received); ++i) {
    log_.push_back(primary.log_[i]);
  }
  applied_ = std::max(applied_, std::min(log_.size(), committed_by(applied)));
}

}  // namespace marjoramslip::random_runs
