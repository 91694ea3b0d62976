// The list of live instances and this instance's seat.

#ifndef MARJORAMSLIP_LIB_CORE_MEMBERSHIP_H_
#define MARJORAMSLIP_LIB_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "carriers.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/core/events.h"

namespace marjoramslip {

/// Returns the share of a seat: its part of an endpoint's `connections`, which
/// are divided evenly among `seats` seats. At least 1; an instance without a
/// seat has 1, for monitoring.
std::uint32_t ShareOf(std::optional<std::uint32_t> seat, std::uint32_t seats,
                      std::uint32_t connections);

/// Another instance that may act on the records of groups.
struct recent_peer {
  instance_id id;
  std::uint64_t lease = 0;  ///< Its last known membership lease; 0 if unknown.
  bool listed = false;
  /// It has been listed for so long that every instance that may still renew
  /// its lease through a majority knows it.
  bool established = false;
};

/// Tracks live instances by the platform's list and the instances' messages.
class membership {
 public:
  explicit membership(instance_id self) : self_(self) {}

  /// Applies the platform's list, received at `now`.
  void OnMembers(std::span<const member> members, instant now);

  /// Handles a message from `from`. Counts it as a peer even before a list that
  /// names other instances has arrived.
  void OnMessageFrom(instance_id from);

  /// Handles the message by which `from` leaves: it holds no connections any
  /// more.
  void OnLeaveNotice(instance_id from);

  /// Returns this instance's seat, a number that entitles it to one share of
  /// every endpoint's connections; empty while it holds none.
  std::optional<std::uint32_t> Seat() const;

  /// Returns this instance's share of an endpoint's `connections` where they
  /// are divided into `seats` shares. Where more instances are live than there
  /// are seats, each has a share: they are divided evenly among the live
  /// instances, in order of their seats.
  std::uint32_t Share(std::uint32_t seats, std::uint32_t connections) const;

  /// Returns the member that gathers the evidence of a group for all others:
  /// the same for all instances with the same list, this one included.
  instance_id HomeOf(group_id group) const;

  /// Returns the number of listed instances that have not left; at least 1.
  std::uint32_t LiveCount() const;

  /// Returns the other live instances that aren't leaving, in order of id.
  /// While no list names others, includes those that have sent messages.
  std::vector<instance_id> Peers() const;

  /// Returns the instances on the platform's list that aren't leaving, in order
  /// of id. This instance is among them only if the store lists it. Notices
  /// from instances that left are ignored, so that equal lists give equal
  /// results everywhere.
  std::vector<instance_id> Listed() const;

  /// Returns the other listed instances that have not left.
  std::vector<instance_id> Others() const;

  /// Returns the other instances that may still act: the listed ones that
  /// haven't left, and those delisted recently without having left. The latter
  /// may be running, partitioned from the platform. One that was never listed
  /// has had no serving lease.
  std::vector<recent_peer> RecentPeers(instant now) const;

  /// Returns the members that accept forwarded statements and are not leaving,
  /// this instance included. The views are valid until the list changes.
  std::vector<carrier_candidate> CarrierCandidates() const;

  /// Returns the name of a listed member, or its id as text.
  std::string NameOf(instance_id id) const;

  /// Returns the names of the listed members; leaving ones are marked.
  std::vector<std::string> Names() const;

 private:
  instance_id self_;
  std::map<instance_id, member> members_;
  std::set<instance_id> unlisted_;  ///< Sent messages; kept until a list comes.
  struct delisted_member {
    std::uint64_t lease = 0;
    instant seen_at;  ///< When the list without it was received.
  };

  /// Instances that vanished from the list without having left.
  std::map<instance_id, delisted_member> delisted_;
  std::set<instance_id> left_;  ///< Announced leaving, but still listed.
  /// When each listed or recently delisted instance was first listed.
  std::map<instance_id, instant> listed_since_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_MEMBERSHIP_H_
