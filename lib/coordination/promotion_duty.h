// The duty to promote: its key in the store, its fence, and the time for which
// it is surely held.

#ifndef MARJORAMSLIP_LIB_COORDINATION_PROMOTION_DUTY_H_
#define MARJORAMSLIP_LIB_COORDINATION_PROMOTION_DUTY_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/kv/key_value_store.h"
#include "platform_link_context.h"

namespace marjoramslip::shell {

/// Claims the duty to promote and proves that it is still held.
///
/// A claim writes two keys in one transaction: the duty under the instance's
/// lease, and the newest fence without a lease. It belongs to the history of
/// the store in which it was made. A store that went back to an older copy may
/// have lost the claim and kept the lease, so a renewed lease proves the claim
/// only within its history; where the store does not tell its history, the key
/// is read. A claim of an earlier history is made again, with a higher fence:
/// later holders may have been forgotten.
///
/// A holder uses the duty for at most `validity` after it requested the newest
/// proof. Until `validity` after a history was first seen, a holder of an
/// earlier one may still use the duty, so it is not used before; where the
/// store does not tell, not until `validity` after the claim. docs/PROOFS.md
/// has the argument.
class promotion_duty {
 public:
  /// `on_due` is called, on any thread, when the duty is to be claimed or
  /// verified before the next renewal of the lease.
  promotion_duty(platform_context& context, std::string name, duration validity,
                 std::function<void()> on_due);

  /// Reports the entry of the duty's key; empty if nobody holds the duty. A
  /// vacant duty is claimed after `delay`. Callable from any thread.
  void OnHolderSeen(const std::optional<kv::entry>& holder, duration delay);
  /// Reports the entry of the fence's key, which was read in `history`; empty
  /// if there is none at the store's revision `revision`. Callable from any
  /// thread.
  void OnFenceSeen(const std::optional<kv::entry>& fence,
                   std::uint64_t revision, const kv::history_id& history);

  // The methods below are used on one thread only.
  /// Returns the time until Step has something to do; empty if it has not.
  std::optional<duration> TimeUntilDue() const;
  /// Claims or verifies the duty if that is due. `lease` is the
  /// instance's, last extended by a call at `extended_at`.
  void Step(std::uint64_t lease, instant extended_at);
  /// Reports that the lease was renewed by a call at `requested_at`, before
  /// which the store's history was `history`.
  void OnLeaseRenewed(instant requested_at, const kv::history_id& history);
  /// Gives the duty up if it is held: it may have been lost at `lost_at`.
  void Lose(instant lost_at);

 private:
  /// The newest fence that this process has seen, in any history.
  struct seen_fence {
    std::uint64_t highest = 0;
    std::uint64_t key_revision = 0;  ///< 0: no such key.
    kv::history_id read_in;          ///< `key_revision` is of this history.
  };
  /// A claim that has taken effect.
  struct hold {
    std::uint64_t fence = 0;
    std::string value;
    kv::history_id history;
    instant proven_at;
    instant usable_from;
  };

  /// Notes when the store's present history was first seen.
  void NoteHistory();
  seen_fence SeenFence();
  void Claim();
  /// Reads both keys. Returns true if the duty can be claimed, and sets the
  /// revision at which its key then has to be.
  bool ReadKeys();
  void Hold(std::uint64_t fence, std::string value,
            const kv::history_id& history, instant requested_at);
  /// Reads the duty's key, which must still hold the claim.
  void Verify();
  void Post();
  void ClaimAt(instant due);

  platform_context& context_;
  std::string name_;
  instance_id id_;
  duration validity_;
  std::function<void()> on_due_;
  /// When to claim the duty, in ticks of `instant`; 0 while nothing is known to
  /// be claimed.
  std::atomic<duration::rep> claim_at_ = 0;
  /// The key was seen without this instance's claim.
  std::atomic<bool> verify_requested_ = false;
  /// The instance's lease at the last Step.
  std::atomic<std::uint64_t> lease_ = 0;
  std::mutex mutex_;
  std::string held_value_;  ///< Guarded by mutex_; empty if none.
  seen_fence fence_;        ///< Guarded by mutex_.
  // The members below are used on the thread of Step only.
  std::optional<hold> hold_;
  instant lease_extended_at_{};
  /// The revision at which the duty's key has to be for the next claim.
  std::uint64_t expected_revision_ = 0;
  /// This instance's claim as it was read last; empty if there was none.
  std::string found_value_;
  kv::history_id history_;
  instant history_since_{};
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_COORDINATION_PROMOTION_DUTY_H_
