// Acts as the home instance of shards, and follows and precedes other ones.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_HOME_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_HOME_H_

#include "../core_state.h"

namespace marjoramslip {

/// Returns whether this instance may grant tokens of the shard. Prepares its
/// buckets and tells the others when it begins to.
bool GrantsShard(core_state& core, std::uint32_t shard);

/// Keeps the list of members fresh and claims shards that this instance is to
/// be the home of. Call at each tick.
void MaintainLimitHome(core_state& core);

/// Applies a list of members that was requested at `requested_at`.
void UpdateLimitMembers(core_state& core, instant requested_at);
/// Handles the notice of a process that ended in order.
void OnLimitPeerLeft(core_state& core, instance_id peer);

/// Answers an instance that is about to become the home of shards.
void OnLimitClaim(core_state& core, instance_id from, const limit_claim& claim);
void OnLimitClaimAck(core_state& core, instance_id from,
                     const limit_claim_ack& answer);
void OnLimitHome(core_state& core, instance_id from, const limit_home& notice);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_HOME_H_
