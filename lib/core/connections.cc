// Implementation of queueing, sending and connection handling.

#include "connections.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "accounts/identification.h"
#include "accounts/limit_control.h"
#include "answers.h"
#include "forwarding.h"
#include "groups.h"
#include "lending.h"
#include "load/admission.h"
#include "marjoramslip/core/sqlstates.h"
#include "read_takeover.h"
#include "reads.h"
#include "requests.h"
#include "writes.h"

namespace marjoramslip {
namespace {

/// How long a queued request may be overtaken by later ones whose accounts have
/// idle connections. After that, an idle connection is closed in its favour,
/// even if others could use it. It is about the time that opening a connection
/// takes (12 ms and the way there and back): waiting for at most as long as the
/// change costs is at most twice as expensive as the best choice.
constexpr duration kMaxOvertaken = std::chrono::milliseconds(20);

/// Statements in flight to an endpoint beyond its slots, for all carriers of
/// its group together.
constexpr std::uint32_t kCarrierSurplus = 2;
/// Statements that each carrier may have in flight to an endpoint. With one,
/// slots idle while the queue of another carrier is long.
constexpr std::uint32_t kMinInFlightOfCarrier = 2;

/// Requests refused in one check of a queue. Bounds the time of one step.
constexpr int kMaxRefusalsPerCheck = 16;

/// Returns true if the routes have different priorities.
bool HasSeveralPriorities(const catalogue& notes) {
  return std::any_of(
      notes.routes.begin(), notes.routes.end(), [&notes](const auto& route) {
        return route.second.priority != notes.routes.begin()->second.priority;
      });
}

bool IsPlainRead(const request_state& request) {
  return IsReadOnly(request.kind) && !request.requires_primary;
}

/// Returns true if the request may still go to the endpoint for which it is
/// queued.
bool MayStillUseEndpoint(core_state& core, const group_state& group,
                         const request_state& request) {
  if (IsPlainRead(request)) {
    return MayServe(core, group, request, request.endpoint);
  }
  return MayWriteTo(core, group, request.endpoint);
}

/// Returns true if the connection accepts statements of the group's term.
bool AtTerm(const group_state& group, const connection_state& connection) {
  return !group.terms.Service().term_bound ||
         connection.term == group.terms.Term();
}

/// Takes an account's idle connection for the group's term from the pool; null
/// if there is none. Closes the idle connections of other terms that it finds.
connection_state* TakeIdleAtTerm(core_state& core, endpoint_pool& pool,
                                 const group_state& group, account_id account) {
  while (const auto id = pool.TakeIdle(account)) {
    connection_state& connection = *core.Connection(*id);
    if (AtTerm(group, connection)) {
      connection.term = group.terms.Term();
      return &connection;
    }
    CloseConnection(core, *id);
  }
  return nullptr;
}

void OpenConnection(core_state& core, endpoint_pool& pool, term_number term,
                    account_id account) {
  const connection_id id{core.next_connection++};
  core.connections.emplace(id, connection_state{.id = id,
                                                .endpoint = pool.Id(),
                                                .term = term,
                                                .open_requested_at = core.now,
                                                .open = false,
                                                .account = account,
                                                .used = false,
                                                .request = {},
                                                .pinned = {},
                                                .floor_pinned = false});
  pool.AddOpening(id, account);
  core.Check(pool.IsWithinCapacity(core.now),
             "connections to an endpoint exceed the share and loans");
  core.Emit(open_connection{.connection = id,
                            .endpoint = pool.Id(),
                            .term = term,
                            .timeout = core.options.connect_timeout,
                            .account = AccountName(core, account)});
}

/// Makes room for a connection of another account by closing idle ones. Returns
/// false if none can be opened now.
bool MakeRoom(core_state& core, endpoint_pool& pool) {
  while (!pool.MayOpen(core.now)) {
    const auto unused = pool.FindEvictable(core.now);
    if (!unused.has_value()) {
      return false;
    }
    core.Count(counter::kConnectionsEvicted, pool.Group());
    CloseConnection(core, *unused);
  }
  return true;
}

/// Opens a connection in place of one that is idle, for a request that later
/// ones have overtaken for too long.
void OpenIfOvertaken(core_state& core, endpoint_pool& pool,
                     const group_state& group, const request_state& request) {
  const account_id account = request.account;
  if (core.now - request.queued_at >= kMaxOvertaken && !pool.Idle().empty() &&
      pool.Opening(account) < pool.Waiting().CountOfAccount(account) &&
      MakeRoom(core, pool)) {
    OpenConnection(core, pool, group.terms.Term(), account);
  }
}

void OpenMore(core_state& core, endpoint_pool& pool, const group_state& group) {
  while (pool.Opening() < pool.SendAllowance()) {
    const auto next = pool.NextToOpenFor(core.now);
    if (!next.has_value() || !MakeRoom(core, pool)) {
      return;
    }
    OpenConnection(core, pool, group.terms.Term(),
                   core.Request(*next)->account);
  }
}

/// Refuses a request that its endpoint will not serve before its deadline.
void RefuseOverloaded(core_state& core, const endpoint_pool& pool,
                      request_state& request, std::string_view reason) {
  core.Count(counter::kRefusals, request.group);
  FailRequest(
      core, request,
      {verdict::kNotRun, sqlstate::kOverloaded,
       std::string(reason) + RetryAdvice(core, pool, request.priority)});
}

/// Refuses queued requests that have no more chance to be sent before their
/// deadlines, so that their callers can try again elsewhere.
void RefuseHopeless(core_state& core, endpoint_pool& pool) {
  if (pool.Waiting().Count() == 0 || !pool.IsQueueCheckDue(core.now)) {
    return;
  }
  for (int i = 0; i < kMaxRefusalsPerCheck; ++i) {
    const std::vector<expected_turn> turns = pool.Waiting().ExpectedTurns();
    const auto hopeless = std::find_if(
        turns.begin(), turns.end(), [&](const expected_turn& turn) {
          const auto interval = pool.MeasuredInterval(turn.priority, core.now);
          return interval.has_value() &&
                 IsHopeless(turn.turns, *interval,
                            core.Request(turn.request)->deadline - core.now);
        });
    if (hopeless == turns.end()) {
      return;
    }
    // Those behind it move up, so the turns are computed again.
    core.Count(counter::kRefusedWhileWaiting, pool.Group());
    RefuseOverloaded(core, pool, *core.Request(hopeless->request),
                     "the statement can no longer be sent before its deadline");
  }
}

/// Removes a connection from the state without closing it in the shell.
void RemoveConnection(core_state& core, connection_id id) {
  const connection_state& connection = *core.Connection(id);
  if (caller_state* const caller = core.Caller(connection.pinned)) {
    UnpinConnection(core, *caller);
  }
  if (endpoint_pool* const pool = core.Pool(connection.endpoint)) {
    pool->Remove(id);
  }
  core.connections.erase(id);
}

}  // namespace

std::string RetryAdvice(core_state& core, const endpoint_pool& pool,
                        std::uint32_t priority) {
  return RetryText(RetryDelay(pool.Waiting().Count(priority),
                              pool.ExpectedInterval(priority, core.now),
                              core.random()));
}

void Enqueue(core_state& core, request_state& request, endpoint_id endpoint) {
  endpoint_pool& pool = *core.Pool(endpoint);
  const admission_class priority =
      IsPlainRead(request) ? admission_class::kRead : admission_class::kWrite;
  if (core.now + pool.ExpectedWait(priority, request.objective, core.now,
                                   request.priority) >
      request.deadline) {
    core.Count(counter::kRefusedOnArrival, request.group);
    RefuseOverloaded(core, pool, request,
                     "the wait for a connection would exceed the deadline");
    return;
  }
  MoveTo(core, request, request_stage::kNew);
  request.endpoint = endpoint;
  MoveTo(core, request, request_stage::kAwaitingConnection);
  ProcessPool(core, pool);
}

void ProcessPool(core_state& core, endpoint_pool& pool) {
  const group_state& group = *core.Group(pool.Group());
  // Requests of these accounts wait for connections of theirs to open; they do
  // not delay those behind them that have a connection.
  std::vector<account_id> without_connection;
  while (pool.SendAllowance() > 0) {
    const auto first = pool.NextRequest(core.now, without_connection);
    if (!first.has_value()) {
      break;
    }
    request_state& request = *core.Request(*first);
    if (core.now >= request.deadline ||
        !MayStillUseEndpoint(core, group, request)) {
      Advance(core, request);
      continue;
    }
    connection_state* const connection =
        TakeIdleAtTerm(core, pool, group, request.account);
    if (connection == nullptr) {
      OpenIfOvertaken(core, pool, group, request);
      if (pool.Idle().empty()) {
        break;
      }
      without_connection.push_back(request.account);
      continue;
    }
    if (!RenewTokenToSend(core, request)) {
      pool.ReturnIdle(connection->id, core.now);
      continue;
    }
    pool.Waiting().OnSent(core.now);
    SendOverConnection(core, *connection, request);
  }
  RefuseHopeless(core, pool);
  OpenMore(core, pool, group);
  while (const auto unused = pool.FindExpiredIdle(core.now)) {
    CloseConnection(core, *unused);
  }
  BorrowIfShort(core, pool);
  ReturnUnusedLoans(core, pool);
  SetPoolTimer(core, pool);
}

void SetPoolTimer(core_state& core, endpoint_pool& pool) {
  std::optional<instant> next = pool.Loans().NextChange(core.now);
  if (pool.Waiting().Count() > 0 && pool.BackingOff(core.now)) {
    next = std::min(next.value_or(pool.RetryAt()), pool.RetryAt());
  }
  if (pool.Waiting().Count() > 0 && !next.has_value()) {
    next = core.now + kLoanRequestInterval;
  }
  if (const std::optional<instant> unused = pool.NextIdleTimeout()) {
    next = std::min(next.value_or(*unused), *unused);
  }
  const timer_owner owner{timer_kind::kPool, pool.Id().value};
  if (!next.has_value()) {
    core.timers.Cancel(owner, pool.timer);
  } else if (pool.timer != next) {
    core.timers.Set(owner, pool.timer, *next);
  }
}

void SendOverConnection(core_state& core, connection_state& connection,
                        request_state& request) {
  const bool available =
      connection.open && connection.request == request_id{} &&
      connection.account == request.account &&
      (connection.pinned == caller_id{} || connection.pinned == request.caller);
  if (!core.Check(available,
                  "a connection serves one request of its caller and account",
                  request.id)) {
    FailRequest(core, request,
                {verdict::kNotRun, sqlstate::kInternalError,
                 "internal error: the connection is not available"});
    return;
  }
  group_state& group = *core.Group(request.group);
  MoveTo(core, request, request_stage::kNew);
  request.endpoint = connection.endpoint;
  request.connection = connection.id;
  request.term = connection.term;
  request.sent_at = core.now;
  request.progressed_at = core.now;
  request.blocked_on_caller = false;
  request.sent_to_primary = connection.endpoint == group.terms.Primary() &&
                            connection.term == group.terms.Term() &&
                            group.terms.Open();
  request.in_transaction = connection.pinned != caller_id{};
  const endpoint_view* const view = group.terms.View(connection.endpoint);
  request.served_from = view != nullptr ? view->state.Point() : log_point{};
  connection.request = request.id;
  connection.used = true;
  core.Pool(connection.endpoint)->OnStatementSent(connection.id);
  MoveTo(core, request, request_stage::kSent);
  // A transaction records its idempotency key with its COMMIT.
  const bool records_key = request.in_transaction
                               ? request.kind == statement_kind::kCommit
                               : request.kind == statement_kind::kWrite;
  core.Emit(send_statement{
      .connection = connection.id,
      .request = request.id,
      .term = connection.term,
      .read_only = IsPlainRead(request) && !request.in_transaction,
      .idempotency_key =
          records_key ? request.settings.idempotency_key : std::string(),
      .required_point = request.in_transaction
                            ? log_point{}
                            : request.floor.value_or(log_point{})});
}

void ReturnToPool(core_state& core, connection_state& connection) {
  endpoint_pool& pool = *core.Pool(connection.endpoint);
  const group_state& group = *core.Group(pool.Group());
  const bool reusable = AtTerm(group, connection) &&
                        pool.Connections() <= pool.ConnectionLimit(core.now) &&
                        (!pool.LeavingSince() || pool.Waiting().Count() > 0);
  if (!reusable) {
    CloseConnection(core, connection.id);
  } else {
    pool.ReturnIdle(connection.id, core.now, connection.account,
                    !connection.used);
  }
  ProcessPool(core, pool);
  TakeOverReads(core, pool);
}

void CloseConnection(core_state& core, connection_id id) {
  core.Emit(close_connection{id});
  RemoveConnection(core, id);
}

void CloseExcessIdle(core_state& core, endpoint_pool& pool) {
  const group_state* const group = core.Group(pool.Group());
  const std::vector<idle_connection> idle(pool.Idle().begin(),
                                          pool.Idle().end());
  for (const idle_connection& each : idle) {
    const connection_id id = each.id;
    const bool stale =
        group == nullptr || !AtTerm(*group, *core.Connection(id));
    if (stale || pool.LeavingSince() ||
        pool.Connections() > pool.ConnectionLimit(core.now)) {
      CloseConnection(core, id);
    }
  }
}

void RerouteQueued(core_state& core, endpoint_pool& pool,
                   admission_class priority) {
  for (const request_id id : pool.Waiting().QueuedRequests(priority)) {
    request_state* const request = core.Request(id);
    if (request == nullptr ||
        request->stage != request_stage::kAwaitingConnection) {
      continue;
    }
    Advance(core, *request);
  }
}

/// Returns how many statements this instance may have in flight at an endpoint
/// of the group; no limit if empty.
static std::optional<std::uint32_t> InFlightLimitOf(const core_state& core,
                                                    const group_state& group,
                                                    std::uint32_t slots) {
  if (!group.carriers.empty()) {
    const std::uint32_t limit = InFlightLimit(
        slots, core.options.in_flight_surplus.value_or(kCarrierSurplus),
        static_cast<std::uint32_t>(group.carriers.size()));
    return std::max(limit, kMinInFlightOfCarrier);
  }
  if (core.options.in_flight_surplus.has_value()) {
    return InFlightLimit(slots, *core.options.in_flight_surplus,
                         core.members.LiveCount());
  }
  return std::nullopt;
}

void UpdateShares(core_state& core) {
  const std::optional<std::uint32_t> seat = core.members.Seat();
  const bool measured_admission = HasSeveralPriorities(core.applied_catalogue);
  for (const auto& [id, group] : core.groups) {
    group->terms.SetLiveInstances(core.members.LiveCount());
    for (const auto& [endpoint, view] : group->terms.Endpoints()) {
      endpoint_pool& pool = *core.Pool(endpoint);
      const service_spec& service = group->terms.Service();
      // Without bound terms, all listed instances acknowledge a change of
      // primary. An instance that is not listed must open no connections.
      const bool may_connect = service.term_bound || seat.has_value();
      pool.SetShare(
          may_connect ? ShareOfGroup(core, *group, view.spec.connections) : 0,
          service.term_bound, core.now);
      pool.SetMeasuredAdmission(measured_admission);
      pool.SetInFlightLimit(InFlightLimitOf(core, *group, view.spec.slots));
      CloseExcessIdle(core, pool);
      ProcessPool(core, pool);
    }
  }
}

void OnConnectionOpened(core_state& core, const connection_opened& opened) {
  connection_state* const connection = core.Connection(opened.connection);
  if (connection == nullptr || connection->open) {
    return;
  }
  endpoint_pool& pool = *core.Pool(connection->endpoint);
  ObserveState(core, connection->endpoint, connection->open_requested_at,
               opened.state);
  if (opened.state.complete && opened.state.term != connection->term) {
    // The endpoint would reject every statement on this connection. Treating it
    // as refused starts the backoff before the next attempt.
    core.Emit(close_connection{opened.connection});
    core.connections.erase(opened.connection);
    pool.OnRefused(opened.connection, false, core.now);
    ProcessPool(core, pool);
    return;
  }
  connection->open = true;
  if (pool.OnOpened(opened.connection, core.now)) {
    core.Log(log_level::kInfo, "endpoint.returned",
             "reads return to it gradually", pool.Group(), pool.Id());
  }
  ReturnToPool(core, *connection);
}

void OnConnectionRefused(core_state& core, const connection_refused& refused) {
  const connection_state* const connection =
      core.Connection(refused.connection);
  if (connection == nullptr) {
    return;
  }
  if (connection->open) {
    HandleConnectionLoss(core, refused.connection, true, true);
    return;
  }
  const endpoint_id endpoint = connection->endpoint;
  endpoint_pool& pool = *core.Pool(endpoint);
  group_state& group = *core.Group(pool.Group());
  const instant open_requested_at = connection->open_requested_at;
  core.connections.erase(refused.connection);
  pool.OnRefused(refused.connection, refused.limit_reached, core.now);
  if (!refused.limit_reached) {
    group.terms.OnNewConnectionFailed(endpoint, open_requested_at,
                                      refused.unanswered, core.now);
    core.MarkDirty(group);
  }
  RerouteQueued(core, pool, admission_class::kRead);
  ProcessPool(core, pool);
}

void HandleConnectionLoss(core_state& core, connection_id id, bool maybe_sent,
                          bool maybe_forwarded) {
  const connection_state* const entry = core.Connection(id);
  if (entry == nullptr) {
    return;
  }
  const connection_state connection = *entry;
  endpoint_pool& pool = *core.Pool(connection.endpoint);
  group_state& group = *core.Group(pool.Group());
  group.terms.OnConnectionFault(connection.endpoint, core.now);
  core.MarkDirty(group);
  RemoveConnection(core, id);
  pool.OnConnectionFault();
  caller_state* const caller = core.Caller(connection.pinned);
  if (caller != nullptr) {
    caller->transaction_lost = true;
  }
  if (request_state* const request = core.Request(connection.request)) {
    OnRequestConnectionLost(core, *request, maybe_sent, maybe_forwarded);
  }
  ProcessPool(core, pool);
}

void OnPoolTimer(core_state& core, endpoint_id id) {
  endpoint_pool* const pool = core.Pool(id);
  if (pool == nullptr) {
    return;
  }
  pool->timer.reset();
  ExpireLoans(core, *pool);
  core.Check(pool->IsWithinCapacity(core.now),
             "connections to an endpoint exceed the share and loans");
  ProcessPool(core, *pool);
}

}  // namespace marjoramslip
