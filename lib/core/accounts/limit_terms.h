// The terms of an account's rate limit: how it is divided among home instances
// and for how long granted tokens may be used.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_TERMS_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_TERMS_H_

#include <cstdint>
#include <span>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Number of shards among which the limits of all accounts are divided. Use is
/// about 62 % of a limit, so three of four shards serve it while the home
/// instance of the fourth changes.
inline constexpr std::uint32_t kLimitShards = 4;

/// The limit of one account over all instances.
struct account_limit {
  /// Operations per second; 0 allows the burst and no more.
  double rate = 0;
  double burst = 0;  ///< Operations.

  bool operator==(const account_limit&) const = default;
};

/// Returns the number of tokens that one shard of the limit can hold.
double ShardCapacity(const account_limit& limit);

/// Returns the operations of one shard of the burst of an account without a
/// rate. The shards' parts are whole and add up to the whole operations of the
/// burst.
std::uint32_t ShardOfBurst(const account_limit& limit, std::uint32_t shard);

/// Returns how long after its request a granted token may be used. The bound of
/// a window of 5 s exceeds rate and burst by a tenth and 20 operations; this
/// time spends all of that but a margin.
duration TokenLifetime(const account_limit& limit);

/// Returns the listed instances in the order in which they are to be the home
/// of a shard. Instances with equal lists return equal orders.
std::vector<instance_id> RankHomes(std::span<const instance_id> listed,
                                   std::uint32_t shard);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_TERMS_H_
