// The three read routing policies.

#include "read_router.h"

#include <vector>

namespace marjoramslip {
namespace {

std::optional<endpoint_id> FindPrimary(const read_routing_input& input) {
  for (const read_candidate& candidate : input.candidates) {
    if (candidate.primary && candidate.reaches_floor) {
      return candidate.endpoint;
    }
  }
  return std::nullopt;
}

/// Surcharge for a read in another failure domain: traffic between domains
/// costs bandwidth, and the path fails more often.
constexpr duration kCrossDomainSurcharge = std::chrono::milliseconds(3);
/// A read goes to the primary only if the primary is faster than the replicas
/// by more than this factor, because only the primary can serve writes and
/// fresh reads.
constexpr int kPrimaryCostFactor = 3;

const read_candidate* CheapestReplica(const read_routing_input& input,
                                      bool need_position) {
  const read_candidate* best = nullptr;
  for (const read_candidate& candidate : input.candidates) {
    if (candidate.primary || (need_position && !candidate.reaches_floor)) {
      continue;
    }
    if (best == nullptr || CostOf(candidate) < CostOf(*best)) {
      best = &candidate;
    }
  }
  return best;
}

/// Returns the replica for a read among those that have reached its floor; null
/// if there is none. `cheapest` is the cheapest of them.
const read_candidate* PlaceAmongReplicas(const read_routing_input& input,
                                         const read_candidate* cheapest) {
  if (!input.random.has_value() || cheapest == nullptr) {
    return cheapest;
  }
  std::vector<replica_load> loads;
  std::vector<const read_candidate*> replicas;
  for (const read_candidate& candidate : input.candidates) {
    if (!candidate.primary && candidate.reaches_floor) {
      replicas.push_back(&candidate);
      loads.push_back(candidate.load);
      loads.back().surcharge =
          candidate.same_domain ? duration::zero() : kCrossDomainSurcharge;
    }
  }
  return replicas[ChooseReplica(loads, *input.random)];
}

/// Routes to a replica that has reached the floor: the cheapest, or one chosen
/// by ChooseReplica. Routes to the
/// primary if that is cheaper, or if no replica reaches the floor in time.
class position_router : public read_router {
 public:
  bool NeedsFloor() const override { return true; }

  std::optional<endpoint_id> Choose(
      const read_routing_input& input) const override {
    if (const read_candidate* const replica = CheapestReplica(input, true)) {
      const endpoint_id chosen = PrimaryIfFaster(input, *replica);
      return chosen == replica->endpoint
                 ? PlaceAmongReplicas(input, replica)->endpoint
                 : chosen;
    }
    if (ReplicaMayCatchUp(input)) {
      return std::nullopt;
    }
    return FindPrimary(input);
  }

 private:
  static endpoint_id PrimaryIfFaster(const read_routing_input& input,
                                     const read_candidate& replica) {
    for (const read_candidate& candidate : input.candidates) {
      if (candidate.primary && candidate.reaches_floor &&
          CostOf(candidate) < CostOf(replica)) {
        return candidate.endpoint;
      }
    }
    return replica.endpoint;
  }

  static bool ReplicaMayCatchUp(const read_routing_input& input) {
    if (input.waited >= input.replica_wait) {
      return false;
    }
    for (const read_candidate& candidate : input.candidates) {
      if (!candidate.primary && candidate.lag <= input.replica_wait) {
        return true;
      }
    }
    return false;
  }
};

/// Always routes to the primary.
class primary_router : public read_router {
 public:
  bool NeedsFloor() const override { return false; }

  std::optional<endpoint_id> Choose(
      const read_routing_input& input) const override {
    return FindPrimary(input);
  }
};

/// Routes to the primary for a fixed time after a write, else to the cheapest
/// replica.
class sticky_router : public read_router {
 public:
  bool NeedsFloor() const override { return false; }

  std::optional<endpoint_id> Choose(
      const read_routing_input& input) const override {
    if (input.time_since_write &&
        *input.time_since_write < input.sticky_duration) {
      return FindPrimary(input);
    }
    const read_candidate* const replica = CheapestReplica(input, false);
    return replica != nullptr ? replica->endpoint : FindPrimary(input);
  }
};

}  // namespace

/// Spreads a burst of reads, and reads around a slow replica: without the queue
/// in the cost, the nearest replica fills up while others idle.
duration CostOf(const read_candidate& candidate) {
  const duration cost = candidate.same_domain ? candidate.expected_duration
                                              : candidate.expected_duration +
                                                    kCrossDomainSurcharge;
  return candidate.primary ? cost * kPrimaryCostFactor : cost;
}

const read_router& RouterOf(read_policy policy) {
  static const position_router kPositionRouter;
  static const primary_router kPrimaryRouter;
  static const sticky_router kStickyRouter;
  switch (policy) {
    case read_policy::kPosition:
      return kPositionRouter;
    case read_policy::kPrimary:
      return kPrimaryRouter;
    case read_policy::kSticky:
      return kStickyRouter;
  }
  return kPositionRouter;
}

}  // namespace marjoramslip
