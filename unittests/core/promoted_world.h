// A test world with a group whose primary the platform promotes on request.
// Statements to its databases carry no term.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_PROMOTED_WORLD_H_
#define MARJORAMSLIP_UNITTESTS_CORE_PROMOTED_WORLD_H_

#include <algorithm>
#include <chrono>

#include "harness.h"

namespace marjoramslip {

inline constexpr std::uint64_t kFence = 77;
inline constexpr caller_id kFreshCaller{2};

/// A group whose primary is "a", with one caller for each route.
struct promoted_world : harness {
  explicit promoted_world(std::optional<std::uint32_t> in_flight_surplus = {})
      : harness(ack_policy::kPrimary, true, "i", false, in_flight_surplus) {
    ApplyEvent(caller_opened{kFreshCaller, "fresh", {}});
  }

  /// Gives this instance the duty to promote, once the leases of instances that
  /// it cannot know of have expired.
  void HoldDuty(duration length = std::chrono::seconds(10)) {
    AdvanceTime(std::chrono::milliseconds(8500));
    ApplyEvent(duty_seen{IdOf<instance_id>("i"), kFence, Now() + length});
  }

  /// Adds another instance that may act on records.
  void AddPeer() {
    member self{IdOf<instance_id>("i"), "i", {}, {}, false, 0};
    member other{IdOf<instance_id>("j"), "j", {}, {}, false, 1, 31};
    SetMembers({self, other});
  }

  /// Makes every probe of the primary fail from now on and passes 300 ms.
  void MakePrimaryUnreachable() {
    unreachable_endpoint = Id("a");
    for (int i = 0; i < 60; ++i) {
      ApplyEvent(probe_failed{Id("a"), Now(), true});
      AdvanceTime(std::chrono::milliseconds(5));
    }
  }

  /// Changes the state of `name` to that of the primary of `term`.
  void Promote(const char* name, term_number term) {
    State(name).term = term;
    State(name).log_term = term;
    State(name).role = endpoint_role::kPrimary;
    State(name).received_point = {term, State(name).position};
  }

  bool HasWrittenRecord(group_phase phase) const {
    return std::any_of(
        written_records.begin(), written_records.end(),
        [phase](const group_record& record) { return record.phase == phase; });
  }
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_PROMOTED_WORLD_H_
