// The settings of the reducer.

#ifndef MARJORAMSLIP_CORE_OPTIONS_H_
#define MARJORAMSLIP_CORE_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// The part of an instance's settings that the reducer uses.
struct core_options {
  /// Name of this instance. Its id is the hash of the name.
  std::string instance_name;
  std::string failure_domain;
  /// Salt of the unique ids that this process generates. Differs at each start.
  std::uint64_t process_seed = 1;

  /// How long evidence of a term is valid, counted from when it was requested.
  /// Bounds the time for which an instance holds a permit.
  duration permit = std::chrono::milliseconds(300);
  /// How long a promoter waits for all permits to expire: `permit` plus an
  /// allowance for clock drift.
  duration permit_wait = std::chrono::milliseconds(330);
  /// How long an instance may release answers of primaries after it requested
  /// the newest confirmation of its serving lease.
  duration serving_lease = std::chrono::milliseconds(1500);
  /// How long a promoter waits for another instance's serving lease to expire:
  /// `serving_lease` plus an allowance for clock drift and for the time between
  /// the last check of the lease and the sending of the answer.
  duration serving_lease_wait = std::chrono::milliseconds(1750);
  /// How long after its last lease from the store an instance may still renew
  /// its serving lease through a majority of the instances.
  duration majority_lease_limit = std::chrono::milliseconds(8000);
  /// How long a promoter waits for other instances' serving leases to expire if
  /// those that do not acknowledge may be a majority.
  duration majority_lease_wait = std::chrono::milliseconds(8400);
  /// How long after it was given up a request for a promotion may still take
  /// effect: a call that the platform keeps for seconds, and the promotion
  /// itself.
  duration promotion_effect_limit = std::chrono::milliseconds(8000);
  /// Time between probes of an endpoint without other traffic.
  duration probe_interval = std::chrono::milliseconds(100);
  /// Time between probes while a request waits for a position.
  duration probe_interval_waiting = std::chrono::milliseconds(5);
  duration probe_timeout = std::chrono::milliseconds(250);
  duration connect_timeout = std::chrono::milliseconds(400);
  /// Time without progress after which a statement's connection is closed.
  duration statement_timeout = std::chrono::seconds(2);
  /// Number of instances, including this one, that must suspect a primary
  /// before it is replaced.
  std::uint32_t suspicion_quorum = 2;
  /// Age at which another instance's suspicion expires.
  duration suspicion_age = std::chrono::seconds(2);
  /// Time without progress after which another instance takes over a change of
  /// primary.
  duration takeover_delay = std::chrono::milliseconds(600);
  /// Maximum number of requests that wait for one group.
  std::uint32_t queue_limit = 1000;
  /// If set, statements in flight to an endpoint are limited to this instance's
  /// share of the endpoint's slots and of this surplus. All live instances
  /// count as sharing them.
  std::optional<std::uint32_t> in_flight_surplus;
  /// Maximum duration of a graceful shutdown.
  duration drain_limit = std::chrono::seconds(20);
  /// True if this instance can forward statements to others.
  bool forwarding = false;
  /// Forwarding applies to a group whose endpoints accept fewer connections for
  /// each live instance.
  std::uint32_t min_connections_per_instance = 2;
  /// Number of carriers of a group in each failure domain.
  std::uint32_t carriers_per_domain = 2;
  /// Maximum number of sessions whose floors are kept.
  std::uint32_t session_limit = 200000;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_OPTIONS_H_
