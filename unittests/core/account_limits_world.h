// Simulates instances that share the limit of accounts over a network that
// loses, delays and reorders messages, with a store that fails or refuses.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_LIMITS_WORLD_H_
#define MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_LIMITS_WORLD_H_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "accounts/limit_control.h"
#include "accounts/limit_home.h"
#include "apply_catalogue.h"
#include "callers.h"
#include "core_state.h"
#include "peers.h"
#include "requests.h"
#include "serving.h"

namespace marjoramslip {

/// An account and its demand.
struct simulated_account {
  std::string name;
  account_limit limit;
  double demand = 0;        ///< Operations per second.
  std::uint32_t sites = 0;  ///< Instances that its callers use; uneven use.
};

/// Rates of injected faults.
struct limit_faults {
  std::uint64_t seed = 1;
  int loss_percent = 0;  ///< Of messages; as many are repeated.
  duration longest_delay = std::chrono::milliseconds(1);
  duration longest_queue{};  ///< Of a statement that waits for a connection.
  /// Mean time between two faults, of each kind that `kinds` allows.
  duration mean_between_faults{};
  bool pauses = false;
  bool restarts = false;
  bool refusals = false;  ///< The store refuses some instances.
  bool cuts = false;      ///< One instance is cut off from all others.
  bool changes = false;   ///< Instances end, and others are added.
  bool leaves = false;    ///< Instances end in order.
  /// A promoter ends memberships of instances that are cut off, and that are
  /// not listed again within 3 s.
  bool ends = false;
};

/// Runs the reducer's parts that limits use, over one core_state an instance.
class account_limits_world {
 public:
  account_limits_world(std::uint32_t instances,
                       std::vector<simulated_account> accounts,
                       const limit_faults& faults)
      : accounts_(std::move(accounts)), faults_(faults), random_(faults.seed) {
    for (std::uint32_t i = 0; i < instances; ++i) {
      AddInstance();
    }
    for (const simulated_account& account : accounts_) {
      results_[account.name];
    }
  }

  struct outcome {
    std::vector<instant> runs;  ///< When operations were sent.
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
  };

  void Run(duration length) {
    const instant end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      InjectFaults();
      ExpireEntries();
      for (std::uint32_t i = 0; i < processes_.size(); ++i) {
        Step(i);
      }
      FollowHomes();
      for (const simulated_account& account : accounts_) {
        StartOperations(account);
      }
    }
  }

  void ClearResults() {
    for (auto& [name, result] : results_) {
      result = {};
    }
    longest_gap_ = {};
  }

  /// Makes the store unreachable for all instances.
  void EndStore(duration length) { store_down_until_ = now_ + length; }
  void RefuseByStore(std::uint32_t i, duration length) {
    processes_[i]->refused_until = now_ + length;
  }
  /// Restarts all instances, each after up to `spread`.
  void RestartAll(duration spread = {}) {
    for (const auto& restarted : processes_) {
      restarted->ended = true;
      restarted->starts_at = now_ + Upto(spread);
    }
  }
  /// Ends the process of an instance without notice and starts another one
  /// after `delay`; empty: never.
  void Crash(std::uint32_t i, std::optional<duration> delay) {
    processes_[i]->ended = true;
    if (delay.has_value()) {
      processes_[i]->starts_at = now_ + *delay;
    }
  }
  /// Shuts an instance down in order.
  void Leave(std::uint32_t i) { StartLeaving(*processes_[i]); }
  /// Returns the instance that acts for a shard; empty if there is none.
  std::optional<std::uint32_t> HomeOf(std::uint32_t shard) const {
    return homes_[shard];
  }
  /// Longest time for which nobody acted for a shard.
  duration LongestGap(std::uint32_t shard) const { return longest_gap_[shard]; }

  const outcome& Of(const std::string& name) const { return results_.at(name); }

