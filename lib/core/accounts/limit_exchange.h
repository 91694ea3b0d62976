// Requests tokens from home instances, and grants them as one.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_EXCHANGE_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_EXCHANGE_H_

#include <map>

#include "../core_state.h"

namespace marjoramslip {

/// Greatest time for which a shard without tokens is not asked again.
inline constexpr duration kMaxExhausted = std::chrono::milliseconds(250);

/// Requests to be sent, by recipient.
using limit_requests = std::map<instance_id, pending_limit_request>;

/// How one request for tokens went.
enum class ask_result : std::uint8_t {
  kSent,
  kAnswered,  ///< By this instance itself.
  kNone,      ///< No shard can be asked now.
};

/// Returns the account if it has a limit.
limited_account* Limited(core_state& core, account_id id);

/// Asks the next shard of an account for tokens.
ask_result AskForTokens(core_state& core, account_id id,
                        limited_account& account, std::uint32_t wanted,
                        limit_requests& requests);
/// Sends the requests and empties the list.
void SendLimitRequests(core_state& core, limit_requests& requests);
/// True if a request of the account is not answered yet.
bool HasPendingRequest(const limited_account& account);
/// Ends requests that were not answered, and asks other shards or instances.
void ExpireLimitRequests(core_state& core);

void OnLimitRequest(core_state& core, instance_id from,
                    const limit_request& request);
void OnLimitGrant(core_state& core, instance_id from, const limit_grant& grant);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_EXCHANGE_H_
