// Identifies callers by their keys: at startup, and at the beginning of every
// statement that is not part of an open transaction.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_IDENTIFICATION_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_IDENTIFICATION_H_

#include <string>
#include <vector>

#include "core_state.h"

namespace marjoramslip {

/// Follows a new catalogue. Logs keys that several accounts were given.
void UpdateAccounts(core_state& core);

/// Tells the front of the callers whose keys were withdrawn, or are accepted
/// again, by the catalogue in force. Their open transactions go on.
void UpdateCallerKeys(core_state& core);

/// Sets the account of a caller whose route is resolved. Returns false if the
/// route needs a key of an account and the caller has none.
bool IdentifyCaller(core_state& core, caller_state& caller);

/// Identifies the caller of a request that is not sent, and that is about to be
/// routed. Returns false if its key was withdrawn: the request has ended then,
/// and the caller is closed at the end of the step.
bool IdentifyAgain(core_state& core, request_state& request);

/// Identifies the callers of all requests that are not sent. Ends the requests
/// of callers whose keys were withdrawn. Those of callers whose accounts have
/// changed leave their queues; they are returned, to be advanced once the
/// catalogue is applied.
std::vector<request_id> IdentifyQueuedRequests(core_state& core);

/// Closes the callers whose keys were withdrawn and that have no transaction.
void CloseUnidentifiedCallers(core_state& core);

/// Returns the account of a caller; 0 if it has none or is unknown.
account_id AccountOf(core_state& core, caller_id caller);

/// Returns the name of an account; empty if there is no such account.
std::string AccountName(const core_state& core, account_id account);

/// Returns the failure of callers whose key no account holds.
failure UnknownKeyFailure();

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_IDENTIFICATION_H_