  /// Most operations of an account in a window of 5 s, over the bound.
  double WorstUse(const simulated_account& account) const {
    std::vector<instant> runs = results_.at(account.name).runs;
    std::ranges::sort(runs);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < runs.size(); ++last) {
      while (runs[last] - runs[first] >= std::chrono::seconds(5)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    const double bound =
        (account.limit.rate * 5 + account.limit.burst) * 1.1 + 20;
    return static_cast<double>(most) / bound;
  }

  double LossPercent(const std::string& name) const {
    const outcome& result = results_.at(name);
    return 100.0 * static_cast<double>(result.refused) /
           static_cast<double>(std::max<std::uint64_t>(1, result.started));
  }

  std::uint64_t violations = 0;
  /// Steps in which two instances acted for a shard.
  std::uint64_t double_homes = 0;
  std::uint64_t limit_messages = 0;
  std::uint64_t list_reads = 0;

 private:
  static constexpr duration kStep = std::chrono::milliseconds(5);
  static constexpr duration kEntryLifetime = std::chrono::seconds(3);
  static constexpr duration kStoreDelay = std::chrono::milliseconds(4);
  static constexpr duration kRenewal = std::chrono::milliseconds(600);
  /// From the start of an orderly shutdown to its end.
  static constexpr duration kDrain = std::chrono::milliseconds(800);

  struct process {
    explicit process(const core_options& options)
        : core(std::make_unique<core_state>(options)) {}

    std::string name;
    std::unique_ptr<core_state> core;
    std::uint64_t lease = 0;
    instant announced_at{};
    instant next_renewal{};
    instant list_requested_at{};
    instant paused_until{};
    instant refused_until{};
    instant cut_until{};
    bool ended = false;
    std::optional<instant> starts_at;  ///< When an ended one starts again.
    std::optional<instant> leaves_at;  ///< When an orderly shutdown ends.
    std::multimap<instant, std::function<void(core_state&)>> inbox;
    std::set<request_id> seen;
  };

  int Below(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(random_);
  }
  duration Upto(duration longest) {
    return duration(std::uniform_int_distribution<std::int64_t>(
        0, longest.count())(random_));
  }
  bool Chance(duration mean) {
    return mean > duration::zero() &&
           std::uniform_real_distribution<double>()(random_) <
               std::chrono::duration<double>(kStep) /
                   std::chrono::duration<double>(mean);
  }

  void AddInstance() {
    const std::string name = "i" + std::to_string(names_++);
    core_options options;
    options.instance_name = name;
    processes_.push_back(std::make_unique<process>(options));
    processes_.back()->name = name;
    Start(*processes_.back());
  }

  /// Replaces the process of an instance by a new one.
  void Start(process& started) {
    started.ended = false;
    started.starts_at.reset();
    started.leaves_at.reset();
    core_options options;
    options.instance_name = started.name;
    options.process_seed = ++seeds_ + faults_.seed % 1000;
    started.core = std::make_unique<core_state>(options);
    started.inbox.clear();
    started.seen.clear();
    started.lease = 0;
    started.announced_at = {};
    started.next_renewal = now_;
    started.list_requested_at = {};
    service_spec service;
    service.name = "ledger";
    service.term_bound = false;
    endpoint_spec endpoint;
    endpoint.name = "a";
    service.groups = {{"g", {endpoint}}};
    catalogue contents;
    contents.revision = 1;
    contents.services.emplace("ledger", service);
    contents.accounts_in_use = true;
    for (const simulated_account& account : accounts_) {
      contents.accounts.emplace(
          account.name,
          client_account{.name = account.name,
                         .keys = {account.name},
                         .operations_per_second = account.limit.rate,
                         .burst = account.limit.burst});
    }
    Call(started,
         [&contents](core_state& core) { ApplyCatalogue(core, contents); });
  }

  bool ReachesStore(const process& asking) const {
    return now_ >= store_down_until_ && now_ >= asking.refused_until;
  }

  void Call(process& called, const std::function<void(core_state&)>& action) {
    effect_list effects;
    core_state& core = *called.core;
    core.effects = &effects;
    core.now = now_;
    core.started_at = core.started_at == instant{} ? now_ : core.started_at;
    action(core);
    core.dirty_groups.clear();
    for (const auto& [id, group] : core.groups) {
      group->dirty = false;
    }
    core.effects = nullptr;
    for (effect& emitted : effects) {
      Execute(called, emitted);
    }
    FindAdmitted(called);
  }

  void Execute(process& from, effect& emitted) {
    if (std::holds_alternative<read_members>(emitted)) {
      ReadMembers(from);
    } else if (const auto* sent = std::get_if<send_peer_message>(&emitted)) {
      Deliver(from, *sent);
    } else if (const auto* failed = std::get_if<fail_request>(&emitted)) {
      ++results_.at(callers_.at(failed->caller)).refused;
    } else if (const auto* count = std::get_if<counter_increment>(&emitted)) {
      violations +=
          count->counter_kind == counter::kInvariantViolations ? 1 : 0;
    }
  }

  void Deliver(process& from, const send_peer_message& sent) {
    limit_messages += std::holds_alternative<limit_request>(sent.message) ||
                              std::holds_alternative<limit_grant>(sent.message)
                          ? 1
                          : 0;
    const instance_id sender = from.core->self;
    for (const auto& to : processes_) {
      const instance_id id = to->core->self;
      const bool addressed =
          sent.recipient == instance_id{} || sent.recipient == id;
      const bool cut = now_ < from.cut_until || now_ < to->cut_until;
      if (id == sender || !addressed || to->ended || cut ||
          Below(100) < faults_.loss_percent) {
        continue;
      }
      const bool repeated =
          faults_.loss_percent > 0 && Below(100) < faults_.loss_percent;
      for (int copies = repeated ? 2 : 1; copies > 0; --copies) {
        to->inbox.emplace(now_ + Upto(faults_.longest_delay),
                          [sender, message = sent.message](core_state& core) {
                            OnPeerReceived(core, {sender, message});
                          });
      }
    }
  }

  members_seen ListFor(const process& reader, instant requested_at) const {
    members_seen seen;
    seen.requested_at = requested_at;
    for (const auto& [name, entry] : entries_) {
      seen.members.push_back({.id = IdOf<instance_id>(name),
                              .name = name,
                              .peer_address = {},
                              .failure_domain = {},
                              .leaving = false,
                              .seat = std::nullopt,
                              .lease = entry.first});
    }
    if (!entries_.contains(reader.name)) {
      seen.members.push_back({.id = reader.core->self,
                              .name = reader.name,
                              .peer_address = {},
                              .failure_domain = {}});
    }
    return seen;
  }

  void ReadMembers(process& reader) {
    ++list_reads;
    if (!ReachesStore(reader)) {
      return;
    }
    reader.list_requested_at = now_;
    const members_seen seen = ListFor(reader, now_);
    reader.inbox.emplace(now_ + kStoreDelay, [seen](core_state& core) {
      OnMembersSeen(core, seen);
    });
  }

  /// The store tells instances that it serves of a changed list.
  void OnListChanged() {
    for (const auto& watcher : processes_) {
      if (!watcher->ended && ReachesStore(*watcher) &&
          watcher->list_requested_at != instant{}) {
        const members_seen seen = ListFor(*watcher, watcher->list_requested_at);
        watcher->inbox.emplace(now_ + kStoreDelay, [seen](core_state& core) {
          OnMembersSeen(core, seen);
        });
      }
    }
  }

  void ExpireEntries() {
    if (std::erase_if(entries_, [this](const auto& entry) {
          return now_ >= entry.second.second;
        }) > 0) {
      OnListChanged();
    }
  }

  void Renew(process& renewing) {
    renewing.next_renewal = now_ + kRenewal;
    if (!ReachesStore(renewing)) {
      return;
    }
    const auto entry = entries_.find(renewing.name);
    if (entry == entries_.end() || entry->second.first != renewing.lease) {
      renewing.lease = ++leases_;
      renewing.announced_at = now_;
      entries_[renewing.name] = {renewing.lease, now_ + kEntryLifetime};
      OnListChanged();
      ReadMembers(renewing);
    }
    entries_[renewing.name].second = now_ + kEntryLifetime;
    const instant requested_at = now_;
    const instant announced_at = renewing.announced_at;
    renewing.inbox.emplace(
        now_ + kStoreDelay, [requested_at, announced_at](core_state& core) {
          OnRecordsRead(core, {requested_at});
          OnMembershipRenewed(core, {requested_at, announced_at});
        });
  }

  void StartLeaving(process& leaving) {
    if (!leaving.ended && !leaving.leaves_at.has_value()) {
      leaving.leaves_at = now_ + kDrain;
      Call(leaving, [](core_state& core) { core.draining = true; });
    }
  }

  /// Completes orderly shutdowns and starts processes that are due.
  void FollowProcesses(process& current) {
    if (current.ended && current.starts_at.has_value() &&
        now_ >= *current.starts_at) {
      Start(current);
    }
    if (!current.ended && current.leaves_at.has_value() &&
        now_ >= *current.leaves_at && now_ >= current.paused_until) {
      Call(current, [](core_state& core) {
        core.drained = true;
        core.Emit(send_peer_message{{}, leave_notice{}});
      });
      current.ended = true;
      if (ReachesStore(current) && entries_.erase(current.name) > 0) {
        OnListChanged();
      }
    }
  }

  /// Finds the instances that act as homes.
  void FollowHomes() {
    for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
      homes_[shard].reset();
      for (std::uint32_t i = 0; i < processes_.size(); ++i) {
        process& current = *processes_[i];
        limit_authority& authority = current.core->limits.authority;
        if (current.ended || now_ < current.paused_until ||
            !authority.RunSince(shard).has_value() ||
            !authority.Acts(shard, now_)) {
          continue;
        }
        double_homes += homes_[shard].has_value() ? 1 : 0;
        homes_[shard] = i;
      }
      if (homes_[shard].has_value()) {
        acted_at_[shard] = now_;
      }
      longest_gap_[shard] =
          std::max(longest_gap_[shard], now_ - acted_at_[shard]);
    }
  }

