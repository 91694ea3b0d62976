// The services, groups, endpoints and routes of a catalogue.

#ifndef MARJORAMSLIP_CATALOGUE_CATALOGUE_H_
#define MARJORAMSLIP_CATALOGUE_CATALOGUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// A database server, which is a member of one group.
struct endpoint_spec {
  std::string name;
  /// Identity to which the server answers, if `name` stands for a single start
  /// of it; empty if it answers to `name`.
  std::string identity = {};
  std::string host;
  std::uint16_t port = 0;
  std::string failure_domain;
  /// True once withdrawn: the endpoint receives no new requests.
  bool leaving = false;
  /// Number of statements that the endpoint runs concurrently.
  std::uint32_t slots = 3;
  /// Number of connections that it accepts from all instances together.
  std::uint32_t connections = 20;

  endpoint_id Id() const { return IdOf<endpoint_id>(name); }
  bool operator==(const endpoint_spec&) const = default;
};

/// A group: endpoints that replicate one log.
struct group_spec {
  std::string name;
  std::vector<endpoint_spec> endpoints;

  group_id Id() const { return IdOf<group_id>(name); }
  bool operator==(const group_spec&) const = default;
};

/// When a write is acknowledged.
enum class ack_policy : std::uint8_t {
  kPrimary,  ///< Once the primary has it.
  kReplica,  ///< Once one replica has it too.
};

/// Which endpoints serve reads.
enum class read_policy : std::uint8_t {
  kPosition,  ///< Any endpoint whose position satisfies the session.
  kPrimary,   ///< Only the primary. For comparison.
  /// The primary for the time `sticky` after a write. For comparison.
  kSticky,
};

/// How a failover ensures that the failed primary has lost its authority.
enum class failover_policy : std::uint8_t {
  kWitness,  ///< By permits from a majority of the group.
  /// By waiting for the time `lease` after sealing. For comparison.
  kLease,
};

/// A service, which callers select as the database name.
struct service_spec {
  std::string name;
  std::vector<group_spec> groups;
  ack_policy ack = ack_policy::kReplica;
  read_policy reads = read_policy::kPosition;
  failover_policy failover = failover_policy::kWitness;
  /// Longest time a read waits for a replica before it goes to the primary.
  duration replica_wait = std::chrono::milliseconds(80);
  /// Longest time a request may spend in an instance before it is refused.
  duration deadline = std::chrono::seconds(5);
  /// Time for which read_policy::kSticky reads from the primary after a write.
  duration sticky = std::chrono::milliseconds(500);
  /// Time that failover_policy::kLease waits after sealing.
  duration lease = std::chrono::seconds(10);
  /// Group names by tenant, for tenants that are not placed by hash.
  std::map<std::string, std::string, std::less<>> pins;
  /// Number of shares into which an endpoint's connections are divided. It
  /// covers the instances that run concurrently and their replacements.
  std::uint32_t seats = 6;
  /// True if endpoints refuse statements of a term other than the one that the
  /// connection was opened for. If false, connections are kept across terms.
  bool term_bound = true;
  /// Number of replicas that have received a commit before the primary answers
  /// it, where `term_bound` is false. If it is not 0, no promotion loses an
  /// acknowledged commit.
  std::uint32_t acknowledging_replicas = 0;

  service_id Id() const { return IdOf<service_id>(name); }
  bool operator==(const service_spec&) const = default;
};

/// The consistency of reads over a route.
enum class consistency : std::uint8_t {
  kSession,           ///< All writes before the session, and its own.
  kPrimary,           ///< Every acknowledged write.
  kBoundedStaleness,  ///< Writes older than `max_staleness`.
  kReadYourWrites,    ///< The same, and the session's writes.
};

/// A route: a name that callers connect to, with its guarantees and limits.
struct route_spec {
  std::string name;
  std::string service;
  consistency reads = consistency::kSession;
  /// Greatest age of the data read; unused for kSession and kPrimary.
  duration max_staleness{};
  /// Longest time for one statement; if zero, the service's deadline applies.
  duration statement_timeout{};
  /// Target time of the callers for a whole operation; zero if unknown.
  duration objective{};
  /// Priority of the route's requests; 0 is the highest.
  std::uint32_t priority = 0;
  /// True if callers need no key of a client account.
  bool is_public = false;

  bool operator==(const route_spec&) const = default;
};

/// A client account: its callers are identified by its keys and share its
/// limits. Keys are secrets; they appear in no log line, label or error.
struct client_account {
  std::string name;
  std::vector<std::string> keys;
  /// Operations per second, and operations above that rate, over all instances.
  /// Without a rate there is no limit. A rate of 0 allows the burst and no
  /// more.
  std::optional<double> operations_per_second;
  double burst = 0;

  account_id Id() const { return IdOf<account_id>(name); }
  bool operator==(const client_account&) const = default;
};

/// A catalogue: all services and routes at one revision. Revision 0 is empty.
struct catalogue {
  std::uint64_t revision = 0;
  /// Version of the operators' declarations: of the routes and accounts, and of
  /// the services without their endpoints. 0 if declarations have no version of
  /// their own.
  std::uint64_t declared_version = 0;
  std::map<std::string, service_spec, std::less<>> services;
  /// True if callers connect to routes; false if they name services.
  bool routed = false;
  std::map<std::string, route_spec, std::less<>> routes;
  /// True if callers are identified by the keys of accounts.
  bool accounts_in_use = false;
  std::map<std::string, client_account, std::less<>> accounts;
  /// Time after which an idle transaction may be ended; never if zero.
  duration idle_transaction_limit{};

  bool operator==(const catalogue&) const = default;
};

/// Returns the group of `service` that holds `tenant`: the pinned group, else
/// the one with the highest rendezvous-hash score. Returns null if the service
/// has no group, or if the pin names none.
const group_spec* GroupForTenant(const service_spec& service,
                                 std::string_view tenant);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CATALOGUE_CATALOGUE_H_
