// Simulates instances that forward statements to carriers, before endpoints
// that accept few connections.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_CARRIER_WORLD_H_
#define MARJORAMSLIP_UNITTESTS_CORE_CARRIER_WORLD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/core/reducer.h"
#include "marjoramslip/core/sqlstates.h"

namespace marjoramslip {

/// The simulated deployment: a group of three endpoints before instances in
/// three failure domains.
struct carrier_load {
  std::uint64_t seed = 1;
  std::uint32_t connections = 46;  ///< That each endpoint accepts.
  std::size_t slots = 4;
  std::uint32_t callers = 2;  ///< Of each instance, one statement at a time.
  duration pause = std::chrono::milliseconds(300);  ///< Longest, of a caller.
  duration work = std::chrono::milliseconds(4);     ///< Of a statement.
};

/// Runs reducers, endpoints, links between instances and the store in virtual
/// time. The links follow lib/forwarding.
class carrier_world {
 public:
  explicit carrier_world(const carrier_load& load)
      : load_(load), random_(load.seed), endpoints_(3) {
    for (endpoint& each : endpoints_) {
      each.free_at.resize(load.slots);
    }
  }

  /// Adds an instance that starts after `delay`.
  void AddInstance(duration delay = {}) {
    const std::size_t i = instances_.size();
    core_options options;
    options.instance_name = Name(i);
    options.failure_domain = kDomains[i % 3];
    options.process_seed = i + 1;
    options.forwarding = true;
    instances_.push_back(std::make_unique<instance>(options));
    At(delay, [this, i] { Start(i); });
  }
  /// Has an instance end in an orderly way.
  void Drain(std::size_t i) { Apply(i, drain_requested{}); }
  /// Occupies connections of all endpoints for a time, as those of instances
  /// that lost power do.
  void OccupyConnections(std::uint32_t count, duration length) {
    for (endpoint& each : endpoints_) {
      each.held += count;
      At(length, [&each, count] { each.held -= count; });
    }
  }

  void Run(duration length) {
    const instant end = now_ + length;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      now_ = tasks_.begin()->first;
      const std::function<void()> task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
    now_ = end;
  }

  /// Instances through which no statement was served since `since`.
  std::size_t Unserved(instant since) const {
    return static_cast<std::size_t>(std::count_if(
        instances_.begin(), instances_.end(), [since](const auto& each) {
          return !each->is_drained && each->served_at < since;
        }));
  }
  /// When an instance was first served; far in the future if it was not.
  instant FirstServed(std::size_t i) const {
    return instances_[i]->first_served_at;
  }
  bool IsDrained(std::size_t i) const { return instances_[i]->is_drained; }
  instant Now() const { return now_; }
  /// Returns the instances that carry the group, in the view of one of them.
  std::size_t CarrierOf(std::size_t viewer) const {
    return NumberOf(instances_[viewer]->last_carrier);
  }

  std::uint32_t most_held = 0;  ///< Connections of one endpoint at once.
  std::uint64_t refused_connections = 0;
  std::uint64_t opened_connections = 0;
  std::uint64_t forwards = 0;
  std::uint64_t served = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost_transactions = 0;
  std::uint64_t violations = 0;
  /// Texts of the failures, with their numbers.
  std::map<std::string, int> reasons;

 private:
  static constexpr const char* kDomains[] = {"east", "west", "north"};
  static constexpr duration kInside = std::chrono::microseconds(200);
  static constexpr duration kBetween = std::chrono::microseconds(4500);
  static constexpr duration kStoreDelay = std::chrono::milliseconds(4);
  /// Longest pause between two answers of the watch of the store.
  static constexpr duration kLongestPoll = std::chrono::milliseconds(800);
  static constexpr duration kRenewal = std::chrono::milliseconds(600);
  /// Time of a slot for a new connection, and for a probe.
  static constexpr duration kConnectWork = std::chrono::milliseconds(12);
  static constexpr duration kProbeWork = std::chrono::milliseconds(1);
  static constexpr duration kMonitorIdle = std::chrono::milliseconds(400);
  static constexpr std::uint64_t kCarriedBit = std::uint64_t{1} << 63U;

