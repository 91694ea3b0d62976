// The whole state of the reducer, and the basic operations on it that all parts
// of the reducer use.

#ifndef MARJORAMSLIP_LIB_CORE_CORE_STATE_H_
#define MARJORAMSLIP_LIB_CORE_CORE_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "accounts/account_directory.h"
#include "accounts/limit_state.h"
#include "carriers.h"
#include "endpoint_pool.h"
#include "evidence_relay.h"
#include "group_terms.h"
#include "invariants.h"
#include "lag_estimate.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/core/options.h"
#include "membership.h"
#include "read_router.h"
#include "retry_budget.h"
#include "serving_lease.h"
#include "session_store.h"
#include "timer_queue.h"

namespace marjoramslip {

/// The stages of a request.
enum class request_stage : std::uint8_t {
  kNew,                 ///< Not routed, or between two other stages.
  kAwaitingTerm,        ///< Waits for an open term or the end of a backoff.
  kAwaitingSample,      ///< Waits for a sample of the primary's position.
  kAwaitingPosition,    ///< Waits for a replica to reach the floor.
  kAwaitingConnection,  ///< Queued for a connection to an endpoint.
  kSent,                ///< Waits for the endpoint's answer.
  kAwaitingRelease,  ///< Answered; waits for a permit and a replica's position.
  kForwarded,        ///< Waits for the answer of the group's carrier.
};

/// The state of one statement of one caller.
struct request_state {
  request_id id;
  caller_id caller;
  group_id group;
  account_id account;  ///< The account that it is served for; 0: none.
  statement_kind kind = statement_kind::kRead;
  statement_settings settings;
  request_stage stage = request_stage::kNew;
  instant arrived_at;
  instant deadline;
  /// An answer up to this time has its full value to the caller.
  instant objective;
  std::uint32_t priority = 0;  ///< As in route_spec.
  /// Maximum time at an endpoint without progress.
  duration progress_timeout{};
  std::optional<instant> timer;

  // State of reads.
  /// True if the read must see every acknowledged write, or if an endpoint
  /// reported that the statement writes.
  bool requires_primary = false;
  std::optional<log_point> floor;  ///< Floor after resolution.
  instant sample_since{};          ///< Key in group_state::awaiting_sample.
  std::optional<instant> position_wait_since;

  // State of sending.
  endpoint_id endpoint;
  connection_id connection;
  term_number term = 0;
  std::uint64_t queue_ticket = 0;  ///< Key in the endpoint's queue.
  instant queued_at{};             ///< When it entered that queue.
  instant sent_at{};
  /// When it was sent or part of its answer was last forwarded.
  instant progressed_at{};
  /// True if the answer waits for the caller to read. The endpoint is then not
  /// considered unresponsive.
  bool blocked_on_caller = false;
  bool in_transaction = false;   ///< Sent within an open transaction.
  log_point served_from;         ///< The endpoint's position when it was sent.
  bool sent_to_primary = false;  ///< Sent to the primary of its term.
  std::uint32_t attempts = 0;
  bool outcome_unknown = false;  ///< An earlier attempt may have taken effect.
  instant retry_not_before{};

  /// The right to send it under its account's limit; empty within transactions
  /// and for accounts without a limit.
  std::optional<operation_token> token;
  // State of forwarding.
  bool carried = false;  ///< Another instance forwarded it to this one.
  instance_id carrier;   ///< To which it was forwarded last.
  std::uint64_t forward_attempt = 0;
  std::vector<instance_id> tried_carriers;
  bool carrier_silent = false;  ///< No reaction since it was forwarded.

  // State of release.
  log_point answer_point;
  instant answered_at{};         ///< When the wait for release began.
  log_position release_key = 0;  ///< Key in group_state::awaiting_release.
  bool is_write = false;         ///< Acknowledged as a write.
};

/// The settings of a caller's route that apply to its statements.
struct route_settings {
  consistency reads = consistency::kSession;
  duration max_staleness{};
  duration statement_timeout{};  ///< Zero: the service's deadline applies.
  duration objective{};          ///< Zero: the deadline is the objective.
  bool is_public = false;        ///< Callers need no key of an account.
  std::uint32_t priority = 0;    ///< As in route_spec.
};

/// The state of a caller's connection.
struct caller_state {
  caller_id id;
  std::string service;
  std::string tenant;
  /// Number of the catalogue by which `group` was found; 0: not found.
  std::uint64_t resolved_in = 0;
  std::string key;           ///< As in caller_opened.
  bool key_refused = false;  ///< As last told by caller_key_changed.
  account_id account;        ///< The account that holds the key; 0: none.
  route_settings route;
  group_id group;
  request_id current_request;  ///< 0: none in progress.
  /// Floor of the caller's implicit session, in group `own_floor_group`.
  session_floor own_floor;
  group_id own_floor_group;
  connection_id pinned;   ///< Connection of its open transaction; 0: none.
  group_id pinned_group;  ///< Group of its open transaction.
  /// Instance that carries its open transaction; 0: none, or this one does.
  instance_id pinned_carrier;
  bool forwarded = false;         ///< As in caller_opened.
  bool transaction_lost = false;  ///< Reset when it ends the transaction.
};

/// Whether this instance may use the primary of a group.
enum class serving_phase : std::uint8_t {
  kServing,
  kPaused,     ///< The serving lease has expired; its renewal is awaited.
  kSuspended,  ///< It was not renewed in time; requests are refused.
};

/// The state of one group: its terms and the requests that wait on it.
struct group_state {
  group_state(const core_options& options, const service_spec& service,
              const group_spec& group)
      : terms(options, service, group), name(group.name) {}

