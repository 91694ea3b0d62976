// Chooses the replica of a read when several instances share the replicas.
//
// Load addressed: many instances that choose at once, each with knowledge that
// is up to seconds old. If each takes the replica that looks cheapest, they all
// take the same one until their knowledge changes, and the replicas are
// overloaded in turns while others idle.

#ifndef MARJORAMSLIP_LIB_CORE_LOAD_PLACEMENT_H_
#define MARJORAMSLIP_LIB_CORE_LOAD_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// What this instance knows of a replica's load.
struct replica_load {
  /// Mean time of this instance's recent statements there; zero if unknown.
  duration response_time{};
  /// Time since the last of those answers.
  duration age{};
  /// This instance's statements there, in flight and queued.
  std::uint32_t own_statements = 0;
  /// Surcharge for a replica in another failure domain.
  duration surcharge{};
  /// Time since it last refused a statement or connection as busy or full.
  std::optional<duration> since_refusal;
  /// Time since it became reachable again, if it had failed.
  std::optional<duration> since_return;
};

/// Returns the expected cost of a read at each replica, as time, for the
/// decision among them. Old knowledge counts less: it approaches the mean of
/// all replicas. `costs` has the size of `replicas`.
void EstimateCosts(std::span<const replica_load> replicas,
                   std::span<double> costs);

/// Returns the index of the replica to read from. `replicas` must not be empty;
/// `random` is uniformly distributed over its type. The same input gives the
/// same choice.
std::size_t ChooseReplica(std::span<const replica_load> replicas,
                          std::uint64_t random);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LOAD_PLACEMENT_H_
