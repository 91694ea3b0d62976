// The instances that the lists of members named lately.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIST_HISTORY_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIST_HISTORY_H_

#include <map>
#include <span>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Longest time between two lists of an unbroken run. An instance is listed for
/// longer than that, for the time of its membership lease, so a run misses none
/// that was listed meanwhile.
inline constexpr duration kMaxListGap = std::chrono::seconds(2);
/// Length of a run of lists that names every instance that may still act as a
/// home: it acts for at most 6.8 s after it was listed (kOutageListLifetime),
/// and a list of the run is at most kMaxListGap away from that time. The rest
/// is for clock drift.
inline constexpr duration kListCoverage = std::chrono::milliseconds(9200);
/// Greatest age of the newest list of such a run. Twice the interval between
/// two reads.
inline constexpr duration kWitnessListAge = std::chrono::seconds(1);

/// The lists of members that this process has received.
class list_history {
 public:
  /// Adds a list that was requested at `requested_at` and received at `now`.
  void Add(std::span<const instance_id> listed, instant requested_at,
           instant now);

  /// True if the lists name every instance that may act as a home now, but for
  /// those that were listed first after the newest list.
  bool Covers(instant now) const;
  /// Returns the instances that were listed within kListCoverage.
  std::vector<instance_id> Recent(instant now) const;

 private:
  instant run_since_{};  ///< When the first list of the run was received.
  instant requested_at_{};
  std::map<instance_id, instant> seen_at_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIST_HISTORY_H_
