// Weighs replicas by their expected costs.

#include "placement.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace marjoramslip {
namespace {

/// Age at which knowledge has lost about two thirds of its weight. Queues at
/// an endpoint change within a few statements of 10 to 50 ms.
constexpr double kKnowledgeDecayUs = 500'000;
/// Time in which the effect of a refusal decreases to about a third.
constexpr double kRefusalDecayUs = 500'000;
/// Factor of the cost directly after a refusal.
constexpr double kRefusalCost = 4;
/// A replica that returns gets a share that grows to the full one over this
/// time: its caches are cold, and all instances learn of it at once.
constexpr double kProbationUs = 2'000'000;
/// First part of the full share during probation.
constexpr double kProbationShare = 0.1;
/// Replicas in the own failure domain serve while their cost exceeds that of
/// the cheapest by this factor at most. Below it the difference is within the
/// noise of response times.
constexpr double kOwnDomainFactor = 1.25;
/// A replica's probability decreases with this power of its cost. The higher,
/// the more all instances choose the same replica.
constexpr double kSharpness = 6;
/// Response time that is assumed if none is known.
constexpr double kMinResponseUs = 1000;

double Microseconds(duration value) {
  return static_cast<double>(value.count());
}

double MeanResponse(std::span<const replica_load> replicas) {
  double sum = 0;
  double known = 0;
  for (const replica_load& replica : replicas) {
    if (replica.response_time > duration::zero()) {
      sum += Microseconds(replica.response_time);
      known += 1;
    }
  }
  return known > 0 ? sum / known : kMinResponseUs;
}

/// Returns the part of a full share that a replica on probation gets.
double ProbationShare(const replica_load& replica) {
  if (!replica.since_return.has_value()) {
    return 1;
  }
  return std::clamp(Microseconds(*replica.since_return) / kProbationUs,
                    kProbationShare, 1.0);
}

}  // namespace

void EstimateCosts(std::span<const replica_load> replicas,
                   std::span<double> costs) {
  assert(replicas.size() == costs.size());
  const double mean = MeanResponse(replicas);
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const replica_load& replica = replicas[i];
    const double known =
        replica.response_time > duration::zero()
            ? std::exp(-Microseconds(replica.age) / kKnowledgeDecayUs)
            : 0;
    double response =
        mean + (Microseconds(replica.response_time) - mean) * known;
    if (replica.since_refusal.has_value()) {
      response *= 1 + (kRefusalCost - 1) *
                          std::exp(-Microseconds(*replica.since_refusal) /
                                   kRefusalDecayUs);
    }
    costs[i] = std::max(response, kMinResponseUs) *
                   (1 + static_cast<double>(replica.own_statements)) +
               Microseconds(replica.surcharge);
  }
}

std::size_t ChooseReplica(std::span<const replica_load> replicas,
                          std::uint64_t random) {
  assert(!replicas.empty());
  std::vector<double> costs(replicas.size());
  EstimateCosts(replicas, costs);
  const double cheapest = *std::min_element(costs.begin(), costs.end());
  const auto serves_nearby = [&](std::size_t i) {
    return replicas[i].surcharge == duration::zero() &&
           ProbationShare(replicas[i]) == 1 &&
           costs[i] <= cheapest * kOwnDomainFactor;
  };
  bool nearby = false;
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    nearby = nearby || serves_nearby(i);
  }
  std::vector<double> weights(replicas.size());
  double sum = 0;
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    if (!nearby || serves_nearby(i)) {
      weights[i] = std::pow(cheapest / costs[i], kSharpness) *
                   ProbationShare(replicas[i]);
    }
    sum += weights[i];
  }
  double left = std::ldexp(static_cast<double>(random), -64) * sum;
  for (std::size_t i = 0; i + 1 < replicas.size(); ++i) {
    if (left < weights[i]) {
      return i;
    }
    left -= weights[i];
  }
  return replicas.size() - 1;
}

}  // namespace marjoramslip