  void Step(std::uint32_t i) {
    process& current = *processes_[i];
    FollowProcesses(current);
    if (current.ended || now_ < current.paused_until) {
      return;
    }
    if (now_ >= current.next_renewal) {
      Renew(current);
    }
    while (!current.inbox.empty() && current.inbox.begin()->first <= now_) {
      const auto action = std::move(current.inbox.begin()->second);
      current.inbox.erase(current.inbox.begin());
      Call(current, action);
    }
    Call(current, [](core_state& core) {
      MaintainServingLease(core);
      MaintainLimits(core);
    });
  }

  /// Statements of all instances wait for the same times, as when an endpoint
  /// stalls and then serves all that wait at once.
  duration QueueDelay() const {
    return faults_.longest_queue == duration::zero()
               ? duration::zero()
               : faults_.longest_queue -
                     now_.time_since_epoch() % faults_.longest_queue;
  }

  /// Schedules the sending of the operations that were admitted.
  void FindAdmitted(process& current) {
    for (const auto& [id, request] : current.core->requests) {
      if (!current.seen.insert(id).second) {
        continue;
      }
      const bool runs = Below(20) != 0;
      current.inbox.emplace(
          now_ + QueueDelay(),
          [this, id, runs](core_state& core) { SendRequest(core, id, runs); });
    }
  }