  struct endpoint {
    std::uint32_t held = 0;
    std::vector<instant> free_at;
  };
  struct monitor {
    bool open = false;
    instant used_at{};
  };
  struct carried {
    std::size_t origin = 0;
    caller_id origin_caller;
    forward_statement statement;
    request_id request;  ///< 0 between the statements of a transaction.
    transaction_status status = transaction_status::kIdle;
  };
  struct caller {
    std::vector<statement_kind> left;  ///< Of its operation, last one first.
    request_id request;
  };
  struct instance {
    explicit instance(const core_options& options)
        : core(options), domain(options.failure_domain) {}
    reducer core;
    std::string domain;
    bool started = false;
    bool is_drained = false;
    instant announced_at{};
    std::map<connection_id, std::size_t> held;  ///< Endpoints, by connection.
    std::map<std::size_t, monitor> monitors;
    std::map<caller_id, caller> callers;
    std::map<caller_id, carried> carried_callers;
    std::map<std::pair<std::size_t, caller_id>, caller_id> origins;
    std::set<connection_id> in_transaction;
    std::map<request_id, statement_kind> kinds;  ///< Of its own callers.
    std::uint64_t last_id = 0;
    std::size_t listed = 0;
    instance_id last_carrier;
    instant served_at{};
    instant first_served_at = instant::max();
  };

  static std::string Name(std::size_t i) {
    return "instance-" + std::to_string(i);
  }
  std::size_t NumberOf(instance_id id) const {
    std::size_t i = 0;
    while (i < instances_.size() && IdOf<instance_id>(Name(i)) != id) {
      ++i;
    }
    return i;
  }
  static std::size_t EndpointOf(endpoint_id id) {
    return id == IdOf<endpoint_id>("a")   ? 0
           : id == IdOf<endpoint_id>("b") ? 1
                                          : 2;
  }
  static endpoint_state StateOf(std::size_t number, bool complete) {
    endpoint_state state{
        1, 1, 10,
        number == 0 ? endpoint_role::kPrimary : endpoint_role::kReplica};
    state.complete = complete;
    state.term = complete ? 1 : 0;
    return state;
  }
  duration Upto(duration longest) {
    return duration(std::uniform_int_distribution<std::int64_t>(
        0, longest.count())(random_));
  }
  void At(duration delay, std::function<void()> task) {
    tasks_.emplace(now_ + delay, std::move(task));
  }
  duration Way(std::size_t i, std::size_t k) const {
    return instances_[i]->domain == instances_[k]->domain ? kInside : kBetween;
  }

  void Start(std::size_t i) {
    instances_[i]->started = true;
    Tick(i);
    At(kStoreDelay, [this, i] {
      Apply(i, catalogue_seen{Contents()});
      group_record record;
      record.term = 1;
      record.primary = IdOf<endpoint_id>("a");
      record.forks = fork_history({{1, 0, 0}});
      record.witnesses = {IdOf<endpoint_id>("a"), IdOf<endpoint_id>("b"),
                          IdOf<endpoint_id>("c")};
      Apply(i, record_seen{IdOf<group_id>("g"), {record, 1}});
      Apply(i, records_read{now_});
      instances_[i]->announced_at = now_;
      listed_.push_back(i);
      Poll(i);
      Renew(i);
      for (std::uint32_t k = 1; k <= load_.callers; ++k) {
        const caller_id id{k};
        Apply(i, caller_opened{id, k % 3 == 0 ? "ledger" : "fresh", "tenant"});
        At(Upto(load_.pause), [this, i, id] { Operate(i, id); });
      }
    });
  }

  catalogue Contents() const {
    service_spec service;
    service.name = "ledger";
    service.ack = ack_policy::kPrimary;
    service.term_bound = false;
    group_spec group;
    group.name = "g";
    for (const char* name : {"a", "b", "c"}) {
      endpoint_spec spec;
      spec.name = name;
      spec.connections = load_.connections;
      spec.slots = static_cast<std::uint32_t>(load_.slots);
      group.endpoints.push_back(spec);
    }
    service.groups = {group};
    catalogue contents;
    contents.routed = true;
    for (const auto& [name, reads] :
         {std::pair("fresh", consistency::kPrimary),
          std::pair("ledger", consistency::kReadYourWrites)}) {
      route_spec route;
      route.name = name;
      route.service = "ledger";
      route.reads = reads;
      route.max_staleness = std::chrono::seconds(2);
      route.statement_timeout = std::chrono::milliseconds(800);
      contents.routes.emplace(name, route);
    }
    contents.revision = 1;
    contents.services.emplace("ledger", service);
    return contents;
  }

