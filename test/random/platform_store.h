// The platform's metadata store for randomised runs: leases, the list of
// instances, the duty and the group's record. It is linearizable; links and
// delays lie around it.

#ifndef MARJORAMSLIP_TEST_RANDOM_PLATFORM_STORE_H_
#define MARJORAMSLIP_TEST_RANDOM_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"

namespace marjoramslip::random_runs {

/// The store. `now` in each call is when the call takes effect.
class platform_store {
 public:
  /// The holder of the duty: its instance, its lease, and the fence.
  struct duty_key {
    instance_id holder;
    std::uint64_t lease = 0;
    std::uint64_t fence = 0;
  };

  std::uint64_t GrantLease(instant now);
  /// Returns false if the lease has ended.
  bool KeepAlive(std::uint64_t lease, instant now);
  void EndLease(std::uint64_t lease, instant now);
  /// Lists an instance under `lease`. The lease of an earlier start of the
  /// same name ends. Returns false if `lease` has ended.
  bool Announce(member entry, std::uint64_t lease, instant now);
  /// Returns the lease under which an instance is listed, or 0.
  std::uint64_t LeaseOf(instance_id listed) const;
  /// Returns the fence if the duty is held by `holder` under `lease` after the
  /// call, else 0.
  std::uint64_t ClaimDuty(instance_id holder, std::uint64_t lease, instant now);
  /// Returns whether the record was written.
  bool WriteRecord(const write_record& what);
  /// Makes all leases last longer, as while the store is down.
  void PauseLeases(duration length);

  const std::optional<duty_key>& Duty(instant now);
  std::vector<member> Members(instant now);
  const versioned_record& Record() const { return record_; }
  std::uint64_t NextRevision() { return ++revision_; }

 private:
  void EndExpired(instant now);

  std::uint64_t revision_ = 1;
  std::map<std::uint64_t, instant> leases_;
  std::map<instance_id, member> members_;
  std::optional<duty_key> duty_;
  versioned_record record_;
};

}  // namespace marjoramslip::random_runs

#endif  // MARJORAMSLIP_TEST_RANDOM_PLATFORM_STORE_H_
