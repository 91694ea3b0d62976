// Holds statements that arrive before the first catalogue is loaded. When a
// fleet restarts under traffic, callers have few retries and the catalogue is
// about to arrive, so a short wait avoids errors.

#ifndef MARJORAMSLIP_LIB_CORE_EARLY_CALLERS_H_
#define MARJORAMSLIP_LIB_CORE_EARLY_CALLERS_H_

#include "core_state.h"

namespace marjoramslip {

/// Returns true while the first catalogue is missing and still expected soon.
bool AwaitsCatalogue(const core_state& core);

/// Holds a caller's statement until the catalogue is loaded or is no longer
/// expected soon.
void HoldEarlyStatement(core_state& core, caller_state& caller,
                        const statement_received& statement);

/// Starts the requests of all held statements if the catalogue is loaded.
void ResumeEarlyStatements(core_state& core);

/// Refuses all held statements, because the catalogue did not arrive in time or
/// the instance shuts down.
void RefuseEarlyStatements(core_state& core);

/// Returns the failure of statements refused before the catalogue is loaded.
failure NoCatalogueFailure();

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_EARLY_CALLERS_H_
