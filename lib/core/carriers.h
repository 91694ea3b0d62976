// Chooses the instances that hold the connections of a group where an endpoint
// accepts too few for all instances.

#ifndef MARJORAMSLIP_LIB_CORE_CARRIERS_H_
#define MARJORAMSLIP_LIB_CORE_CARRIERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// A member that accepts forwarded statements.
struct carrier_candidate {
  instance_id id;
  std::string_view name;
  std::string_view failure_domain;
  /// In thousandths of a core; 0 counts as `kAssumedProcessorShare`.
  std::uint32_t processor_share = 0;
};

/// Processor share of a member that does not announce one: one core.
inline constexpr std::uint32_t kAssumedProcessorShare = 1000;

/// An instance that carries a group.
struct carrier {
  instance_id id;
  std::string name;
  std::string failure_domain;

  bool operator==(const carrier&) const = default;
};

/// What a group's endpoints accept, and how many instances share it.
struct connection_supply {
  std::uint32_t live_instances = 1;
  std::uint32_t connections = 0;  ///< Fewest of any endpoint.
  std::uint32_t slots = 0;        ///< Most of any endpoint.
};

/// Returns true if the endpoints accept fewer than `min_per_instance`
/// connections for each live instance.
bool NeedsCarriers(const connection_supply& supply,
                   std::uint32_t min_per_instance);

/// Returns how many carriers each of `domains` failure domains has: at most
/// `wanted`, and only so many that each has a connection for every slot, but at
/// least one.
std::uint32_t CarriersPerDomain(const connection_supply& supply,
                                std::uint32_t domains, std::uint32_t wanted);

/// Returns the carriers of a group, `per_domain` of each failure domain: the
/// same for all instances with the same candidates. A change of the candidates
/// changes the carriers of few groups. A candidate is chosen in proportion to
/// its processor share (weighted rendezvous hashing). Sorted by rank.
std::vector<carrier> ChooseCarriers(
    group_id group, std::span<const carrier_candidate> candidates,
    std::uint32_t per_domain);

/// Returns the rank of an instance among the carriers; empty if it is none.
std::optional<std::uint32_t> RankOf(std::span<const carrier> carriers,
                                    instance_id id);

/// What an instance knows of a carrier that it uses.
struct carrier_health {
  instant avoid_until{};          ///< Others are preferred until then.
  std::uint32_t outstanding = 0;  ///< Statements that it has not answered.
};

/// What an instance knows of the use of a carrier for one group.
struct carrier_use {
  std::uint32_t outstanding = 0;  ///< Statements that it has not answered.
  std::uint32_t reported = 0;     ///< Requests in progress, as last reported.
  std::optional<instant> reported_at;
  std::uint64_t last_used = 0;  ///< Increases with each statement.
};

/// Returns the carrier to use next: of the own failure domain if possible, else
/// of any; among these as load/carrier_choice.h has it. Empty if all were tried
/// or are to be avoided.
std::optional<instance_id> NextCarrier(
    std::span<const carrier> carriers, std::string_view own_domain,
    std::span<const instance_id> tried,
    const std::map<instance_id, carrier_health>& states,
    const std::map<instance_id, carrier_use>& uses, instant now,
    std::mt19937_64& random);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_CARRIERS_H_
