// Decides whether this instance may grant tokens as the home of a shard.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_AUTHORITY_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_AUTHORITY_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "limit_succession.h"
#include "limit_terms.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Greatest age of the list of members on which a home instance acts. It covers
/// the time between two reads, a serving lease from the store and the next
/// exchange of status, after which instances know whether others reach the
/// store.
inline constexpr duration kListLifetime = std::chrono::milliseconds(2600);
/// The same while a majority of the listed instances has lost the store too. It
/// covers an outage of 5 s, the time between two reads and a slow call.
inline constexpr duration kOutageListLifetime = std::chrono::milliseconds(6800);
/// Greatest age of the renewal of the membership lease on which a home instance
/// acts without support. The store keeps an instance listed for longer, for
/// 3 s, so one whose lease expired had stopped before.
inline constexpr duration kRenewalLifetime = std::chrono::milliseconds(2800);
/// How long a new home instance waits beyond those times, for clock drift.
inline constexpr duration kHandoverMargin = std::chrono::milliseconds(100);
/// How long a peer's report that it has lost the store counts, from when it was
/// requested.
inline constexpr duration kOutageReportLifetime =
    std::chrono::milliseconds(900);
/// Remaining lease from the store with which a peer counts as one that has not
/// lost it. The store lease lasts 1,500 ms, so such a peer reported no loss
/// for longer than kOutageReportLifetime.
inline constexpr duration kReachableStoreLease = std::chrono::milliseconds(950);
/// Longest time for the answer of a peer that reaches the store. The answers to
/// one request then show a time at which none of these peers' reports of a loss
/// counted.
inline constexpr duration kPromptReport = std::chrono::milliseconds(40);

/// The authority of this process over each shard. It depends on the list of
/// members only, on its age, and on what peers report of the store and of their
/// own authority. It begins after the authority of every earlier home instance
/// has ended: PROOFS.md.
class limit_authority {
 public:
  explicit limit_authority(instance_id self) : self_(self), succession_(self) {}

  /// Applies a list read from the store. `listed` are the members that are not
  /// leaving, this instance included once it is listed.
  void OnList(std::span<const instance_id> listed, instant requested_at,
              instant now);
  /// Handles a report of an instance, this one included, which answers a
  /// request sent at `asked_at`. `store_lease` is the remaining time of its
  /// lease from the store.
  void OnStoreReport(instance_id peer, duration store_lease, instant asked_at,
                     instant now);

  /// Handles a renewal of this instance's membership lease.
  void OnRenewed(instant requested_at) {
    renewed_at_ = std::max(renewed_at_, requested_at);
  }

  /// Gives up the authority over a shard that another instance claims. A later
  /// one begins anew.
  void Yield(std::uint32_t shard) { tenures_[shard] = {}; }
  /// Handles the confirmation of a young peer, asked for at `asked_at`, that it
  /// had no authority over any shard that this instance was about to act for.
  void OnYoungConfirmed(instance_id peer, instant asked_at) {
    instant& at = confirmed_at_[peer];
    at = std::max(at, asked_at);
  }
  /// Returns the shards, bit by bit, for which this instance is about to act.
  std::uint32_t ShardsToClaim() const;
  /// Returns the listed peers that have not confirmed all of these shards as
  /// young processes.
  std::vector<instance_id> UnconfirmedPeers() const;
  /// Returns when the newest of these shards was first claimed.
  instant ClaimedSince() const;
  /// Returns from when on a list must have been requested with which this
  /// instance begins to act at once; empty if confirmations are missing.
  std::optional<instant> ListNeeded(instant now) const;
  limit_succession& Succession() { return succession_; }
  /// Sets whether this process vouches for itself as peers do in their
  /// confirmations: limit_succession::OnConfirmed().
  void SetSteady(bool steady) { steady_ = steady; }

  /// Returns whether this instance may grant tokens of the shard.
  bool Acts(std::uint32_t shard, instant now);

  /// Returns which of the runs of lists that name this instance as the home of
  /// the shard is the present one; empty if there is none.
  std::optional<instant> RunSince(std::uint32_t shard) const {
    return tenures_[shard].since;
  }

  /// True if this instance is, or is about to become, the home of some shard.
  bool IsHome() const;
  /// True if reports of peers may let this instance begin to act sooner.
  bool AwaitsReports(instant now) const;
  /// Returns the instances to ask for tokens of a shard, the home first.
  std::span<const instance_id> Ranked(std::uint32_t shard) const {
    return ranked_[shard];
  }

 private:
  struct tenure {
    /// When the first list of an unbroken run that names this instance as the
    /// home was received.
    std::optional<instant> since;
    /// When the newest list that names this instance was requested.
    instant named_at{};
    bool started = false;
  };

  /// Ends the tenures whose lists are too old to act on.
  void EndIfStale(instant now);
  void ApplyList(std::uint32_t shard, duration gap, instant now);
  /// True if more than half of the listed instances reported, in time, that
  /// they have lost the store.
  bool MajorityLostStore(instant now) const;
  /// True if more than half of the listed instances answered one request, sent
  /// between `from` and `to`, that they reach the store.
  bool MajorityReachesStore(instant from, instant to) const;
  /// Returns when all listed peers had confirmed that they have no authority
  /// over the shard; empty if one has not.
  std::optional<instant> ConfirmedAt(const tenure& held) const;
  bool MayStart(const tenure& held, instant now) const;

  instance_id self_;
  limit_succession succession_;
  bool steady_ = false;
  instant renewed_at_{};
  std::vector<instance_id> listed_;
  /// The newest list that holds this instance. After an outage, in which leases
  /// ended, lists are incomplete at first.
  std::vector<instance_id> own_listed_;
  instant requested_at_{};
  std::array<std::vector<instance_id>, kLimitShards> ranked_;
  std::array<tenure, kLimitShards> tenures_;
  std::map<instance_id, instant> lost_at_;
  /// When each peer was last asked for a confirmation that it gave.
  std::map<instance_id, instant> confirmed_at_;
  /// Instances that reach the store, by when they were asked.
  std::map<instant, std::set<instance_id>> reaching_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_AUTHORITY_H_
