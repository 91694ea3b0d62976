// Policies that choose the endpoint of a read.

#ifndef MARJORAMSLIP_LIB_CORE_READ_ROUTER_H_
#define MARJORAMSLIP_LIB_CORE_READ_ROUTER_H_

#include <cstdint>
#include <optional>
#include <span>

#include "load/placement.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip {

/// An endpoint that could serve a read.
struct read_candidate {
  endpoint_id endpoint;
  bool primary = false;
  /// The endpoint is in this instance's failure domain.
  bool same_domain = false;
  /// The endpoint has reached the read's floor, or probably has.
  bool reaches_floor = false;
  /// Time until the read is expected to be answered, queueing included.
  duration expected_duration{};
  /// Expected replication lag.
  duration lag{};
  /// What is known of its load, for the choice among replicas.
  replica_load load{};
};

/// Returns the cost of a read at an endpoint, as time: the expected duration
/// and a surcharge for resources that other requests need more.
duration CostOf(const read_candidate& candidate);

/// Input of a routing decision.
struct read_routing_input {
  std::span<const read_candidate> candidates;
  /// How long the read has waited for a replica's position.
  duration waited{};
  /// Longest time for which a read waits for a replica to reach its floor.
  duration replica_wait{};
  /// Time since the session's last write through this instance, if any.
  std::optional<duration> time_since_write;
  /// Time after a write for which the sticky policy reads from the primary.
  duration sticky_duration{};
  /// If set, replicas are chosen by ChooseReplica with this number; else the
  /// cheapest is. Set where several instances share the replicas.
  std::optional<std::uint64_t> random = {};
};

/// Read routing policy.
class read_router {
 public:
  read_router() = default;
  read_router(const read_router&) = delete;
  read_router& operator=(const read_router&) = delete;
  virtual ~read_router() = default;

  /// Returns true if the floor of a read must be known before it is routed.
  virtual bool NeedsFloor() const = 0;

  /// Returns the endpoint to read from, or nothing if the read should wait
  /// until a replica has reached its floor.
  virtual std::optional<endpoint_id> Choose(
      const read_routing_input& input) const = 0;
};

/// Returns the router of a policy. It lives as long as the program.
const read_router& RouterOf(read_policy policy);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_READ_ROUTER_H_
