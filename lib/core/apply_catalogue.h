// Applies catalogues, which hold the release notes in force: adds, changes and
// removes services and groups.

#ifndef MARJORAMSLIP_LIB_CORE_APPLY_CATALOGUE_H_
#define MARJORAMSLIP_LIB_CORE_APPLY_CATALOGUE_H_

#include "core_state.h"

namespace marjoramslip {

/// Applies a catalogue as far as it supersedes the one in force.
void ApplyCatalogue(core_state& core, const catalogue& received);

/// Returns what other instances are told of a catalogue. Its declared version
/// counts only where accounts are in use.
revision_update RevisionOf(const catalogue& value);

/// Removes the pools of undeclared endpoints that nothing uses, and the group
/// itself if it is withdrawn and unused. Returns true if the group was removed.
bool DropIfUnused(core_state& core, group_state& group);

/// Returns the group that serves the caller's next statement; null if its
/// route, service or group is not declared. Updates the caller's route
/// settings.
group_state* ResolveGroup(core_state& core, caller_state& caller);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_APPLY_CATALOGUE_H_
