// Divides limits among shards and ranks home instances.

#include "limit_terms.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace marjoramslip {
namespace {

/// Operations beyond its burst that an account's shards hold together. Accounts
/// of a few operations per second with as small a burst would otherwise lose
/// what one shard has no room for while another is empty.
constexpr double kSpareBurst = 8;
/// Part of the tolerance of 20 operations that late use may take. The rest is
/// the spare burst and a margin.
constexpr double kLateOperations = 9;
/// Part of a window's rate and burst that the bound allows beyond them.
constexpr double kTolerance = 0.1;
constexpr double kWindowSeconds = 5;
/// Greatest burst of an account without a rate, which is counted in whole
/// operations of 32 bits.
constexpr double kMaxBurst = 1e9;
/// A token is not kept for longer than the deadline of most operations.
constexpr duration kMaxTokenLifetime = std::chrono::seconds(4);

}  // namespace

double ShardCapacity(const account_limit& limit) {
  return (std::max(0.0, limit.burst) + kSpareBurst) / kLimitShards;
}

std::uint32_t ShardOfBurst(const account_limit& limit, std::uint32_t shard) {
  const double whole =
      std::min(std::floor(std::max(0.0, limit.burst)), kMaxBurst);
  return (static_cast<std::uint32_t>(whole) + kLimitShards - 1 - shard) /
         kLimitShards;
}

duration TokenLifetime(const account_limit& limit) {
  if (limit.rate <= 0) {
    return kMaxTokenLifetime;
  }
  const double spare =
      kTolerance * (limit.rate * kWindowSeconds + std::max(0.0, limit.burst)) +
      kLateOperations;
  const double seconds = spare / limit.rate;
  const double longest =
      std::chrono::duration<double>(kMaxTokenLifetime).count();
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::min(seconds, longest)));
}

std::vector<instance_id> RankHomes(std::span<const instance_id> listed,
                                   std::uint32_t shard) {
  std::vector<std::pair<std::uint64_t, instance_id>> weights;
  weights.reserve(listed.size());
  for (const instance_id id : listed) {
    // Rendezvous hashing: a change of the list moves few shards.
    weights.emplace_back(
        HashName(std::to_string(id.value) + "/" + std::to_string(shard)), id);
  }
  std::ranges::sort(weights, std::greater());
  std::vector<instance_id> ranked;
  ranked.reserve(weights.size());
  for (const auto& [weight, id] : weights) {
    ranked.push_back(id);
  }
  return ranked;
}

}  // namespace marjoramslip
