// Reads seat claims from the store and chooses the seat to claim.

#ifndef MARJORAMSLIP_LIB_COORDINATION_SEATS_H_
#define MARJORAMSLIP_LIB_COORDINATION_SEATS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::shell {

inline constexpr std::uint32_t kMaxSeat = 9999;

/// The holder of a seat: an instance's name, and the lease, which distinguishes
/// the claims of a process from those of earlier ones with the same name. A
/// seat is a numbered key that entitles its holder to a share of the
/// connections.
struct seat_claim {
  std::string name;
  std::uint64_t lease = 0;
};

/// Formats a claim as the value of a seat's key.
std::string FormatClaim(const seat_claim& claim);
/// Parses a claim; returns nothing if the text is not one.
std::optional<seat_claim> ParseClaim(std::string_view text);

/// The seats that are taken, and those claimed under this instance's name.
struct seat_map {
  std::set<std::uint32_t> taken;
  std::optional<std::uint32_t> own;       ///< Claimed under the current lease.
  std::set<std::uint64_t> former_leases;  ///< Leases of its older claims.
  /// The seats of the older claims, with the revisions of their keys.
  std::map<std::uint32_t, std::uint64_t> former_seats;
};

/// Reads the seats from the keys below `directory`. Other keys are ignored.
seat_map ReadSeats(std::string_view directory, const kv::range_result& range,
                   const seat_claim& self);

/// Returns the preferred seat if it is free, else a free one below `limit`,
/// else a free one above. `draw` selects among the free ones; 0 selects the
/// lowest. Claimants that conflicted use a number of their own, such as the
/// hash of their name, so that they do not conflict again. Returns a number
/// above `kMaxSeat` if no seat is free.
std::uint32_t ChooseSeat(const std::set<std::uint32_t>& taken,
                         const std::optional<std::uint32_t>& preferred,
                         std::uint32_t limit, std::uint64_t draw);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_COORDINATION_SEATS_H_
