// Operations that wait for tokens, and those that are refused.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_WAITING_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_WAITING_H_

#include "../core_state.h"

namespace marjoramslip {

/// Counts a refused operation. Writes one log line for each window. Returns the
/// failure, which gives a time to come back.
failure CountLimitRefusal(core_state& core, limited_account& account);

/// Ends a first statement without a log line of its own.
void RefuseLimited(core_state& core, const statement_received& statement,
                   failure reason);

/// Resumes the operations that wait, as far as there are tokens, and asks for
/// more. Refuses them if no shard can be asked.
void ServeWaitingOperations(core_state& core, account_id id,
                            limited_account& account);
/// Refuses the operations that have waited for too long.
void RefuseOverdueOperations(core_state& core);
/// Refuses all operations that wait for tokens of an account, which has no
/// limit any more. Their callers are admitted or refused as those of others.
void RefuseWaiting(core_state& core, limited_account& account);
/// Refuses all operations that wait for tokens, at the start of a shutdown.
void RefuseHeldOperations(core_state& core, const failure& reason);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_WAITING_H_