  void Tick(std::size_t i) {
    Apply(i, tick{});
    At(kTickInterval, [this, i] { Tick(i); });
  }
  /// Shows the list if it has changed. Later changes follow after a pause.
  void Poll(std::size_t i) {
    if (instances_[i]->listed != listed_.size() + 1 + changes_) {
      instances_[i]->listed = listed_.size() + 1 + changes_;
      SendList(i);
    }
    At(std::chrono::milliseconds(50) + Upto(kLongestPoll),
       [this, i] { Poll(i); });
  }
  void SendList(std::size_t i) {
    members_seen seen;
    seen.requested_at = now_;
    for (const std::size_t k : listed_) {
      seen.members.push_back({.id = IdOf<instance_id>(Name(k)),
                              .name = Name(k),
                              .peer_address = {},
                              .failure_domain = instances_[k]->domain,
                              .leaving = false,
                              .seat = static_cast<std::uint32_t>(k),
                              .lease = k + 1,
                              .forwarding_address = "127.0.0.1:1",
                              .processor_share = k % 14 == 0 ? 500U : 120U});
    }
    At(kStoreDelay, [this, i, seen] { Apply(i, seen); });
  }
  void Renew(std::size_t i) {
    Apply(i, membership_renewed{now_, instances_[i]->announced_at});
    At(kRenewal, [this, i] { Renew(i); });
  }

  void Operate(std::size_t i, caller_id id) {
    caller& one = instances_[i]->callers[id];
    switch (std::uniform_int_distribution<int>(0, 3)(random_)) {
      case 0:
        one.left = {statement_kind::kCommit, statement_kind::kWrite,
                    statement_kind::kBegin};
        break;
      case 1:
        one.left = {statement_kind::kWrite};
        break;
      default:
        one.left = {statement_kind::kRead};
        break;
    }
    SendNext(i, id);
  }
  void SendNext(std::size_t i, caller_id id) {
    instance& at = *instances_[i];
    caller& one = at.callers[id];
    const statement_kind kind = one.left.back();
    one.left.pop_back();
    one.request = request_id{++at.last_id};
    at.kinds.insert_or_assign(one.request, kind);
    Apply(i, statement_received{id, one.request, kind, {}});
  }
  void EndStatement(std::size_t i, caller_id id, bool succeeded) {
    caller& one = instances_[i]->callers[id];
    if (!succeeded && one.left.size() == 1 &&
        one.left.front() == statement_kind::kCommit) {
      one.left = {statement_kind::kRollback};
    } else if (!succeeded) {
      one.left.clear();
    }
    if (one.left.empty()) {
      At(Upto(load_.pause), [this, i, id] { Operate(i, id); });
    } else {
      At(Upto(std::chrono::milliseconds(5)),
         [this, i, id] { SendNext(i, id); });
    }
  }

  void Apply(std::size_t i, const event& occurred) {
    instance& at = *instances_[i];
    effect_list effects;
    at.core.Apply(occurred, now_, effects);
    for (effect& emitted : effects) {
      Execute(i, emitted);
    }
  }

  /// Calls `done` when a slot of the endpoint has done some work.
  void Work(std::size_t number, duration work, std::function<void()> done) {
    std::vector<instant>& slots = endpoints_[number].free_at;
    instant& first = *std::min_element(slots.begin(), slots.end());
    first = std::max(first, now_ + kInside) + work;
    tasks_.emplace(first + kInside, std::move(done));
  }
  /// Takes a connection; false if the endpoint is at its limit.
  bool Hold(std::size_t number) {
    endpoint& at = endpoints_[number];
    if (at.held >= load_.connections) {
      ++refused_connections;
      return false;
    }
    ++opened_connections;
    most_held = std::max(most_held, ++at.held);
    return true;
  }

  void Open(std::size_t i, const open_connection& what) {
    const std::size_t number = EndpointOf(what.endpoint);
    const connection_id id = what.connection;
    if (!Hold(number)) {
      At(2 * kInside, [this, i, id] {
        Apply(i, connection_refused{id, true, "limit"});
      });
      return;
    }
    instances_[i]->held.emplace(id, number);
    Work(number, kConnectWork, [this, i, id, number] {
      Apply(i, connection_opened{id, StateOf(number, false)});
    });
  }
  void Close(std::size_t i, connection_id id) {
    const auto node = instances_[i]->held.extract(id);
    if (!node.empty()) {
      At(kInside,
         [this, number = node.mapped()] { --endpoints_[number].held; });
    }
  }
  void Probe(std::size_t i, const probe_endpoint& what) {
    const std::size_t number = EndpointOf(what.endpoint);
    monitor& own = instances_[i]->monitors[number];
    const instant sent_at = now_;
    duration work = kProbeWork;
    if (!own.open) {
      if (!Hold(number)) {
        At(2 * kInside, [this, i, id = what.endpoint, sent_at] {
          Apply(i,
                probe_failed{
                    .endpoint = id, .sent_at = sent_at, .limit_reached = true});
        });
        return;
      }
      own.open = true;
      work += kConnectWork;
    }
    own.used_at = now_;
    Work(number, work, [this, i, id = what.endpoint, number, sent_at] {
      Apply(i, probe_answered{id, sent_at, StateOf(number, true)});
    });
    At(kMonitorIdle, [this, i, number] {
      monitor& idle = instances_[i]->monitors[number];
      if (idle.open && now_ - idle.used_at >= kMonitorIdle) {
        idle.open = false;
        --endpoints_[number].held;
      }
    });
  }

