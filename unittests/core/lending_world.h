// Simulates several reducers that share one endpoint, over a network that
// loses, delays and reorders messages, with instances that pause.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_LENDING_WORLD_H_
#define MARJORAMSLIP_UNITTESTS_CORE_LENDING_WORLD_H_

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/core/reducer.h"

namespace marjoramslip {

/// Kinds and rates of injected faults.
struct lending_faults {
  std::uint64_t seed = 1;
  int loss_percent = 0;
  duration longest_delay{};
  duration longest_pause{};
  duration longest_statement = std::chrono::milliseconds(60);
};

/// Instances that lend each other connections to one endpoint.
class lending_world {
 public:
  static constexpr std::uint32_t kInstances = 3;
  static constexpr std::uint32_t kCallers = 8;
  static constexpr std::uint32_t kConnections = 12;

  explicit lending_world(const lending_faults& faults)
      : faults_(faults), random_(faults.seed) {
    for (std::uint32_t i = 0; i < kInstances; ++i) {
      core_options options;
      options.instance_name = Name(i);
      options.process_seed = i + 1;
      instances_.push_back(std::make_unique<instance>(options));
    }
    for (std::uint32_t i = 0; i < kInstances; ++i) {
      Start(i);
    }
  }

  /// Runs all instances. The callers of each instance alternate between phases
  /// of continuous load and of hardly any.
  void Run(duration length) {
    const instant end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      for (std::uint32_t i = 0; i < kInstances; ++i) {
        Step(i);
      }
    }
  }

  /// Most connections held by all instances at once, monitoring included.
  std::uint32_t max_connections = 0;
  std::uint32_t max_connections_of_one = 0;
  std::uint64_t violations = 0;
  std::uint64_t answers = 0;
  std::uint64_t failures = 0;
  std::uint64_t grants = 0;

 private:
  static constexpr duration kStep = std::chrono::milliseconds(5);
  /// Mean number of steps between two changes of an instance's load.
  static constexpr int kMeanStepsPerLoadPhase = 120;

  struct instance {
    explicit instance(const core_options& options) : core(options) {}

    reducer core;
    instant paused_until{};
    std::multimap<instant, event> inbox;
    bool busy = false;
    std::set<connection_id> held;
    std::set<caller_id> idle;
    std::uint64_t requests = 0;
    std::map<request_id, caller_id> callers;
  };

  static std::string Name(std::uint32_t i) { return "i" + std::to_string(i); }

  int RandomBelow(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(random_);
  }
  duration RandomDuration(duration longest) {
    return duration(std::uniform_int_distribution<std::int64_t>(
        0, longest.count())(random_));
  }

  void Start(std::uint32_t i) {
    endpoint_spec endpoint;
    endpoint.name = "a";
    endpoint.connections = kConnections;
    service_spec service;
    service.name = "ledger";
    service.ack = ack_policy::kPrimary;
    service.seats = kInstances;
    service.groups = {{"g", {endpoint}}};
    catalogue contents;
    contents.revision = 1;
    contents.services.emplace("ledger", service);
    ApplyEvent(i, catalogue_seen{contents});
    std::vector<member> members;
    for (std::uint32_t k = 0; k < kInstances; ++k) {
      members.push_back({.id = IdOf<instance_id>(Name(k)),
                         .name = Name(k),
                         .peer_address = {},
                         .failure_domain = {},
                         .leaving = false,
                         .seat = k});
    }
    ApplyEvent(i, members_seen{members});
    group_record record;
    record.term = 1;
    record.primary = endpoint.Id();
    record.forks = fork_history({{1, 0, 0}});
    record.witnesses = {endpoint.Id()};
    ApplyEvent(i, record_seen{IdOf<group_id>("g"), {record, 1}});
    for (std::uint64_t k = 1; k <= kCallers; ++k) {
      ApplyEvent(i, caller_opened{caller_id{k}, "ledger", "tenant"});
      instances_[i]->idle.insert(caller_id{k});
    }
  }

