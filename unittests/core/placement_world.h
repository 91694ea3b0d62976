// Replays instances that choose among replicas with old knowledge.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_PLACEMENT_WORLD_H_
#define MARJORAMSLIP_UNITTESTS_CORE_PLACEMENT_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "load/placement.h"

namespace marjoramslip {

/// The replayed load. Instances are spread evenly over three failure domains;
/// replica i is in domain 1 + i, and domain 0 has the primary.
struct placement_load {
  std::size_t instances = 84;
  /// Time after which an instance learns how long a statement took.
  duration knowledge_age{};
  /// Arrivals as a part of what all slots serve.
  double load = 0.75;
  std::size_t replicas = 2;
  std::size_t slots = 4;
  duration one_way_between_domains = std::chrono::microseconds(4500);
  duration one_way_inside = std::chrono::microseconds(200);
  std::uint64_t seed = 1;
};

/// The result of a replay.
struct placement_result {
  /// Statements in progress at the busiest replica over the mean, in means of
  /// 250 ms.
  double busiest_over_mean = 0;
  /// Part of the time in which a slot idles while another replica has a queue.
  double idle_while_queued = 0;
  duration mean_response{};
};

/// Returns the index of the chosen replica.
using placement_choice = std::function<std::size_t(
    std::span<const replica_load> replicas, std::uint64_t random)>;

/// The former decision: the lowest mean time times own statements, and a
/// surcharge for another failure domain.
inline std::size_t ChooseCheapest(std::span<const replica_load> replicas,
                                  std::uint64_t) {
  const auto cost = [](const replica_load& replica) {
    return std::max<duration>(replica.response_time,
                              std::chrono::milliseconds(1)) *
               static_cast<std::int64_t>(1 + replica.own_statements) +
           replica.surcharge;
  };
  std::size_t best = 0;
  for (std::size_t i = 1; i < replicas.size(); ++i) {
    if (cost(replicas[i]) < cost(replicas[best])) {
      best = i;
    }
  }
  return best;
}

/// Replays 20 s of a load. A new observation has a weight of one in `weight`.
inline placement_result ReplayOnce(const placement_load& load,
                                   const placement_choice& choose, int weight) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  constexpr duration kStep = microseconds(500);
  constexpr duration kSurcharge = milliseconds(3);
  constexpr duration kMeanWork = milliseconds(16);
  struct statement {
    std::size_t instance;
    std::size_t replica;
    instant sent;
    duration one_way;
  };
  struct change {
    instant at;
    bool answered;  ///< Otherwise the time becomes known.
    statement what;
    duration response;
    bool operator>(const change& other) const { return at > other.at; }
  };
  struct view {
    duration response{};
    instant learned{};
    std::uint32_t own = 0;
  };
  std::mt19937_64 random(load.seed);
  std::vector<std::vector<view>> views(load.instances,
                                       std::vector<view>(load.replicas));
  std::vector<std::deque<statement>> queued(load.replicas);
  std::vector<std::vector<instant>> free_at(
      load.replicas, std::vector<instant>(load.slots, instant{}));
  std::priority_queue<change, std::vector<change>, std::greater<>> changes;
  const double rate = load.load *
                      static_cast<double>(load.replicas * load.slots) /
                      std::chrono::duration<double>(kMeanWork).count();
  placement_result result;
  std::vector<double> window(load.replicas);
  double response_sum = 0;
  int answers = 0;
  int steps = 0;
  int idle_steps = 0;
  int windows = 0;
  instant next_arrival{};
  instant window_ends = instant{} + seconds(3);
  for (instant now{}; now < instant{} + seconds(22); now += kStep) {
    while (!changes.empty() && changes.top().at <= now) {
      const change due = changes.top();
      changes.pop();
      view& seen = views[due.what.instance][due.what.replica];
      if (due.answered) {
        --seen.own;
        changes.push({now + load.knowledge_age, false, due.what, due.response});
      } else {
        seen.response += seen.response == duration::zero()
                             ? due.response
                             : (due.response - seen.response) / weight;
        seen.learned = now - load.knowledge_age;
      }
    }
    while (next_arrival <= now) {
      const std::size_t self = random() % load.instances;
      std::vector<replica_load> known(load.replicas);
      for (std::size_t i = 0; i < load.replicas; ++i) {
        const view& seen = views[self][i];
        known[i] = {.response_time = seen.response,
                    .age = now - seen.learned,
                    .own_statements = seen.own,
                    .surcharge = self % 3 == 1 + i ? duration{} : kSurcharge,
                    .since_refusal = {},
                    .since_return = {}};
      }
      const std::size_t chosen = choose(known, random());
      ++views[self][chosen].own;
      queued[chosen].push_back({self, chosen, now,
                                self % 3 == 1 + chosen
                                    ? load.one_way_inside
                                    : load.one_way_between_domains});
      next_arrival +=
          std::chrono::duration_cast<duration>(std::chrono::duration<double>(
              std::exponential_distribution<double>(rate)(random)));
    }
    bool idle = false;
    bool waits = false;
    for (std::size_t i = 0; i < load.replicas; ++i) {
      int running = 0;
      for (instant& slot : free_at[i]) {
        if (slot <= now && !queued[i].empty() &&
            queued[i].front().sent + queued[i].front().one_way <= now) {
          const statement next = queued[i].front();
          queued[i].pop_front();
          slot = now + milliseconds(8) + microseconds(random() % 16'000);
          const instant answered = slot + next.one_way;
          changes.push({answered, true, next, answered - next.sent});
          response_sum +=
              std::chrono::duration<double>(answered - next.sent).count();
          ++answers;
        }
        running += slot > now ? 1 : 0;
      }
      idle = idle || running < static_cast<int>(load.slots);
      const bool has_queue =
          !queued[i].empty() &&
          queued[i].front().sent + queued[i].front().one_way <= now;
      waits = waits || has_queue;
      window[i] += running + static_cast<double>(queued[i].size());
    }
    ++steps;
    idle_steps += idle && waits ? 1 : 0;
    if (now < window_ends) {
      continue;
    }
    double sum = 0;
    for (const double each : window) {
      sum += each;
    }
    result.busiest_over_mean +=
        *std::max_element(window.begin(), window.end()) *
        static_cast<double>(load.replicas) / sum;
    ++windows;
    std::fill(window.begin(), window.end(), 0);
    window_ends += milliseconds(250);
  }
  result.busiest_over_mean /= windows;
  result.idle_while_queued = static_cast<double>(idle_steps) / steps;
  result.mean_response = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(response_sum / answers));
  return result;
}

/// Returns the means of replays with three seeds.
inline placement_result ReplayPlacement(placement_load load,
                                        const placement_choice& choose,
                                        int weight) {
  constexpr int kSeeds = 3;
  placement_result mean;
  for (int i = 1; i <= kSeeds; ++i) {
    load.seed = static_cast<std::uint64_t>(i);
    const placement_result one = ReplayOnce(load, choose, weight);
    mean.busiest_over_mean += one.busiest_over_mean / kSeeds;
    mean.idle_while_queued += one.idle_while_queued / kSeeds;
    mean.mean_response += one.mean_response / kSeeds;
  }
  return mean;
}

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_PLACEMENT_WORLD_H_