  void Send(std::size_t i, const send_statement& what) {
    instance& at = *instances_[i];
    const std::size_t number = at.held.at(what.connection);
    const statement_kind kind = KindOf(i, what.request);
    if (kind == statement_kind::kBegin) {
      at.in_transaction.insert(what.connection);
    } else if (kind == statement_kind::kCommit ||
               kind == statement_kind::kRollback) {
      at.in_transaction.erase(what.connection);
    }
    const transaction_status status =
        at.in_transaction.contains(what.connection) ? transaction_status::kOpen
                                                    : transaction_status::kIdle;
    Work(number, load_.work, [this, i, what, number, status] {
      if (!instances_[i]->held.contains(what.connection)) {
        return;
      }
      if (carried* const forwarded = FindCarried(i, what.request)) {
        forwarded->status = status;
      }
      Apply(i, statement_answered{what.connection, what.request,
                                  answer_outcome::kSucceeded, status,
                                  StateOf(number, false)});
    });
  }
  statement_kind KindOf(std::size_t i, request_id request) {
    const carried* const forwarded = FindCarried(i, request);
    return forwarded != nullptr ? forwarded->statement.kind
                                : instances_[i]->kinds.at(request);
  }

  // Links between instances, as in lib/forwarding.

  carried* FindCarried(std::size_t i, request_id request) {
    for (auto& [id, each] : instances_[i]->carried_callers) {
      if (each.request == request && request != request_id{}) {
        return &each;
      }
    }
    return nullptr;
  }
  void Forward(std::size_t i, const forward_statement& what) {
    ++forwards;
    instances_[i]->last_carrier = what.carrier;
    const std::size_t k = NumberOf(what.carrier);
    At(Way(i, k), [this, i, k, what] { Receive(i, k, what); });
  }
  void Receive(std::size_t origin, std::size_t i,
               const forward_statement& what) {
    instance& at = *instances_[i];
    if (at.is_drained) {
      Answer(i, origin, what, ShutdownFailure());
      return;
    }
    const auto known = at.origins.find({origin, what.caller});
    if (what.in_transaction && known == at.origins.end()) {
      Answer(i, origin, what,
             failure{verdict::kNotRun, sqlstate::kTransactionLost, "lost"});
      return;
    }
    caller_id id;
    if (what.in_transaction) {
      id = known->second;
    } else {
      if (known != at.origins.end()) {
        EndCarried(i, known->second);
      }
      id = caller_id{kCarriedBit | ++at.last_id};
      at.origins[{origin, what.caller}] = id;
      at.carried_callers[id] = {.origin = origin,
                                .origin_caller = what.caller,
                                .statement = {},
                                .request = {}};
      Apply(i, caller_opened{.caller = id,
                             .service = what.service,
                             .tenant = what.tenant,
                             .key = {},
                             .forwarded = true});
    }
    const auto found = at.carried_callers.find(id);
    if (found == at.carried_callers.end()) {
      Answer(i, origin, what, ShutdownFailure());
      return;
    }
    found->second.statement = what;
    found->second.request = request_id{kCarriedBit | ++at.last_id};
    statement_received received{.caller = id,
                                .request = found->second.request,
                                .kind = what.kind,
                                .settings = {}};
    received.settings.token = what.floor;
    received.time_left = what.time_left;
    received.continues_transaction = what.in_transaction;
    Apply(i, received);
  }
  /// Sends the answer to a forwarded statement; a refusal, if there is one.
  void Answer(std::size_t i, std::size_t origin, const forward_statement& what,
              std::optional<failure> refusal,
              transaction_status status = transaction_status::kIdle,
              log_point floor = {},
              std::optional<std::uint32_t> load = std::nullopt) {
    const bool succeeded = !refusal.has_value();
    At(Way(i, origin), [this, i, origin, what, refusal = std::move(refusal),
                        succeeded, status, floor, load] {
      Apply(origin, forward_answered{.request = what.request,
                                     .attempt = what.attempt,
                                     .carrier = IdOf<instance_id>(Name(i)),
                                     .refusal = refusal,
                                     .succeeded = succeeded,
                                     .transaction = status,
                                     .floor = floor,
                                     .load = load});
    });
  }
  void EndCarried(std::size_t i, caller_id id) {
    instance& at = *instances_[i];
    const auto found = at.carried_callers.find(id);
    if (found != at.carried_callers.end()) {
      at.origins.erase({found->second.origin, found->second.origin_caller});
      at.carried_callers.erase(found);
      At({}, [this, i, id] { Apply(i, caller_closed{id}); });
    }
  }
  void RefuseCarried(std::size_t i, caller_id id, const failure& reason) {
    const auto found = instances_[i]->carried_callers.find(id);
    if (found != instances_[i]->carried_callers.end()) {
      const carried forwarded = found->second;
      EndCarried(i, id);
      if (forwarded.request != request_id{}) {
        Answer(i, forwarded.origin, forwarded.statement, reason);
      }
    }
  }

