// Forwarding of requests to carriers.

#include "forwarding.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "accounts/identification.h"
#include "accounts/limit_control.h"
#include "marjoramslip/core/sqlstates.h"
#include "requests.h"

namespace marjoramslip {
namespace {

/// Time for which a carrier is avoided after its connection ended or could not
/// be opened: a new process needs about that long to serve.
constexpr duration kLostPenalty = std::chrono::milliseconds(500);
/// Time for which a carrier is avoided after it was silent.
constexpr duration kSilencePenalty = std::chrono::seconds(1);
/// Time for which a carrier that shuts down is avoided. The list of members
/// names it no longer after that.
constexpr duration kShutdownPenalty = std::chrono::seconds(3);
/// Time for which an instance that does not carry the group is avoided. Views
/// of the fleet agree again after a poll of the store.
constexpr duration kOtherViewPenalty = std::chrono::milliseconds(200);

bool EndsTransaction(statement_kind kind) {
  return kind == statement_kind::kCommit || kind == statement_kind::kRollback;
}

bool BeginsTransaction(statement_kind kind) {
  return kind == statement_kind::kBegin || kind == statement_kind::kBeginRead;
}

/// True for statements outside transactions that may run twice.
bool MayRepeat(const request_state& request) {
  return !request.in_transaction && (request.kind == statement_kind::kRead ||
                                     BeginsTransaction(request.kind) ||
                                     request.kind == statement_kind::kRollback);
}

failure LostInTransaction() {
  return {verdict::kNotRun, sqlstate::kTransactionLost,
          "the transaction was lost before its COMMIT and is rolled back"};
}

failure OutcomeAtCarrierUnknown(const request_state& request) {
  return {verdict::kMayHaveRun,
          IsReadOnly(request.kind) ? sqlstate::kConnectionLost
                                   : sqlstate::kOutcomeUnknown,
          "the instance that ran the statement did not answer"};
}

/// Returns the failure of a request that no carrier can take.
failure NoCarrierFailure(const core_state& core, const group_state& group) {
  instant next = instant::max();
  for (const carrier& entry : group.carriers) {
    const auto state = core.carrier_states.find(entry.id);
    next = std::min(next, state == core.carrier_states.end()
                              ? core.now
                              : state->second.avoid_until);
  }
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(next - core.now, kOtherViewPenalty));
  return {verdict::kNotRun, sqlstate::kNotReady,
          "no instance with connections to the group can be reached; retry "
          "after " +
              std::to_string(wait.count()) + " ms"};
}

connection_supply SupplyOf(const core_state& core, const group_state& group) {
  connection_supply supply;
  supply.live_instances = core.members.LiveCount();
  bool first = true;
  for (const auto& [id, view] : group.terms.Endpoints()) {
    supply.connections =
        first ? view.spec.connections
              : std::min(supply.connections, view.spec.connections);
    supply.slots = std::max(supply.slots, view.spec.slots);
    first = false;
  }
  return supply;
}

std::vector<carrier> CarriersOf(const core_state& core,
                                const group_state& group,
                                std::span<const carrier_candidate> candidates) {
  const connection_supply supply = SupplyOf(core, group);
  if (!core.options.forwarding || candidates.empty() ||
      group.terms.Service().term_bound ||
      !NeedsCarriers(supply, core.options.min_connections_per_instance)) {
    return {};
  }
  std::set<std::string_view> domains;
  for (const carrier_candidate& candidate : candidates) {
    domains.insert(candidate.failure_domain);
  }
  return ChooseCarriers(
      group.terms.Id(), candidates,
      CarriersPerDomain(supply, static_cast<std::uint32_t>(domains.size()),
                        core.options.carriers_per_domain));
}

void Avoid(core_state& core, instance_id id, duration length,
           std::string_view why) {
  carrier_health& state = core.carrier_states[id];
  if (core.now >= state.avoid_until) {
    core.Count(counter::kCarriersAvoided);
    core.Log(log_level::kWarning, "carrier.avoided",
             core.members.NameOf(id) + ": " + std::string(why));
  }
  state.avoid_until = std::max(state.avoid_until, core.now + length);
}

/// Returns the floor of the caller's session for its next statement; empty if
/// the session has none yet.
std::optional<log_point> FloorToSend(core_state& core,
                                     const request_state& request) {
  if (request.settings.token.has_value()) {
    return request.settings.token;
  }
  const caller_state& caller = *core.Caller(request.caller);
  if (caller.own_floor_group != request.group || !caller.own_floor.sampled) {
    return std::nullopt;
  }
  // With a bound on the age of the data, only the session's writes count.
  const log_point floor = request.settings.max_staleness.has_value()
                              ? caller.own_floor.last_write_point
                              : caller.own_floor.base;
  return floor == log_point{} ? std::nullopt : std::optional(floor);
}

/// Takes over the floor that a statement has left the session with.
void AdoptFloor(core_state& core, const request_state& request,
                log_point floor) {
  caller_state* const caller = core.Caller(request.caller);
  const bool wrote =
      request.kind == statement_kind::kCommit ||
      (request.kind == statement_kind::kWrite && !request.in_transaction);
  const bool sampled = wrote || !request.settings.max_staleness.has_value();
  if (caller == nullptr || !sampled || floor == log_point{}) {
    return;
  }
  session_floor& own = caller->own_floor;
  if (caller->own_floor_group != request.group) {
    own = {};
    caller->own_floor_group = request.group;
  }
  own.base = floor;
  own.sampled = true;
  if (wrote) {
    own.last_write_point = floor;
    own.last_write_at = core.now;
  }
}

void Forward(core_state& core, request_state& request, instance_id carrier) {
  const caller_state& caller = *core.Caller(request.caller);
  MoveTo(core, request, request_stage::kNew);
  core.Group(request.group)->carrier_uses[carrier].last_used =
      core.next_attempt;
  request.carrier = carrier;
  request.forward_attempt = core.next_attempt++;
  request.carrier_silent = false;
  request.endpoint = {};
  request.sent_at = core.now;
  request.in_transaction = caller.pinned_carrier != instance_id{};
  MoveTo(core, request, request_stage::kForwarded);
  core.Count(counter::kStatementsForwarded, request.group);
  forward_statement command;
  command.carrier = carrier;
  command.caller = request.caller;
  command.request = request.id;
  command.attempt = request.forward_attempt;
  command.kind = request.kind;
  command.service = caller.service;
  command.tenant = caller.tenant;
  command.account = AccountName(core, caller.account);
  command.floor = FloorToSend(core, request);
  command.time_left = request.deadline - core.now;
  command.in_transaction = request.in_transaction;
  core.Emit(std::move(command));
}

void PinCarrier(core_state& core, caller_state& caller,
                const request_state& request) {
  caller.pinned_carrier = request.carrier;
  caller.pinned_group = request.group;
  ++core.open_transactions;
  ++core.Group(request.group)->open_transactions;
}

/// Tries another carrier for a request that did not run or may run again.
void TryElsewhere(core_state& core, request_state& request) {
  core.Count(counter::kCarriersTriedAgain, request.group);
  request.tried_carriers.push_back(request.carrier);
  Advance(core, request);
}

/// Fails a statement whose transaction has ended at its carrier.
void FailLostInTransaction(core_state& core, request_state& request,
                           failure reason, bool notify_carrier) {
  if (caller_state* const caller = core.Caller(request.caller)) {
    UnpinCarrier(core, *caller, notify_carrier);
    caller->transaction_lost = !EndsTransaction(request.kind);
  }
  FailRequest(core, request, std::move(reason));
}

/// Returns true if the reason says that another carrier may take the statement.
bool IsForOthers(const failure& reason) {
  return reason.effect == verdict::kNotRun &&
         (reason.sqlstate == sqlstate::kShutdown ||
          reason.sqlstate == sqlstate::kNotCarrier ||
          reason.sqlstate == sqlstate::kUnknownKey ||
          reason.sqlstate == sqlstate::kUnknownService);
}

void OnRefusedByCarrier(core_state& core, request_state& request,
                        const failure& reason) {
  if (request.in_transaction) {
    // A carrier may refuse a statement and still keep its transaction.
    FailLostInTransaction(core, request, reason, true);
    return;
  }
  if (IsForOthers(reason)) {
    const bool leaves = reason.sqlstate == sqlstate::kShutdown;
    core.Count(counter::kCarrierRefusals, request.group);
    Avoid(core, request.carrier, leaves ? kShutdownPenalty : kOtherViewPenalty,
          reason.message);
    TryElsewhere(core, request);
    return;
  }
  caller_state* const caller = core.Caller(request.caller);
  if (reason.sqlstate == sqlstate::kFloorLost && caller != nullptr) {
    caller->own_floor = {};
  }
  FailRequest(core, request, reason);
}

/// Handles a statement that will not be answered. `maybe_sent` is false if the
/// carrier cannot have run it.
void OnForwardLost(core_state& core, request_state& request, bool maybe_sent) {
  if (request.in_transaction) {
    const bool unknown = request.kind == statement_kind::kCommit && maybe_sent;
    FailLostInTransaction(
        core, request,
        unknown ? OutcomeAtCarrierUnknown(request) : LostInTransaction(), true);
    return;
  }
  if (!maybe_sent || MayRepeat(request)) {
    TryElsewhere(core, request);
    return;
  }
  FailRequest(core, request, OutcomeAtCarrierUnknown(request));
}

std::vector<request_id> RequestsAt(const core_state& core,
                                   instance_id carrier) {
  std::vector<request_id> found;
  for (const auto& [id, request] : core.requests) {
    if (request.stage == request_stage::kForwarded &&
        request.carrier == carrier) {
      found.push_back(id);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

/// Returns the request that an attempt belongs to; null if it has been given
/// up.
request_state* FindAttempt(core_state& core, request_id id,
                           std::uint64_t attempt) {
  request_state* const request = core.Request(id);
  return request != nullptr && request->stage == request_stage::kForwarded &&
                 request->forward_attempt == attempt
             ? request
             : nullptr;
}

}  // namespace

void UpdateCarriers(core_state& core) {
  if (!core.options.forwarding) {
    return;
  }
  const std::vector<carrier_candidate> candidates =
      core.members.CarrierCandidates();
  std::size_t changed = 0;
  std::string carried;
  for (const auto& [id, group] : core.groups) {
    std::vector<carrier> carriers = CarriersOf(core, *group, candidates);
    if (carriers != group->carriers) {
      group->carriers = std::move(carriers);
      group->carriers_changed = true;
      ++changed;
      core.Count(counter::kCarrierChanges, id);
    }
    const group_state& current = *group;
    std::erase_if(group->carrier_uses, [&current](const auto& entry) {
      return entry.second.outstanding == 0 &&
             !RankOf(current.carriers, entry.first);
    });
    if (RankOf(group->carriers, core.self)) {
      carried += " " + group->name;
    }
  }
  if (changed > 0) {
    core.Log(log_level::kInfo, "carriers.changed",
             std::to_string(changed) + " groups; carried here:" +
                 (carried.empty() ? " none" : carried));
  }
  std::erase_if(core.carrier_states, [&core](const auto& entry) {
    return entry.second.outstanding == 0 &&
           core.now >= entry.second.avoid_until;
  });
}

void RerouteAfterCarrierChange(core_state& core) {
  std::vector<request_id> waiting;
  for (const auto& [id, request] : core.requests) {
    const bool waits = request.stage != request_stage::kSent &&
                       request.stage != request_stage::kAwaitingRelease &&
                       request.stage != request_stage::kForwarded;
    if (waits && core.Group(request.group)->carriers_changed) {
      waiting.push_back(id);
    }
  }
  for (const auto& [id, group] : core.groups) {
    group->carriers_changed = false;
  }
  std::sort(waiting.begin(), waiting.end());
  for (const request_id id : waiting) {
    if (request_state* const request = core.Request(id)) {
      Advance(core, *request);
    }
  }
}

std::uint32_t ShareOfGroup(const core_state& core, const group_state& group,
                           std::uint32_t connections) {
  if (group.carriers.empty()) {
    return core.members.Share(group.terms.Service().seats, connections);
  }
  const auto rank = RankOf(group.carriers, core.self);
  return rank ? ShareOf(rank, static_cast<std::uint32_t>(group.carriers.size()),
                        connections)
              : 0;
}

bool IsCarriedElsewhere(const core_state& core, const group_state& group) {
  return !group.carriers.empty() && !RankOf(group.carriers, core.self);
}

bool IsInTransaction(const caller_state& caller) {
  return caller.pinned != connection_id{} ||
         caller.pinned_carrier != instance_id{};
}

bool ForwardIfCarriedElsewhere(core_state& core, request_state& request) {
  const group_state& group = *core.Group(request.group);
  if (!IsCarriedElsewhere(core, group)) {
    return false;
  }
  if (request.carried) {
    FailRequest(core, request,
                {verdict::kNotRun, sqlstate::kNotCarrier,
                 "this instance does not carry the group"});
    return true;
  }
  const auto next = NextCarrier(group.carriers, core.options.failure_domain,
                                request.tried_carriers, core.carrier_states,
                                group.carrier_uses, core.now, core.random);
  if (!next.has_value()) {
    core.Count(counter::kRefusals, request.group);
    FailRequest(core, request, NoCarrierFailure(core, group));
    return true;
  }
  if (RenewTokenToSend(core, request)) {
    Forward(core, request, *next);
  }
  return true;
}

void ForwardInTransaction(core_state& core, request_state& request) {
  Forward(core, request, core.Caller(request.caller)->pinned_carrier);
}

void WithdrawForwarded(core_state& core, const request_state& request) {
  core.Emit(end_forwarded_caller{request.carrier, request.caller});
}

void UnpinCarrier(core_state& core, caller_state& caller, bool notify_carrier) {
  if (caller.pinned_carrier == instance_id{}) {
    return;
  }
  if (notify_carrier) {
    core.Emit(end_forwarded_caller{caller.pinned_carrier, caller.id});
  }
  caller.pinned_carrier = {};
  --core.open_transactions;
  --core.Group(caller.pinned_group)->open_transactions;
}

void OnForwardTimeout(core_state& core, request_state& request) {
  WithdrawForwarded(core, request);
  if (request.in_transaction && request.kind != statement_kind::kCommit) {
    FailLostInTransaction(core, request, LostInTransaction(), false);
    return;
  }
  if (caller_state* const caller = core.Caller(request.caller)) {
    UnpinCarrier(core, *caller, false);
    caller->transaction_lost = false;
  }
  FailRequest(core, request, OutcomeAtCarrierUnknown(request));
}

void OnForwardAnswered(core_state& core, const forward_answered& answer) {
  request_state* const request =
      FindAttempt(core, answer.request, answer.attempt);
  if (request == nullptr) {
    return;
  }
  if (answer.load.has_value()) {
    carrier_use& use = core.Group(request->group)->carrier_uses[answer.carrier];
    use.reported = *answer.load;
    use.reported_at = core.now;
  }
  if (answer.refusal.has_value()) {
    OnRefusedByCarrier(core, *request, *answer.refusal);
    return;
  }
  caller_state& caller = *core.Caller(request->caller);
  const bool is_open = answer.transaction != transaction_status::kIdle;
  if (is_open && caller.pinned_carrier == instance_id{}) {
    PinCarrier(core, caller, *request);
  } else if (!is_open) {
    UnpinCarrier(core, caller, false);
  }
  if (answer.succeeded) {
    AdoptFloor(core, *request, answer.floor);
  }
  ReleaseRequest(core, *request, answer.floor, answer.succeeded);
}

void OnForwardFailed(core_state& core, const forward_failed& report) {
  Avoid(core, report.carrier, kLostPenalty, "the connection to it ended");
  if (request_state* const request =
          FindAttempt(core, report.request, report.attempt)) {
    OnForwardLost(core, *request, report.maybe_sent);
  }
}

void OnCarrierSilent(core_state& core, const carrier_silent& report) {
  Avoid(core, report.carrier, kSilencePenalty,
        "it is silent while statements are outstanding");
  for (const request_id id : RequestsAt(core, report.carrier)) {
    request_state* const request = core.Request(id);
    if (request == nullptr) {
      continue;
    }
    const bool commits =
        request->in_transaction && request->kind == statement_kind::kCommit;
    if (commits || (!request->in_transaction && !MayRepeat(*request))) {
      // It may have run, and may still be answered.
      request->carrier_silent = true;
      MoveTo(core, *request, request_stage::kForwarded);
      continue;
    }
    if (!request->in_transaction) {
      WithdrawForwarded(core, *request);
    }
    OnForwardLost(core, *request, true);
  }
}

void OnCarrierLinkLost(core_state& core, const carrier_link_lost& report) {
  std::vector<caller_id> lost;
  for (const auto& [id, caller] : core.callers) {
    if (caller.pinned_carrier == report.carrier) {
      lost.push_back(id);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const caller_id id : lost) {
    caller_state& caller = *core.Caller(id);
    UnpinCarrier(core, caller, false);
    caller.transaction_lost = true;
  }
}

}  // namespace marjoramslip