  group_terms terms;
  std::string name;
  lag_estimate lag;
  std::set<endpoint_id> lagging_replicas;  ///< Replicas logged as far behind.
  retry_budget retries;
  evidence_relay relay;
  std::uint32_t request_count = 0;      ///< Requests in any stage.
  std::uint32_t open_transactions = 0;  ///< Open transactions.
  /// Requests in flight, awaiting release or forwarded.
  std::uint32_t sent_requests = 0;
  std::uint32_t forwarded_requests = 0;
  /// The instances that hold the group's connections; empty: each instance
  /// does.
  std::vector<carrier> carriers;
  /// The load of the group's carriers, as far as this instance knows.
  std::map<instance_id, carrier_use> carrier_uses;
  bool carriers_changed = false;  ///< Since requests were last rerouted.
  bool withdrawn = false;
  bool dirty = false;  ///< Listed in core_state::dirty_groups.
  std::optional<instant> timer;
  instant last_used_at{};  ///< When its terms were last needed.
  /// Pools of its endpoints, including removed ones.
  std::set<endpoint_id> pool_ids;

  std::set<std::pair<instant, request_id>> awaiting_sample;
  std::set<std::pair<log_position, request_id>> awaiting_position;
  std::set<std::pair<log_position, request_id>> awaiting_release;
  std::set<request_id> awaiting_term;

  // The state to which the group last reacted, and times of its requests.
  std::uint64_t seen_revision = 0;
  term_number seen_term = 0;
  serving_phase seen_phase = serving_phase::kServing;
  instant next_switch_request{};
  instant next_renewal{};
  /// When a sample was last requested.
  instant sample_requested_at{};
};

/// A statement that arrived before the first catalogue.
struct early_statement {
  statement_received statement;
  instant arrived_at;
};

/// Factor that separates the ids of loans, of requests for evidence and of
/// requests for the serving lease of successive starts of an instance.
inline constexpr std::uint64_t kIdStride = 0x9e3779b97f4a7c15;

/// The whole state of the instance.
struct core_state {
  explicit core_state(const core_options& settings)
      : options(settings),
        self(IdOf<instance_id>(settings.instance_name)),
        members(self),
        lease(options, settings.process_seed * kIdStride),
        next_attempt(settings.process_seed * kIdStride),
        sessions(settings.session_limit),
        next_loan(settings.process_seed * kIdStride),
        next_ticket(settings.process_seed * kIdStride),
        limits(self, settings.process_seed * kIdStride, settings.process_seed),
        random(settings.process_seed) {}

  const core_options options;
  const instance_id self;

  // State of the step in progress. A step is the handling of one event.
  instant now{};
  instant started_at{};  ///< Time of the first step.
  effect_list* effects = nullptr;
  std::vector<group_id> dirty_groups;

  // State that lasts between steps.
  catalogue applied_catalogue;
  std::uint64_t catalogues_applied = 0;
  account_directory accounts;           ///< Of `applied_catalogue`.
  std::vector<shared_key> shared_keys;  ///< As last logged.
  /// Callers to be closed at the end of the step: their keys are withdrawn.
  std::vector<caller_id> unidentified_callers;
  instant next_gossip{};
  membership members;
  instant members_requested_at{};  ///< `members` is no older than this.
  /// When the list of members was first read; empty before that.
  std::optional<instant> members_known_since;
  serving_lease lease;
  bool is_serving = false;  ///< The last state of the lease that was logged.
  instant next_serving_request{};
  std::size_t next_asked_peer = 0;
  bool store_reachable = false;
  /// What is known of the carriers that this instance has used.
  std::map<instance_id, carrier_health> carrier_states;
  std::uint64_t next_attempt;  ///< Of a forwarded statement.
  duty_seen duty;
  session_store sessions;
  std::map<group_id, std::unique_ptr<group_state>> groups;
  std::unordered_map<endpoint_id, endpoint_pool> pools;
  std::unordered_map<connection_id, connection_state> connections;
  std::uint64_t next_connection = 1;
  std::uint64_t next_loan;
  std::uint64_t next_ticket;  ///< Of the next request for evidence.
  limit_state limits;
  std::unordered_map<caller_id, caller_state> callers;
  std::unordered_map<request_id, request_state> requests;
  std::vector<early_statement> early_statements;
  std::optional<instant> early_timer;
  /// Spreads retry times and choices of replicas. The same seed and events give
  /// the same numbers.
  std::mt19937_64 random;
  timer_queue timers;
  invariants invariant_checks;
  std::optional<instant> next_wake;

  // Shutdown.
  bool draining = false;
  bool drained = false;
  instant drain_deadline{};
  /// Time up to which open transactions may continue.
  instant transactions_deadline{};
  std::vector<caller_id> ended_while_draining;
  std::uint32_t open_transactions = 0;  ///< Callers in a transaction.

  /// Scratch buffer for routing; empty between steps.
  std::vector<read_candidate> read_candidates;

  template <typename effect_type>
  void Emit(effect_type value) {
    effects->push_back(std::move(value));
  }
  void Count(counter counter_kind, group_id group = {},
             std::uint64_t amount = 1) {
    Emit(counter_increment{counter_kind, amount, group});
  }
  void Log(log_level level, std::string name, std::string text,
           group_id group = {}, endpoint_id endpoint = {});
  bool Check(bool holds, std::string_view description,
             request_id request = {}) {
    return invariant_checks.Check(holds, description, request, *effects);
  }

  /// These lookups return null if the id is unknown.
  group_state* Group(group_id id);
  endpoint_pool* Pool(endpoint_id id);
  connection_state* Connection(connection_id id);
  caller_state* Caller(caller_id id);
  request_state* Request(request_id id);

  /// Marks a group to be settled at the end of the step.
  void MarkDirty(group_state& group);
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_CORE_STATE_H_
