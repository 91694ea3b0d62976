// The group record, which names a group's primary. It is stored in the
// platform's key-value service.

#ifndef MARJORAMSLIP_CORE_GROUP_RECORD_H_
#define MARJORAMSLIP_CORE_GROUP_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/log_point.h"

namespace marjoramslip {

/// The phases of a group, through which each change of primary passes.
enum class group_phase : std::uint8_t {
  kOpen,      ///< `primary` accepts writes at `term`.
  kDraining,  ///< Planned change: no new writes; `candidate` catches up.
  kSealed,    ///< `term` is decided; its primary accepts no writes yet.
};

/// A request for a promotion whose outcome is not known: it may still take
/// effect.
struct unsettled_promotion {
  /// The id of the endpoint's identity, under which the platform knows it.
  endpoint_id target;
  /// The revision of the record under which it was last given up.
  std::uint64_t revision = 0;

  auto operator<=>(const unsettled_promotion&) const = default;
};

/// The agreed state of one group: its term, primary and phase. Changes only
/// by compare-and-swap on its revision.
struct group_record {
  term_number term = 0;
  endpoint_id primary;
  group_phase phase = group_phase::kOpen;
  /// The endpoint to promote. Set during a planned change, or after a majority
  /// of witnesses has moved to `term`.
  endpoint_id candidate;
  /// True once `candidate` is final for a sealed term.
  bool candidate_chosen = false;
  /// The last entry of the candidate's log at the time it was moved.
  log_point candidate_point;
  /// The forks of the log: where each term's log branched off its
  /// predecessor's, up to the newest term with a chosen candidate.
  fork_history forks;
  /// The witnesses: the endpoints whose majority decides a term. Fixed for each
  /// term.
  std::vector<endpoint_id> witnesses;
  /// Promotions that may still take effect while another endpoint leads.
  std::vector<unsettled_promotion> unsettled;
  /// Unique for each write. It shows whether a compare-and-swap took effect
  /// when its answer was lost.
  std::uint64_t writer = 0;

  bool operator==(const group_record&) const = default;
};

/// A record and its revision in the key-value service.
struct versioned_record {
  group_record record;
  std::uint64_t revision = 0;  ///< 0: the key does not exist.
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_GROUP_RECORD_H_
