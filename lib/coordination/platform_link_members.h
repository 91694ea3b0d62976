// This instance's membership in the store, and the JSON format of members.

#ifndef MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_MEMBERS_H_
#define MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_MEMBERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/base/result.h"
#include "marjoramslip/coordination/worker.h"
#include "marjoramslip/core/events.h"
#include "platform_link_context.h"
#include "promotion_duty.h"

namespace marjoramslip::shell {

std::string FormatMember(const member& value);
result<member> ParseMember(std::string_view text);

/// Announces this instance under a lease and keeps the lease alive.
///
/// One transaction writes the announcement and claims a seat: the previous seat
/// if it is free, else another one, below the seat limit if possible. Both keys
/// expire with the lease, so no two instances hold the same seat. The duty to
/// promote is a key under the same lease; nobody can take it while the store is
/// unavailable.
///
/// After the store has gone back to an older copy, the lease counts only once
/// the announcement was found under it: the store may have lost the lease and
/// given its id to another instance.
///
/// While no more instances are listed than there are seats, a seat at or above
/// the seat limit has no share of some service's connections. It is exchanged
/// for a lower one as soon as one is free.
///
/// At most one process runs under a name. A new process therefore takes over
/// the seat of an earlier one of its name, then revokes that process's leases,
/// which also releases the duty.
class platform_membership {
 public:
  /// With `platform_promotes`, the serving lease depends on the renewals, which
  /// then follow each other sooner.
  platform_membership(platform_context& context, member self,
                      std::chrono::seconds lease, bool platform_promotes);

  /// Revokes the lease and acquires no further one.
  void Leave();

  /// Where the keys of the duty to promote are reported. The delay of a claim
  /// grows with the instance's place in the order of claimants.
  promotion_duty& Duty() { return duty_; }

  /// Passes the entries read at the start, for the first announcement.
  void OnDirectoryRead(kv::range_result entries);

  /// Requests a check of the announcement, which was not among the entries read
  /// or was seen to be deleted. It may have been written again since.
  void OnAnnouncementMissing();

 private:
  void Run();
  /// Performs the next pending action. Returns false if it failed.
  bool RunStep();
  bool AcquireLease();
  bool Announce();
  bool RenewLease();
  /// Checks that the announcement is in the store. Returns false if the store
  /// does not answer.
  bool VerifyAnnouncement();
  /// Records that the announcement is in the store.
  void MarkAnnounced();
  /// Posts the newest renewal of the lease under which this instance is
  /// announced.
  void PostRenewal();
  duration RenewalInterval() const;
  duration TimeUntilRenewal() const;
  /// Records that the lease was granted or renewed by a call at `requested_at`.
  void OnLeaseExtended(instant requested_at);
  /// Discards the state that depended on the lease. The next step acquires
  /// another lease.
  void OnLeaseLost(instant lost_at);
  /// Returns the seats and this instance's entry, from the follower's initial
  /// read if it is available, else from a new read.
  attempted<kv::range_result> ReadDirectory();
  /// Writes the announcement and claims `seat`, whose key must still be at
  /// `seat_revision` (0: absent). Releases the seat `held`, if any.
  bool ClaimSeat(std::uint32_t seat, std::uint64_t seat_revision,
                 std::optional<std::uint32_t> held,
                 std::uint64_t entry_revision);
  /// True unless the seat held is at or above the limit.
  bool HoldsUsableSeat();
  /// Revokes the leases of earlier processes of this name. Returns false if
  /// one could not be revoked.
  bool RevokeFormerLeases();
  /// Requests a check of the announcement if the store's history has changed.
  void NoteHistory();
  kv::history_id LeaseHistory();
  void SetLeaseHistory(const kv::history_id& history);

  platform_context& context_;
  member self_;
  std::chrono::seconds lease_ttl_;
  bool platform_promotes_;
  std::atomic<std::uint64_t> lease_ = 0;
  std::atomic<bool> leaving_ = false;
  /// The announcement may be missing from the store and must be checked.
  std::atomic<bool> verify_requested_ = false;
  std::mutex mutex_;
  std::optional<kv::range_result> initial_read_;  ///< Guarded by mutex_.
  /// The history in which the lease was granted or the announcement was found
  /// under it last. Guarded by mutex_.
  kv::history_id lease_history_;
  // The members below are used on the worker's thread only.
  kv::history_id seen_history_;  ///< The newest that was logged.
  bool announced_ = false;
  /// The instance was announced at least once since the process started.
  bool ever_announced_ = false;
  /// The last seat held. After the lease has expired, it is claimed again if it
  /// is free.
  std::optional<std::uint32_t> seat_;
  /// Number of claims of seats that other instances had claimed first.
  std::uint32_t conflicts_ = 0;
  /// This instance's entry may be in the store.
  bool own_entry_possible_ = false;
  /// When the newest successful grant or renewal of the lease was requested.
  instant lease_extended_at_{};
  /// When the announcement was found in the store.
  instant announced_at_{};
  /// The follower's initial read has not been waited for yet.
  bool initial_read_pending_ = true;
  /// Leases of earlier processes of this name that must still be revoked.
  std::set<std::uint64_t> former_leases_;
  promotion_duty duty_;
  worker worker_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_MEMBERS_H_
