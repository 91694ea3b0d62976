// The stages of a change of primary, as operators see them.

#ifndef MARJORAMSLIP_CORE_CHANGE_STAGE_H_
#define MARJORAMSLIP_CORE_CHANGE_STAGE_H_

#include <cstdint>
#include <string_view>

namespace marjoramslip {

/// What a group that accepts no writes is waiting for.
enum class change_stage : std::uint8_t {
  kNone,               ///< The group is open.
  kElsewhere,          ///< Another instance carries out the change.
  kAwaitingPrimary,    ///< The record is open, but no database is its primary.
  kDraining,           ///< A planned change: the candidate catches up.
  kAwaitingInstances,  ///< Other instances may still serve the old term.
  kAwaitingDatabases,  ///< No database can be chosen as a candidate.
  kAwaitingPlatform,   ///< The platform has not accepted the promotion.
  kAwaitingEffect,     ///< The candidate does not report itself as primary.
  kWritingRecord,      ///< The store has not confirmed a write of the record.
};

/// Returns the name of a stage in logs, metrics and the status.
std::string_view NameOf(change_stage stage);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_CHANGE_STAGE_H_
