// Virtual time, links and instances of randomised runs.

#include "world.h"

#include <algorithm>
#include <utility>

namespace marjoramslip::random_runs {

namespace {

constexpr node kFirstDatabase = 100;
constexpr duration kMembershipDelay = std::chrono::seconds(1);
constexpr std::size_t kDatabases = 3;

}  // namespace

world::world(const run_options& options)
    : simulation(options.seed, options.trace),
      options_(options),
      end_(now_ + options.length) {
  service_spec service;
  service.name = "ledger";
  service.ack = options_.ack;
  group_spec group;
  group.name = "ledger-1";
  for (std::size_t i = 0; i < kDatabases; ++i) {
    endpoint_spec spec;
    spec.name = "db-" + std::to_string(i);
    spec.host = "127.0.0.1";
    spec.port = static_cast<std::uint16_t>(5000 + i);
    spec.failure_domain = "zone-" + std::to_string(i);
    spec.connections = 30;
    group.endpoints.push_back(spec);
    databases_.emplace_back(spec.name, i == 0);
  }
  databases_made_ = kDatabases + 1;
  databases_.emplace_back("db-" + std::to_string(kDatabases));
  outages_.resize(databases_.size());
  spare_ = kDatabases;
  group_ = group.Id();
  service.groups.push_back(std::move(group));
  catalogue_.revision = 1;
  catalogue_.services.emplace(service.name, service);
  instances_.resize(options_.instances);
  callers_.resize(options_.callers);
}

world::~world() = default;

node world::InstanceNode(std::size_t index) const {
  return static_cast<node>(index);
}

node world::DatabaseNode(std::size_t index) const {
  return kFirstDatabase + static_cast<node>(index);
}

void world::StartInstance(std::size_t index) {
  instance& one = instances_[index];
  ++one.incarnation;
  core_options core;
  core.instance_name =
      "i" + std::to_string(index) + "-" + std::to_string(one.incarnation);
  core.failure_domain = "zone-" + std::to_string(index % kDatabases);
  core.process_seed = random_();
  if (options_.rule == left_out::kWait) {
    // A longer permit makes the missing wait show in fewer runs.
    core.permit = std::chrono::milliseconds(900);
    core.permit_wait = duration(0);
  }
  if (options_.rule == left_out::kTimeOfAsking) {
    core.permit = std::chrono::milliseconds(900);
    core.permit_wait = std::chrono::milliseconds(990);
    core.probe_timeout = std::chrono::milliseconds(900);
  }
  one.name = core.instance_name;
  one.core = std::make_unique<reducer>(core);
  one.alive = true;
  one.connections.clear();
  Give(index, catalogue_seen{catalogue_});
  At(kMembershipDelay, [this] {
    std::vector<member> members;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].alive) {
        members.push_back({IdOf<instance_id>(instances_[i].name),
                           instances_[i].name, "", "", false,
                           static_cast<std::uint32_t>(i)});
      }
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      Give(i, members_seen{members});
    }
  });
  TellRecord(index);
  const std::uint64_t incarnation = one.incarnation;
  // Ticks go on for as long as this incarnation lives.
  struct ticker {
    world* owner;
    std::size_t index;
    std::uint64_t incarnation;
    void operator()() const {
      const instance& mine = owner->instances_[index];
      if (mine.incarnation != incarnation || !mine.alive) {
        return;
      }
      owner->Give(index, tick{});
      const duration rest =
          std::max(duration(0), mine.paused_until - owner->now_);
      owner->At(rest + kTickInterval, *this);
    }
  };
  At(kTickInterval, ticker{this, index, incarnation});
}

void world::Give(std::size_t index, event what) {
  instance& one = instances_[index];
  if (!one.alive) {
    return;
  }
  if (now_ < one.paused_until) {
    const std::uint64_t incarnation = one.incarnation;
    At(one.paused_until - now_,
       [this, index, incarnation, what = std::move(what)]() mutable {
         if (instances_[index].incarnation == incarnation) {
           Give(index, std::move(what));
         }
       });
    return;
  }
  if (options_.rule == left_out::kTimeOfAsking) {
    if (auto* const answer = std::get_if<probe_answered>(&what)) {
      answer->sent_at = now_;
    }
  }
  effect_list effects;
  one.core->Apply(what, now_, effects);
  ++result_.events;
  for (effect& each : effects) {
    Carry(index, each);
  }
}

