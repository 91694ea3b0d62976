// The tokens that a home instance has to grant.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_BUCKETS_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_BUCKETS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "limit_terms.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// What a shard grants of an account's limit.
struct token_grant {
  std::uint32_t tokens = 0;
  /// Time until the next token is available, if fewer were granted than wanted.
  duration retry_after{};
};

/// One token bucket for each account and shard that this instance is home of.
class limit_buckets {
 public:
  /// Takes up to `wanted` tokens. A bucket that did not exist begins empty:
  /// the former home instance may have granted all that it held. One without a
  /// rate is filled once, when all that others granted is out of use.
  token_grant Take(account_id account, std::uint32_t shard,
                   const account_limit& limit, std::uint32_t wanted,
                   instant now);

  /// Creates the bucket of an account and shard, unless there is one. It holds
  /// the tokens that a former home handed over.
  void Open(account_id account, std::uint32_t shard, instant now,
            std::optional<std::uint32_t> handed_over = std::nullopt);
  /// Takes all tokens, to be handed over; empty if there is nothing to tell.
  std::optional<std::uint32_t> Release(account_id account, std::uint32_t shard,
                                       const account_limit& limit, instant now);
  /// Discards the buckets of a shard whose home is no longer this instance.
  void CloseShard(std::uint32_t shard);
  void CloseAccount(account_id account);

 private:
  struct bucket {
    double tokens = 0;
    instant filled_at{};
    /// The burst of an account without a rate was given out.
    bool burst_given = false;
  };

  /// Adds what a bucket has gained since it was last filled.
  static void Fill(bucket& held, std::uint32_t shard,
                   const account_limit& limit, instant now);

  std::map<std::pair<account_id, std::uint32_t>, bucket> buckets_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_BUCKETS_H_