  void Execute(std::size_t i, effect& emitted) {
    instance& at = *instances_[i];
    if (auto* released = std::get_if<release_answer>(&emitted)) {
      if ((released->caller.value & kCarriedBit) == 0) {
        ++served;
        at.served_at = now_;
        at.first_served_at = std::min(at.first_served_at, now_);
        EndStatement(i, released->caller, true);
      } else if (carried* one = FindCarried(i, released->request)) {
        one->request = {};
        const carried answered = *one;
        Answer(i, answered.origin, answered.statement, std::nullopt,
               answered.status, released->floor, released->load);
        if (answered.status == transaction_status::kIdle) {
          EndCarried(i, released->caller);
        }
      }
    } else if (auto* failed = std::get_if<fail_request>(&emitted)) {
      if ((failed->caller.value & kCarriedBit) != 0) {
        RefuseCarried(i, failed->caller, failed->reason);
        return;
      }
      ++reasons[failed->reason.sqlstate + " " + failed->reason.message];
      ++(failed->reason.effect == verdict::kNotRun ? not_run : unknown);
      lost_transactions +=
          failed->reason.sqlstate == sqlstate::kTransactionLost ? 1 : 0;
      EndStatement(i, failed->caller, false);
    } else if (auto* closed = std::get_if<close_caller>(&emitted)) {
      RefuseCarried(i, closed->caller, closed->reason);
    } else if (auto* open = std::get_if<open_connection>(&emitted)) {
      At({}, [this, i, what = *open] { Open(i, what); });
    } else if (auto* close = std::get_if<close_connection>(&emitted)) {
      At({}, [this, i, id = close->connection] { Close(i, id); });
    } else if (auto* send = std::get_if<send_statement>(&emitted)) {
      Send(i, *send);
    } else if (auto* forward = std::get_if<forward_statement>(&emitted)) {
      Forward(i, *forward);
    } else if (auto* ended = std::get_if<end_forwarded_caller>(&emitted)) {
      const std::size_t k = NumberOf(ended->carrier);
      At(Way(i, k), [this, i, k, id = ended->caller] {
        const auto known = instances_[k]->origins.find({i, id});
        if (known != instances_[k]->origins.end()) {
          EndCarried(k, known->second);
        }
      });
    } else if (auto* probe = std::get_if<probe_endpoint>(&emitted)) {
      At({}, [this, i, what = *probe] { Probe(i, what); });
    } else if (std::holds_alternative<read_members>(emitted)) {
      SendList(i);
    } else if (auto* message = std::get_if<send_peer_message>(&emitted)) {
      Deliver(i, *message);
    } else if (auto* counted = std::get_if<counter_increment>(&emitted)) {
      violations +=
          counted->counter_kind == counter::kInvariantViolations ? 1 : 0;
    } else if (std::holds_alternative<drained>(emitted)) {
      at.is_drained = true;
      std::erase(listed_, i);
      ++changes_;
    }
  }
  void Deliver(std::size_t i, const send_peer_message& sent) {
    for (std::size_t k = 0; k < instances_.size(); ++k) {
      const bool addressed = sent.recipient == instance_id{} ||
                             sent.recipient == IdOf<instance_id>(Name(k));
      if (k != i && addressed && instances_[k]->started) {
        At(Way(i, k), [this, i, k, message = sent.message] {
          Apply(k, peer_received{IdOf<instance_id>(Name(i)), message});
        });
      }
    }
  }

  const carrier_load load_;
  std::mt19937_64 random_;
  instant now_{std::chrono::seconds(100)};
  std::multimap<instant, std::function<void()>> tasks_;
  std::vector<endpoint> endpoints_;
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<std::size_t> listed_;  ///< Of the store's list, in order.
  std::size_t changes_ = 0;          ///< Entries that were withdrawn.
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_CARRIER_WORLD_H_
