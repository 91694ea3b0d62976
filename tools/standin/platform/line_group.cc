// Replication is computed from the times of commits, so it needs no threads.

#include "line_group.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace standin {

namespace {

/// An old primary that reaches the new one follows it after this long.
constexpr std::chrono::seconds kOldPrimaryYields{1};

}  // namespace

std::string line_position::Text() const {
  return std::to_string(term) + "." + std::to_string(number);
}

std::optional<line_position> ParseLinePosition(const std::string& text) {
  line_position parsed;
  const char* const end = text.data() + text.size();
  const auto term = std::from_chars(text.data(), end, parsed.term);
  if (term.ec != std::errc{} || term.ptr == end || *term.ptr != '.') {
    return std::nullopt;
  }
  const auto number = std::from_chars(term.ptr + 1, end, parsed.number);
  if (number.ec != std::errc{} || number.ptr != end) {
    return std::nullopt;
  }
  return parsed;
}

line_group::line_group(const line_group_options& options)
    : options_(options), databases_(options.databases) {
  databases_.at(0).primary = true;
}

line_state line_group::State(std::size_t index) {
  const std::lock_guard lock(mutex_);
  const database& one = Advanced(index);
  line_state state;
  state.running = one.running;
  state.primary = one.primary;
  state.received = {one.term, one.log.size()};
  state.held = {one.term, one.held};
  state.paused = one.paused;
  state.lag = one.primary ? std::chrono::milliseconds(0) : options_.lag;
  return state;
}

std::string line_group::Read(std::size_t index, const std::string& item) {
  const std::lock_guard lock(mutex_);
  const database& one = Advanced(index);
  const auto found = one.values.find(item);
  return found == one.values.end() ? "" : found->second;
}

bool line_group::Holds(std::size_t index, const line_position& position) {
  const std::lock_guard lock(mutex_);
  const database& one = Advanced(index);
  return one.term >= position.term && one.held >= position.number;
}

bool line_group::Commit(std::size_t index, std::uint64_t term,
                        const line_writes& writes) {
  const std::lock_guard lock(mutex_);
  database& one = Advanced(index);
  if (!one.running || !one.primary || one.term != term) {
    return false;
  }
  const steady_time now = std::chrono::steady_clock::now();
  one.log.push_back({++last_id_, now, writes});
  Apply(one, now);
  return true;
}

void line_group::Pause(std::size_t index, std::uint64_t term) {
  const std::lock_guard lock(mutex_);
  database& one = Advanced(index);
  if (!one.primary && term > NewestTerm()) {
    one.paused = std::max(one.paused, term);
  }
}

void line_group::Resume(std::size_t index) {
  const std::lock_guard lock(mutex_);
  Advanced(index).paused = 0;
}

void line_group::StepDown(std::size_t index, std::uint64_t term) {
  const std::lock_guard lock(mutex_);
  database& one = Advanced(index);
  one.primary = one.primary && one.term >= term;
}

bool line_group::Promote(std::size_t index, std::chrono::milliseconds late) {
  const std::lock_guard lock(mutex_);
  database& one = Advanced(index);
  if (one.running && !LeadsNewestTerm(one)) {
    one.promotions.push_back(std::chrono::steady_clock::now() +
                             options_.promotion + late);
  }
  return one.running;
}

void line_group::Crash(std::size_t index) {
  const std::lock_guard lock(mutex_);
  Advanced(index).running = false;
}

void line_group::Start(std::size_t index) {
  const std::lock_guard lock(mutex_);
  database& one = Advanced(index);
  one.running = true;
  one.paused = 0;
  one.primary = LeadsNewestTerm(one);
}

line_group::database& line_group::Advanced(std::size_t index) {
  Advance(std::chrono::steady_clock::now());
  return databases_.at(index);
}

void line_group::Advance(steady_time now) {
  FinishPromotions(now);
  const auto leader =
      std::max_element(databases_.begin(), databases_.end(),
                       [](const database& left, const database& right) {
                         return std::pair(left.primary, left.term) <
                                std::pair(right.primary, right.term);
                       });
  if (!leader->primary || !leader->running) {
    return;
  }
  for (database& one : databases_) {
    if (&one == &*leader || !one.running) {
      continue;
    }
    if (one.primary && now - led_since_ >= kOldPrimaryYields) {
      one.primary = false;
    }
    const bool follows =
        one.term == leader->term || now - led_since_ >= options_.follow;
    if (!one.primary && one.paused == 0 && follows) {
      Follow(one, *leader, now);
    }
  }
}

void line_group::FinishPromotions(steady_time now) {
  for (database& one : databases_) {
    const auto due =
        std::partition(one.promotions.begin(), one.promotions.end(),
                       [now](steady_time at) { return at > now; });
    if (due == one.promotions.end()) {
      continue;
    }
    const steady_time since = *std::min_element(due, one.promotions.end());
    one.promotions.erase(due, one.promotions.end());
    if (one.running && !LeadsNewestTerm(one)) {
      Lead(one, since);
    }
  }
}

void line_group::Lead(database& one, steady_time since) {
  led_since_ = since;
  one.term = NewestTerm() + 1;
  one.primary = true;
  Apply(one, since);
  for (database& any : databases_) {
    any.paused = 0;
  }
}

bool line_group::LeadsNewestTerm(const database& one) const {
  return one.primary && one.term == NewestTerm();
}

void line_group::Follow(database& replica, const database& leader,
                        steady_time now) const {
  if (replica.term != leader.term) {
    const std::size_t shared = std::min(replica.log.size(), leader.log.size());
    const auto apart = std::mismatch(
        replica.log.begin(),
        replica.log.begin() + static_cast<std::ptrdiff_t>(shared),
        leader.log.begin(), [](const record& left, const record& right) {
          return left.id == right.id;
        });
    replica.log.erase(apart.first, replica.log.end());
    replica.term = leader.term;
    if (replica.held > replica.log.size()) {
      replica.held = 0;
      replica.values.clear();
    }
  }
  while (replica.log.size() < leader.log.size()) {
    const record& next = leader.log[replica.log.size()];
    if (next.committed + options_.delivery > now) {
      break;
    }
    replica.log.push_back(next);
  }
  Apply(replica, now);
}

void line_group::Apply(database& replica, steady_time now) const {
  const auto lag =
      replica.primary ? std::chrono::milliseconds(0) : options_.lag;
  while (replica.held < replica.log.size()) {
    const record& next = replica.log[replica.held];
    if (next.committed + lag > now) {
      return;
    }
    for (const auto& [item, data] : next.writes) {
      replica.values[item] = data;
    }
    ++replica.held;
  }
}

std::uint64_t line_group::NewestTerm() const {
  std::uint64_t newest = 0;
  for (const database& one : databases_) {
    newest = std::max(newest, one.term);
  }
  return newest;
}

}  // namespace standin
