// Orders requests by priority, on-time requests by objective and late requests
// by arrival.

#include "wait_queue.h"

#include <algorithm>
#include <iterator>

namespace marjoramslip {
namespace {

/// One in this many turns goes to a late request even if others are on time.
/// In the replayed overload of unittests/core/wait_queue_test.cc, intervals of
/// 8, 4, 3 and 2 answer 89, 84, 75 and 62 % of the requests in time and
/// let 5.8, 4.3, 0.3 and 0 % expire. First come, first served answers 24 % in
/// time.
constexpr std::uint64_t kLateInterval = 3;

/// Each lower priority gets one in this many parts of the service time while it
/// waits. docs/design/load-order.md has the figures for other values.
constexpr std::int64_t kSharedInterval = 16;

/// Service time that is assumed before one was measured. With it, all
/// priorities cost the same and the share is one of turns.
constexpr duration kMinServiceTime = std::chrono::milliseconds(1);

/// A new service time has a weight of one in this many.
constexpr std::int64_t kWeightDivisor = 16;

std::size_t Index(admission_class admission) {
  return static_cast<std::size_t>(admission);
}

std::uint32_t Bounded(std::uint32_t priority) {
  return std::min(priority, kPriorities - 1);
}

}  // namespace

duration wait_queue::lane::Cost() const {
  return std::max(average_service_time, kMinServiceTime);
}

std::size_t wait_queue::lane::CountOnTime() const {
  std::size_t count = 0;
  for (const by_objective& waiting : on_time) {
    count += waiting.size();
  }
  return count;
}

std::uint64_t wait_queue::Push(admission_class admission, request_id request,
                               instant objective, std::uint32_t priority,
                               account_id account) {
  const std::uint64_t entry_id = next_entry_id_++;
  lane& requests = lanes_[Bounded(priority)];
  if (requests.Count() == 0) {
    requests.turns.OnFirstQueued();
  }
  requests.used = true;
  entries_.emplace(entry_id, entry{admission, request, objective,
                                   Bounded(priority), account});
  ++counts_by_account_[account];
  requests.on_time[Index(admission)].emplace(objective, entry_id);
  return entry_id;
}

void wait_queue::Erase(std::uint64_t entry_id) {
  const auto found = entries_.find(entry_id);
  if (found == entries_.end()) {
    return;
  }
  const entry& queued = found->second;
  lane& requests = lanes_[queued.priority];
  requests.on_time[Index(queued.admission)].erase({queued.objective, entry_id});
  requests.late.erase(entry_id);
  const auto count = counts_by_account_.find(queued.account);
  if (--count->second == 0) {
    counts_by_account_.erase(count);
  }
  entries_.erase(found);
}

void wait_queue::MarkLate(instant answered_at) {
  for (lane& requests : lanes_) {
    for (by_objective& waiting : requests.on_time) {
      while (!waiting.empty() && waiting.begin()->first < answered_at) {
        requests.late.insert(waiting.begin()->second);
        waiting.erase(waiting.begin());
      }
    }
  }
}

std::optional<std::uint32_t> wait_queue::SharedTurn() const {
  for (std::uint32_t i = 0; i < kPriorities; ++i) {
    if (lanes_[i].Count() > 0 && lanes_[i].owed >= lanes_[i].Cost()) {
      return i;
    }
  }
  return std::nullopt;
}

bool wait_queue::VisitOnTime(const lane& requests, const visitor& visit) {
  for (const by_objective& waiting : requests.on_time) {
    for (const auto& [objective, entry_id] : waiting) {
      if (visit(entry_id)) {
        return true;
      }
    }
  }
  return false;
}

bool wait_queue::VisitLate(const lane& requests, const visitor& visit) {
  return std::any_of(requests.late.begin(), requests.late.end(), visit);
}

bool wait_queue::Visit(const visitor& visit) const {
  const std::array<bool (*)(const lane&, const visitor&), 2> kinds =
      sent_ % kLateInterval == 0 ? std::array{VisitLate, VisitOnTime}
                                 : std::array{VisitOnTime, VisitLate};
  const std::optional<std::uint32_t> shared = SharedTurn();
  if (shared.has_value()) {
    for (const auto& kind : kinds) {
      if (kind(lanes_[*shared], visit)) {
        return true;
      }
    }
  }
  for (const auto& kind : kinds) {
    for (std::uint32_t i = 0; i < kPriorities; ++i) {
      if (i != shared && kind(lanes_[i], visit)) {
        return true;
      }
    }
  }
  return false;
}

std::optional<request_id> wait_queue::SelectNext(
    instant answered_at, std::span<const account_id> excluded) {
  return SelectEntry(answered_at, [excluded](const entry& queued) {
    return std::find(excluded.begin(), excluded.end(), queued.account) ==
           excluded.end();
  });
}

std::optional<request_id> wait_queue::FindNext(
    instant answered_at, const std::function<bool(request_id)>& fits) {
  return SelectEntry(answered_at, [&fits](const entry& queued) {
    return fits(queued.request);
  });
}

std::optional<request_id> wait_queue::SelectEntry(
    instant answered_at, const std::function<bool(const entry&)>& fits) {
  MarkLate(answered_at);
  selected_ = 0;
  const bool found = Visit([this, &fits](std::uint64_t entry_id) {
    if (!fits(entries_.at(entry_id))) {
      return false;
    }
    selected_ = entry_id;
    return true;
  });
  return found ? std::optional(entries_.at(selected_).request) : std::nullopt;
}

std::optional<request_id> wait_queue::NextRead() const {
  for (const lane& requests : lanes_) {
    const by_objective& reads = requests.on_time[Index(admission_class::kRead)];
    if (!reads.empty()) {
      return entries_.at(reads.begin()->second).request;
    }
  }
  for (const lane& requests : lanes_) {
    for (const std::uint64_t entry_id : requests.late) {
      const entry& queued = entries_.at(entry_id);
      if (queued.admission == admission_class::kRead) {
        return queued.request;
      }
    }
  }
  return std::nullopt;
}

void wait_queue::OnSent(instant now) {
  ++sent_;
  const auto found = entries_.find(selected_);
  if (found == entries_.end()) {
    return;
  }
  lane& requests = lanes_[found->second.priority];
  requests.turns.OnTurn(now);
  const duration cost = requests.Cost();
  requests.owed = std::max(duration::zero(), requests.owed - cost);
  for (std::uint32_t i = found->second.priority + 1; i < kPriorities; ++i) {
    if (lanes_[i].Count() > 0) {
      lanes_[i].owed += cost / (kSharedInterval - 1);
    }
  }
}

void wait_queue::RecordServiceTime(std::uint32_t priority,
                                   duration service_time) {
  duration& average = lanes_[Bounded(priority)].average_service_time;
  average += average == duration::zero()
                 ? service_time
                 : (service_time - average) / kWeightDivisor;
}

std::vector<request_id> wait_queue::QueuedRequests(
    admission_class admission) const {
  std::vector<request_id> requests;
  for (const auto& [entry_id, queued] : entries_) {
    if (queued.admission == admission) {
      requests.push_back(queued.request);
    }
  }
  return requests;
}

std::map<std::uint32_t, std::uint32_t> wait_queue::CountByPriority() const {
  std::map<std::uint32_t, std::uint32_t> counts;
  for (std::uint32_t i = 0; i < kPriorities; ++i) {
    if (lanes_[i].used) {
      counts[i] = static_cast<std::uint32_t>(lanes_[i].Count());
    }
  }
  return counts;
}

std::size_t wait_queue::CountOfAccount(account_id account) const {
  const auto found = counts_by_account_.find(account);
  return found == counts_by_account_.end() ? 0 : found->second;
}

std::size_t wait_queue::Count(std::uint32_t priority) const {
  return lanes_[Bounded(priority)].Count();
}

std::size_t wait_queue::CountAheadInPriority(admission_class admission,
                                             instant objective,
                                             std::uint32_t priority) const {
  const lane& requests = lanes_[Bounded(priority)];
  std::size_t ahead = 0;
  for (std::size_t i = 0; i < Index(admission); ++i) {
    ahead += requests.on_time[i].size();
  }
  const by_objective& same = requests.on_time[Index(admission)];
  ahead += static_cast<std::size_t>(std::distance(
      same.begin(), same.upper_bound({objective, next_entry_id_})));
  // Late requests get one turn in kLateInterval among them.
  return ahead +
         std::min(requests.late.size(), 1 + ahead / (kLateInterval - 1));
}

std::size_t wait_queue::CountAhead(admission_class admission, instant objective,
                                   std::uint32_t priority) const {
  std::size_t ahead = CountAheadInPriority(admission, objective, priority);
  for (std::uint32_t i = 0; i < Bounded(priority); ++i) {
    ahead += lanes_[i].CountOnTime();
  }
  std::size_t lower = 0;
  for (std::uint32_t i = Bounded(priority) + 1; i < kPriorities; ++i) {
    lower += lanes_[i].Count();
  }
  return ahead + std::min(lower, ahead / (kSharedInterval - 1));
}

std::optional<duration> wait_queue::TurnInterval(std::uint32_t priority,
                                                 instant now) const {
  return lanes_[Bounded(priority)].turns.Mean(now);
}

std::vector<expected_turn> wait_queue::ExpectedTurns() const {
  std::vector<expected_turn> turns;
  for (std::uint32_t i = 0; i < kPriorities; ++i) {
    const lane& requests = lanes_[i];
    std::size_t on_time = 0;
    VisitOnTime(requests, [&](std::uint64_t entry_id) {
      const std::size_t late =
          std::min(requests.late.size(), on_time / (kLateInterval - 1));
      turns.push_back({entries_.at(entry_id).request, i, on_time + late});
      ++on_time;
      return false;
    });
    std::size_t late = 0;
    VisitLate(requests, [&](std::uint64_t entry_id) {
      // A late request gets its turn at the latest when all others have gone.
      turns.push_back({entries_.at(entry_id).request, i,
                       std::min(late * kLateInterval, on_time + late)});
      ++late;
      return false;
    });
  }
  return turns;
}

}  // namespace marjoramslip
