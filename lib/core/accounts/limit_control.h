// Applies the rate limits of accounts to operations.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_CONTROL_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_CONTROL_H_

#include <optional>

#include "../core_state.h"

namespace marjoramslip {

/// What becomes of an operation's first statement.
enum class limit_decision : std::uint8_t {
  kMayBegin,
  kHeld,     ///< Waits for a token; it is resumed or refused within 250 ms.
  kRefused,  ///< Refused with a time to come back.
};

/// Decides whether the caller's account may begin an operation now. Takes a
/// token into `token` if the account has a limit.
limit_decision BeginOperation(core_state& core, caller_state& caller,
                              const statement_received& statement,
                              instant arrived,
                              std::optional<operation_token>& token);

/// Ensures that a request may be sent under its account's limit: a token that
/// expired while the request waited is replaced. Returns false, and fails the
/// request, if there is none.
bool RenewTokenToSend(core_state& core, request_state& request);

/// Returns the token of a request that provably did not run.
void ReturnToken(core_state& core, request_state& request);

/// Applies the limits of a new catalogue.
void UpdateLimits(core_state& core);

/// Renews tokens, ends requests that were not answered in time, and keeps the
/// list of members fresh on home instances. Call at each tick.
void MaintainLimits(core_state& core);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_CONTROL_H_