void world::Carry(std::size_t index, effect& what) {
  instance& one = instances_[index];
  const auto tell_peer = [&](const send_peer_message& message) {
    for (std::size_t to = 0; to < instances_.size(); ++to) {
      const bool meant =
          message.recipient == instance_id{} ||
          message.recipient == IdOf<instance_id>(instances_[to].name);
      if (to == index || !meant || Cut(InstanceNode(index), InstanceNode(to))) {
        continue;
      }
      At(Delay(), [this, to, from = IdOf<instance_id>(one.name),
                   body = message.message] {
        Give(to, peer_received{from, body});
      });
    }
  };
  const auto probe = [&](const probe_endpoint& asked) {
    const endpoint_id id = asked.endpoint;
    Control(
        index, id, asked.timeout,
        [this, id](std::size_t database, instant when) {
          return event(probe_answered{id, when, Reported(database)});
        },
        [id, fresh = asked.new_connection](instant when) {
          return event(probe_failed{id, when, fresh});
        });
  };
  const auto move = [&](const move_endpoint& asked) {
    const endpoint_id id = asked.endpoint;
    Control(
        index, id, std::chrono::milliseconds(250),
        [this, index, id, term = asked.term](std::size_t database,
                                             instant when) {
          databases_[database].Move(term);
          if (options_.rule == left_out::kMajority &&
              databases_[database].AtTerm(term)) {
            At(Delay(), [this, index, database, when] {
              PretendMoves(index, database, when);
            });
          }
          return event(endpoint_moved{id, when, Moved(database)});
        },
        nullptr);
  };
  const auto promote = [&](const promote_endpoint& asked) {
    const endpoint_id id = asked.endpoint;
    Control(
        index, id, std::chrono::milliseconds(250),
        [this, id, term = asked.term](std::size_t database, instant) {
          const bool accepted = databases_[database].Promote(term);
          return event(endpoint_promoted{id, Reported(database), accepted});
        },
        nullptr);
  };
  if (const auto* release = std::get_if<release_answer>(&what)) {
    OnRelease(*release);
  } else if (const auto* fail = std::get_if<fail_request>(&what)) {
    OnFail(*fail);
  } else if (const auto* open = std::get_if<open_connection>(&what)) {
    OpenConnection(index, *open);
  } else if (const auto* close = std::get_if<close_connection>(&what)) {
    one.connections.erase(close->connection);
  } else if (const auto* send = std::get_if<send_statement>(&what)) {
    SendStatement(index, *send);
  } else if (const auto* asked = std::get_if<probe_endpoint>(&what)) {
    probe(*asked);
  } else if (const auto* moved = std::get_if<move_endpoint>(&what)) {
    move(*moved);
  } else if (const auto* promoted = std::get_if<promote_endpoint>(&what)) {
    promote(*promoted);
  } else if (const auto* write = std::get_if<write_record>(&what)) {
    WriteRecord(index, *write);
  } else if (std::holds_alternative<read_record>(what)) {
    TellRecord(index);
  } else if (const auto* message = std::get_if<send_peer_message>(&what)) {
    tell_peer(*message);
  } else if (const auto* line = std::get_if<log_line>(&what)) {
    Trace(one.name + " " + line->event + " term " + std::to_string(line->term) +
          " " + line->text);
  } else if (const auto* counted = std::get_if<counter_increment>(&what)) {
    if (counted->counter_kind == counter::kInvariantViolations) {
      Violation("the reducer of " + one.name + " found an invariant broken");
    }
  } else if (const auto* wake = std::get_if<wake_at>(&what)) {
    At(std::max(duration(0), wake->when - now_),
       [this, index] { Give(index, tick{}); });
  }
}

run_result world::Run() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    StartInstance(i);
  }
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    At(std::chrono::seconds(1) + Delay(), [this, i] { NextStatement(i); });
  }
  Replicate();
  PollRecords();
  if (options_.faults) {
    At(std::chrono::seconds(2), [this] { NextFault(); });
  }
  constexpr duration kQuietEnd = std::chrono::seconds(10);
  At(end_ - now_, [this] { Heal(); });
  RunUntil(end_ + kQuietEnd, 5);
  FinalChecks();
  result_.violations = std::move(violations_);
  return std::move(result_);
}

}  // namespace marjoramslip::random_runs