  void Step(std::uint32_t i) {
    instance& current = *instances_[i];
    if (now_ < current.paused_until) {
      return;
    }
    if (faults_.longest_pause > duration::zero() && RandomBelow(100) == 0) {
      current.paused_until = now_ + RandomDuration(faults_.longest_pause);
      return;
    }
    while (!current.inbox.empty() && current.inbox.begin()->first <= now_) {
      const event next = current.inbox.begin()->second;
      current.inbox.erase(current.inbox.begin());
      ApplyEvent(i, next);
    }
    ApplyEvent(i, tick{});
    if (RandomBelow(kMeanStepsPerLoadPhase) == 0) {
      current.busy = !current.busy;
    }
    const std::set<caller_id> idle = current.idle;
    for (const caller_id caller : idle) {
      if (current.busy || RandomBelow(500) == 0) {
        SendStatement(i, caller);
      }
    }
  }

  void SendStatement(std::uint32_t i, caller_id caller) {
    instance& current = *instances_[i];
    const request_id request{++current.requests};
    current.callers[request] = caller;
    current.idle.erase(caller);
    ApplyEvent(i,
               statement_received{caller,
                                  request,
                                  RandomBelow(2) == 0 ? statement_kind::kRead
                                                      : statement_kind::kWrite,
                                  {}});
  }

  void ApplyEvent(std::uint32_t i, const event& occurred) {
    effect_list effects;
    instances_[i]->core.Apply(occurred, now_, effects);
    for (effect& next : effects) {
      HandleEffect(i, next);
    }
    std::uint32_t total = 0;
    for (const auto& other : instances_) {
      const auto held = static_cast<std::uint32_t>(other->held.size()) + 1;
      total += held;
      max_connections_of_one = std::max(max_connections_of_one, held);
    }
    max_connections = std::max(max_connections, total);
  }

  void Schedule(std::uint32_t i, duration delay, const event& scheduled) {
    instances_[i]->inbox.emplace(now_ + delay, scheduled);
  }

  void HandleEffect(std::uint32_t i, effect& emitted) {
    instance& current = *instances_[i];
    const endpoint_state state{1, 1, 10, endpoint_role::kPrimary};
    if (const auto* open = std::get_if<open_connection>(&emitted)) {
      current.held.insert(open->connection);
      Schedule(i, kStep, connection_opened{open->connection, state});
    } else if (const auto* close = std::get_if<close_connection>(&emitted)) {
      current.held.erase(close->connection);
    } else if (const auto* send = std::get_if<send_statement>(&emitted)) {
      Schedule(i, RandomDuration(faults_.longest_statement),
               statement_answered{send->connection, send->request,
                                  answer_outcome::kSucceeded,
                                  transaction_status::kIdle, state});
    } else if (const auto* probe = std::get_if<probe_endpoint>(&emitted)) {
      Schedule(i, duration::zero(),
               probe_answered{probe->endpoint, now_, state});
    } else if (const auto* release = std::get_if<release_answer>(&emitted)) {
      ++answers;
      current.idle.insert(current.callers.at(release->request));
    } else if (const auto* fail = std::get_if<fail_request>(&emitted)) {
      ++failures;
      current.idle.insert(current.callers.at(fail->request));
    } else if (const auto* counted = std::get_if<counter_increment>(&emitted)) {
      violations +=
          counted->counter_kind == counter::kInvariantViolations ? 1 : 0;
    } else if (const auto* message = std::get_if<send_peer_message>(&emitted)) {
      DeliverMessage(i, *message);
    }
  }

  void DeliverMessage(std::uint32_t from, const send_peer_message& sent) {
    if (const auto* grant = std::get_if<loan_grant>(&sent.message)) {
      grants += grant->connections > 0 ? 1 : 0;
    }
    for (std::uint32_t i = 0; i < kInstances; ++i) {
      const bool addressed = sent.recipient == instance_id{} ||
                             sent.recipient == IdOf<instance_id>(Name(i));
      if (i != from && addressed && RandomBelow(100) >= faults_.loss_percent) {
        Schedule(i, RandomDuration(faults_.longest_delay),
                 peer_received{IdOf<instance_id>(Name(from)), sent.message});
      }
    }
  }

  const lending_faults faults_;
  std::mt19937_64 random_;
  instant now_{std::chrono::seconds(1)};
  std::vector<std::unique_ptr<instance>> instances_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_LENDING_WORLD_H_