  void SendRequest(core_state& core, request_id id, bool runs) {
    request_state* const request = core.Request(id);
    if (request == nullptr) {
      return;
    }
    const caller_id caller = request->caller;
    if (!runs) {
      // Its token may be used again. It does not count as refused.
      --results_.at(callers_.at(caller)).refused;
      FailRequest(core, *request, {verdict::kNotRun, "0", "not sent"});
    } else if (RenewTokenToSend(core, *request)) {
      results_.at(callers_.at(caller)).runs.push_back(now_);
      ReleaseRequest(core, *request, {}, true);
    }
    core.callers.erase(caller);
  }

  void StartOperations(const simulated_account& account) {
    const double mean =
        account.demand * std::chrono::duration<double>(kStep).count();
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
      // The square of a uniform number spreads callers unevenly.
      const double draw = std::uniform_real_distribution<double>()(random_);
      const auto site = static_cast<std::uint64_t>(draw * draw * account.sites);
      process& chosen =
          *processes_[(HashName(account.name) + site * 7) % processes_.size()];
      if (chosen.ended || chosen.leaves_at.has_value() ||
          now_ < chosen.paused_until) {
        continue;
      }
      const caller_id caller{++last_caller_};
      callers_[caller] = account.name;
      ++results_.at(account.name).started;
      Call(chosen, [&](core_state& core) {
        OnCallerOpened(core, {caller, "ledger", "tenant", account.name});
        OnStatementReceived(
            core,
            {caller, request_id{caller.value}, statement_kind::kWrite, {}});
      });
    }
  }

  /// Ends the membership of an instance, as a promoter does.
  void EndMembership(process& silent) {
    process& promoter = *processes_[static_cast<std::size_t>(
        Below(static_cast<int>(processes_.size())))];
    // Where all processes are young, none may lose its membership: PROOFS.md.
    const bool all_young =
        std::ranges::all_of(processes_, [&](const auto& one) {
          return now_ - one->core->started_at <= std::chrono::seconds(11);
        });
    if (all_young || &promoter == &silent || promoter.ended ||
        now_ < promoter.paused_until || !ReachesStore(promoter)) {
      return;
    }
    silent.refused_until =
        now_ + std::chrono::seconds(3) + Upto(std::chrono::seconds(6));
    if (entries_.erase(silent.name) > 0) {
      Call(promoter, [&silent](core_state& core) {
        OnMembershipEnded(core, {silent.core->self});
      });
      OnListChanged();
    }
  }

  void InjectFaults() {
    for (std::uint32_t i = 0; i < processes_.size(); ++i) {
      process& current = *processes_[i];
      if (current.ended || !Chance(faults_.mean_between_faults)) {
        continue;
      }
      switch (Below(6)) {
        case 0:
          if (faults_.pauses) {
            current.paused_until = now_ + Upto(std::chrono::seconds(6));
          }
          break;
        case 1:
          if (faults_.restarts) {
            Start(current);
          }
          break;
        case 2:
          if (faults_.refusals) {
            current.refused_until = now_ + Upto(std::chrono::seconds(9));
          }
          break;
        case 3:
          if (faults_.cuts) {
            current.cut_until = now_ + Upto(std::chrono::seconds(9));
            if (faults_.refusals && Below(2) == 0) {
              current.refused_until = current.cut_until;
            }
            if (faults_.ends && Below(2) == 0) {
              EndMembership(current);
            }
          }
          break;
        case 4:
          if (faults_.leaves) {
            StartLeaving(current);
            // Some come back soon, as in a rolling restart.
            current.starts_at = now_ + Upto(std::chrono::seconds(4)) + kDrain;
          }
          break;
        default:
          if (faults_.changes) {
            current.ended = true;
            AddInstance();
            // Another one misses the change.
            process& other = *processes_[static_cast<std::size_t>(
                Below(static_cast<int>(processes_.size())))];
            if (faults_.refusals && faults_.cuts) {
              other.cut_until = now_ + Upto(std::chrono::seconds(9));
              other.refused_until = other.cut_until;
            }
          }
          break;
      }
    }
    if (faults_.refusals && Chance(std::chrono::seconds(12))) {
      store_down_until_ = now_ + Upto(std::chrono::seconds(5));
    }
  }

  const std::vector<simulated_account> accounts_;
  const limit_faults faults_;
  std::mt19937_64 random_;
  instant now_{std::chrono::seconds(100)};
  instant store_down_until_{};
  std::vector<std::unique_ptr<process>> processes_;
  /// The store's list: names, with leases and their ends.
  std::map<std::string, std::pair<std::uint64_t, instant>> entries_;
  std::map<caller_id, std::string> callers_;
  std::map<std::string, outcome> results_;
  std::array<std::optional<std::uint32_t>, kLimitShards> homes_;
  std::array<instant, kLimitShards> acted_at_{};
  std::array<duration, kLimitShards> longest_gap_{};
  std::uint64_t names_ = 0;
  std::uint64_t seeds_ = 0;
  std::uint64_t leases_ = 0;
  std::uint64_t last_caller_ = 0;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_LIMITS_WORLD_H_
