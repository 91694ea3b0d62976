// Weighted rendezvous hashing of carriers, and the choice among them.

#include "carriers.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "load/carrier_choice.h"

namespace marjoramslip {
namespace {

/// Returns the score of a candidate for a group. The probability that it is the
/// highest of several is in proportion to the weights.
double Score(group_id group, const carrier_candidate& candidate) {
  // 53 bits are exact in a double; the offset keeps the result above 0.
  constexpr int kDroppedBits = 11;
  constexpr double kScale = 0x1p-53;
  const std::uint64_t hash =
      HashName(std::to_string(candidate.id.value ^ group.value));
  const double uniform =
      (static_cast<double>(hash >> kDroppedBits) + 0.5) * kScale;
  const std::uint32_t weight = candidate.processor_share == 0
                                   ? kAssumedProcessorShare
                                   : candidate.processor_share;
  return -static_cast<double>(weight) / std::log(uniform);
}

}  // namespace

bool NeedsCarriers(const connection_supply& supply,
                   std::uint32_t min_per_instance) {
  return supply.live_instances > 1 &&
         supply.connections <
             std::uint64_t{min_per_instance} * supply.live_instances;
}

std::uint32_t CarriersPerDomain(const connection_supply& supply,
                                std::uint32_t domains, std::uint32_t wanted) {
  const std::uint32_t needed = std::max<std::uint32_t>(1, supply.slots) *
                               std::max<std::uint32_t>(1, domains);
  return std::clamp<std::uint32_t>(supply.connections / needed, 1,
                                   std::max<std::uint32_t>(1, wanted));
}

std::vector<carrier> ChooseCarriers(
    group_id group, std::span<const carrier_candidate> candidates,
    std::uint32_t per_domain) {
  struct scored {
    double score = 0;
    const carrier_candidate* candidate = nullptr;
  };
  std::vector<scored> ranked;
  ranked.reserve(candidates.size());
  for (const carrier_candidate& candidate : candidates) {
    ranked.push_back({Score(group, candidate), &candidate});
  }
  std::sort(ranked.begin(), ranked.end(), [](const scored& a, const scored& b) {
    return std::tie(a.score, a.candidate->id) >
           std::tie(b.score, b.candidate->id);
  });
  std::map<std::string_view, std::uint32_t> chosen;
  std::vector<carrier> carriers;
  for (const scored& entry : ranked) {
    const carrier_candidate& candidate = *entry.candidate;
    if (chosen[candidate.failure_domain] < per_domain) {
      ++chosen[candidate.failure_domain];
      carriers.push_back({candidate.id, std::string(candidate.name),
                          std::string(candidate.failure_domain)});
    }
  }
  return carriers;
}

std::optional<std::uint32_t> RankOf(std::span<const carrier> carriers,
                                    instance_id id) {
  const auto found =
      std::find_if(carriers.begin(), carriers.end(),
                   [id](const carrier& entry) { return entry.id == id; });
  return found == carriers.end() ? std::nullopt
                                 : std::optional(static_cast<std::uint32_t>(
                                       found - carriers.begin()));
}

std::optional<instance_id> NextCarrier(
    std::span<const carrier> carriers, std::string_view own_domain,
    std::span<const instance_id> tried,
    const std::map<instance_id, carrier_health>& states,
    const std::map<instance_id, carrier_use>& uses, instant now,
    std::mt19937_64& random) {
  std::vector<const carrier*> usable;
  bool nearby = false;
  for (const carrier& entry : carriers) {
    const auto state = states.find(entry.id);
    const bool avoided =
        state != states.end() && now < state->second.avoid_until;
    if (!avoided &&
        std::find(tried.begin(), tried.end(), entry.id) == tried.end()) {
      usable.push_back(&entry);
      nearby = nearby || entry.failure_domain == own_domain;
    }
  }
  if (nearby) {
    std::erase_if(usable, [own_domain](const carrier* entry) {
      return entry->failure_domain != own_domain;
    });
  }
  if (usable.size() <= 1) {
    return usable.empty() ? std::nullopt : std::optional(usable.front()->id);
  }
  std::vector<carrier_load> loads;
  loads.reserve(usable.size());
  for (const carrier* entry : usable) {
    const auto found = uses.find(entry->id);
    const carrier_use use = found == uses.end() ? carrier_use{} : found->second;
    loads.push_back({.reported = use.reported,
                     .age = use.reported_at.has_value()
                                ? std::optional(now - *use.reported_at)
                                : std::nullopt,
                     .own = use.outstanding,
                     .last_used = use.last_used});
  }
  return usable[ChooseCarrier(loads, random())]->id;
}

}  // namespace marjoramslip
