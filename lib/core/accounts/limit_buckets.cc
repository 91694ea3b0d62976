// Fills and empties token buckets.

#include "limit_buckets.h"

#include <algorithm>
#include <cmath>

namespace marjoramslip {
namespace {

/// Allows for the rounding of fractions of tokens.
constexpr double kRounding = 1e-9;
/// Time from the beginning of a bucket without a rate until it gets its burst:
/// a window of 5 s and the longest time for which tokens may be used, 4 s, so
/// that no window holds operations of two bursts. The rest is for clock drift.
constexpr duration kBurstDelay = std::chrono::milliseconds(9100);
/// Time after which a shard without a rate may be asked again.
constexpr duration kRetryWithoutRate = std::chrono::seconds(1);

}  // namespace

void limit_buckets::Fill(bucket& held, std::uint32_t shard,
                         const account_limit& limit, instant now) {
  if (limit.rate <= 0) {
    if (!held.burst_given && now - held.filled_at >= kBurstDelay) {
      held.burst_given = true;
      held.tokens += static_cast<double>(ShardOfBurst(limit, shard));
    }
    return;
  }
  const std::chrono::duration<double> elapsed = now - held.filled_at;
  held.tokens =
      std::min(held.tokens + limit.rate / kLimitShards * elapsed.count(),
               ShardCapacity(limit));
  held.filled_at = now;
}

token_grant limit_buckets::Take(account_id account, std::uint32_t shard,
                                const account_limit& limit,
                                std::uint32_t wanted, instant now) {
  Open(account, shard, now);
  bucket& held = buckets_.at({account, shard});
  Fill(held, shard, limit, now);
  token_grant grant;
  grant.tokens = static_cast<std::uint32_t>(std::min(
      std::floor(held.tokens + kRounding), static_cast<double>(wanted)));
  held.tokens -= grant.tokens;
  if (grant.tokens < wanted) {
    grant.retry_after =
        limit.rate > 0
            ? std::chrono::ceil<duration>(std::chrono::duration<double>(
                  std::max(0.0, 1 - held.tokens) * kLimitShards / limit.rate))
            : kRetryWithoutRate;
  }
  return grant;
}

void limit_buckets::Open(account_id account, std::uint32_t shard, instant now,
                         std::optional<std::uint32_t> handed_over) {
  buckets_.try_emplace({account, shard},
                       bucket{static_cast<double>(handed_over.value_or(0)), now,
                              handed_over.has_value()});
}

std::optional<std::uint32_t> limit_buckets::Release(account_id account,
                                                    std::uint32_t shard,
                                                    const account_limit& limit,
                                                    instant now) {
  const auto found = buckets_.find({account, shard});
  if (found == buckets_.end()) {
    return std::nullopt;
  }
  bucket& held = found->second;
  Fill(held, shard, limit, now);
  const auto tokens =
      static_cast<std::uint32_t>(std::floor(held.tokens + kRounding));
  held.tokens = 0;
  return tokens > 0 || held.burst_given ? std::optional(tokens) : std::nullopt;
}

void limit_buckets::CloseShard(std::uint32_t shard) {
  std::erase_if(buckets_, [shard](const auto& entry) {
    return entry.first.second == shard;
  });
}

void limit_buckets::CloseAccount(account_id account) {
  std::erase_if(buckets_, [account](const auto& entry) {
    return entry.first.first == account;
  });
}

}  // namespace marjoramslip
