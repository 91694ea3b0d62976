// The time until which this instance may release answers of primaries.

#ifndef MARJORAMSLIP_LIB_CORE_SERVING_LEASE_H_
#define MARJORAMSLIP_LIB_CORE_SERVING_LEASE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/core/options.h"
#include "marjoramslip/core/peer_messages.h"

namespace marjoramslip {

/// The serving lease of one instance, where the platform promotes. Without it
/// the instance releases no answer of a primary. It comes from one of four
/// sources, and each counts from when the request was sent:
///
///  * the store: the membership lease was renewed. A promoter ends that lease
///    before it promotes, unless the instance acknowledged the sealed record.
///  * a peer that has a lease from the store, for no longer than that one.
///  * a majority of the instances, none of which has a newer record of any
///    group, for a limited time after the last lease from the store.
///  * all instances together, without that limit. This serves while the store
///  is
///    down, when nobody can seal a record.
class serving_lease {
 public:
  /// Requests are numbered from `first_sequence`, which differs between the
  /// processes of an instance.
  serving_lease(const core_options& options, std::uint64_t first_sequence)
      : options_(options), last_sequence_(first_sequence) {}

  /// Handles a renewal of the membership lease requested at `requested_at`.
  /// The announcement under that lease was in the store at `announced_at`.
  void OnRenewed(instant requested_at, instant announced_at);
  /// Handles a read of all records requested at `requested_at`. Renewals count
  /// only once the records were read after the announcement: a promoter that
  /// did not find the announcement expects no acknowledgement.
  void OnRecordsRead(instant requested_at);

  /// Returns the number of a new request to peers, sent at `now`.
  std::uint64_t StartRequest(instant now);
  /// Returns when a request was sent; empty if it is not among the newest.
  std::optional<instant> SentAt(std::uint64_t sequence) const;
  /// Notes a peer's message, so that it can be echoed to that peer.
  void OnHeard(instance_id peer, std::uint64_t sequence);
  /// Returns the newest sequence number heard from each peer.
  std::vector<serving_echo> Echoes() const;

  /// Handles a status of `peer` whose records are no newer than this instance's
  /// and which echoes the request `echoed` of this instance.
  void OnConfirmed(instance_id peer, const serving_status& status,
                   std::uint64_t echoed);

  /// True once this process has had a lease from the store, so that it knows
  /// the records that were agreed before it started.
  bool Informed() const { return store_until_ != instant{}; }
  /// Returns when the lease from the store ends.
  instant StoreUntil() const { return store_until_; }
  /// Returns when the lease ends. `others` are the other listed instances that
  /// have not left.
  instant Until(std::span<const instance_id> others) const;

 private:
  struct sent_request {
    std::uint64_t sequence = 0;
    instant sent_at;
  };
  struct confirmation {
    instant requested_at;
    bool informed = false;
  };

  /// Returns the end of the lease that confirmations of `others` give.
  instant ConfirmedUntil(std::span<const instance_id> others) const;

  const core_options& options_;
  instant records_read_at_{};
  /// A renewal that came before the records were read.
  instant renewed_at_{};
  instant announced_at_{};
  instant store_until_{};
  instant peer_until_{};
  std::uint64_t last_sequence_;
  std::deque<sent_request> sent_;
  std::map<instance_id, std::uint64_t> heard_;
  std::map<instance_id, confirmation> confirmed_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_SERVING_LEASE_H_
