// Floor resolution and endpoint selection for reads.

#include "reads.h"

#include <algorithm>
#include <optional>
#include <span>

#include "connections.h"
#include "marjoramslip/core/sqlstates.h"
#include "requests.h"
#include "serving.h"

namespace marjoramslip {
namespace {

/// A leaving primary accepts requests for this long, so that its successor can
/// take over meanwhile.
constexpr duration kLeavingGracePeriod = std::chrono::seconds(3);

/// From this age on, the last reported position of a replica may be outdated
/// and the lag estimate decides. It is several times the usual lag of 20 to
/// 30 ms.
constexpr duration kUncertainPositionAge = std::chrono::milliseconds(150);
/// From this age on, the position is ignored and the replica is tried again: it
/// may have caught up even if it lagged by seconds.
constexpr duration kStalePositionAge = std::chrono::milliseconds(600);

/// Returns this instance's floor of the read's session, or null if there is
/// none.
session_floor* FindSessionFloor(core_state& core,
                                const request_state& request) {
  if (!request.settings.session.empty()) {
    return core.sessions.Find(request.settings.session, request.group);
  }
  caller_state* const caller = core.Caller(request.caller);
  if (caller == nullptr || caller->own_floor_group != request.group) {
    return nullptr;
  }
  return &caller->own_floor;
}

/// Returns the floor of the caller's own session. It is reset when the caller
/// has moved to another group.
session_floor& CallerFloor(core_state& core, const request_state& request) {
  caller_state& caller = *core.Caller(request.caller);
  if (caller.own_floor_group != request.group) {
    caller.own_floor = {};
    caller.own_floor_group = request.group;
  }
  return caller.own_floor;
}

/// The position up to which the read's session is known to have written.
struct known_floor {
  log_point point;
  /// The point is in a later term than this instance's group record.
  bool beyond_record = false;
  /// The point is beyond a fork. A later term may have gone back to it.
  bool forked = false;
};

known_floor KnownFloor(core_state& core, const group_state& group,
                       const request_state& request) {
  const term_number term = group.terms.LogTerm();
  const session_floor* const own = FindSessionFloor(core, request);
  log_point point = own != nullptr ? own->last_write_point : log_point{};
  bool beyond_record = point.term > term;
  bool forked = group.terms.IsBeyondFork(point);
  if (request.settings.token.has_value()) {
    beyond_record = beyond_record || request.settings.token->term > term;
    forked = forked || group.terms.IsBeyondFork(*request.settings.token);
    point = group.terms.Later(point, *request.settings.token);
  }
  return {point, beyond_record, forked};
}

/// Returns the earliest time at which a usable sample of the primary's position
/// was requested, or nothing if the read needs no sample.
std::optional<instant> EarliestSampleTime(core_state& core,
                                          const group_state& group,
                                          const request_state& request) {
  const statement_settings& settings = request.settings;
  if (settings.max_staleness.has_value()) {
    return request.arrived_at - *settings.max_staleness;
  }
  if (settings.token.has_value()) {
    return std::nullopt;
  }
  if (!settings.session.empty()) {
    return request.arrived_at;
  }
  session_floor& own = CallerFloor(core, request);
  if (own.sampled && group.terms.IsFloorLost(own.base)) {
    own.sampled = false;
  }
  if (own.sampled) {
    return std::nullopt;
  }
  return request.arrived_at;
}

void ReportLostFloor(core_state& core, request_state& request) {
  if (request.settings.session.empty()) {
    CallerFloor(core, request) = {};
  } else {
    core.sessions.Erase(request.settings.session, request.group);
  }
  FailRequest(core, request,
              {verdict::kNotRun, sqlstate::kFloorLost,
               "a write of this session was lost in a change of primary"});
}

/// Resolves the floor of a read. Returns false if the read waits or has ended.
bool ResolveFloor(core_state& core, group_state& group,
                  request_state& request) {
  if (!ValidateKnownFloor(core, request)) {
    return false;
  }
  log_point floor = KnownFloor(core, group, request).point;
  const std::optional<instant> since = EarliestSampleTime(core, group, request);
  const bool own_session = request.settings.session.empty() &&
                           !request.settings.max_staleness.has_value() &&
                           !request.settings.token.has_value();
  if (since.has_value()) {
    const auto sample = group.terms.SampleSince(*since, core.now);
    if (!sample.has_value() &&
        ServingPhase(core, group) == serving_phase::kSuspended) {
      RefuseWithoutLease(core, request);
      return false;
    }
    if (!sample.has_value()) {
      request.sample_since = *since;
      MoveTo(core, request, request_stage::kAwaitingSample);
      core.MarkDirty(group);
      return false;
    }
    floor = group.terms.Later(floor, *sample);
    if (own_session) {
      session_floor& own = CallerFloor(core, request);
      own.base = *sample;
      own.sampled = true;
    }
  } else if (own_session) {
    floor = group.terms.Later(floor, CallerFloor(core, request).base);
  }
  request.floor = floor;
  return true;
}

/// Fills `core.candidates`, which is reused between calls, with the endpoints
/// that could serve the read.
std::span<const read_candidate> CollectCandidates(
    core_state& core, const group_state& group, const request_state& request) {
  core.read_candidates.clear();
  for (const auto& [id, view] : group.terms.Endpoints()) {
    const endpoint_pool* const pool = core.Pool(id);
    const bool primary = id == group.terms.Primary() && group.terms.Open();
    if (pool == nullptr || !AcceptsRequests(core, id)) {
      continue;
    }
    if (!primary &&
        (!group.terms.ServesReads(id) ||
         (pool->BackingOff(core.now) && !pool->HasIdle(request.account)))) {
      continue;
    }
    core.read_candidates.push_back(MakeCandidate(core, group, request, id));
  }
  return core.read_candidates;
}

std::optional<duration> TimeSinceWrite(core_state& core,
                                       const request_state& request) {
  const session_floor* const own = FindSessionFloor(core, request);
  if (own == nullptr || !own->last_write_at.has_value()) {
    return std::nullopt;
  }
  return core.now - *own->last_write_at;
}

void AwaitPosition(core_state& core, group_state& group,
                   request_state& request) {
  if (!request.position_wait_since.has_value()) {
    request.position_wait_since = core.now;
    core.Count(counter::kReplicaWaits, request.group);
  }
  MoveTo(core, request, request_stage::kAwaitingPosition);
  core.MarkDirty(group);
}

/// Returns true if the read may be tried at a replica: the replica is known to
/// have reached the floor, or the databases check positions themselves and the
/// replica has probably reached it by now. A failed attempt costs a connection
/// slot at the replica and a retry here.
bool MayHaveReached(const core_state& core, const group_state& group,
                    endpoint_id endpoint, log_point floor) {
  if (group.terms.Reaches(endpoint, floor)) {
    return true;
  }
  const endpoint_view* const view = group.terms.View(endpoint);
  if (view == nullptr || group.terms.Service().term_bound) {
    return false;
  }
  const duration age = core.now - view->log_sampled_at;
  return age >= kStalePositionAge ||
         (age >= kUncertainPositionAge &&
          group.lag.HasLikelyReached(endpoint, floor.position, core.now));
}

/// Returns true if another candidate that reaches the floor looks cheaper.
bool IsCostlierThanAnother(std::span<const read_candidate> candidates,
                           endpoint_id chosen) {
  const auto found = std::find_if(
      candidates.begin(), candidates.end(),
      [chosen](const read_candidate& one) { return one.endpoint == chosen; });
  return found != candidates.end() &&
         std::any_of(candidates.begin(), candidates.end(),
                     [&found](const read_candidate& one) {
                       return one.reaches_floor && CostOf(one) < CostOf(*found);
                     });
}

}  // namespace

bool ValidateKnownFloor(core_state& core, request_state& request) {
  const group_state& group = *core.Group(request.group);
  const known_floor known = KnownFloor(core, group, request);
  if (known.beyond_record) {
    core.Emit(read_record{request.group});
    MoveTo(core, request, request_stage::kAwaitingTerm);
    return false;
  }
  if (known.forked && !group.terms.HoldsPermit(core.now)) {
    request.sample_since = core.now;
    MoveTo(core, request, request_stage::kAwaitingSample);
    core.MarkDirty(*core.Group(request.group));
    return false;
  }
  if (group.terms.IsFloorLost(known.point)) {
    ReportLostFloor(core, request);
    return false;
  }
  return true;
}

bool AcceptsRequests(core_state& core, endpoint_id endpoint) {
  const endpoint_pool* const pool = core.Pool(endpoint);
  if (pool == nullptr) {
    return false;
  }
  const auto& leaving = pool->LeavingSince();
  return !leaving.has_value() || core.now - *leaving < kLeavingGracePeriod;
}

bool MayServe(core_state& core, const group_state& group,
              const request_state& request, endpoint_id endpoint) {
  const log_point floor = request.floor.value_or(log_point{});
  if (endpoint == group.terms.Primary() && group.terms.Open()) {
    return AcceptsRequests(core, endpoint) &&
           floor.term <= group.terms.Term() && !group.terms.IsFloorLost(floor);
  }
  return group.terms.ServesReads(endpoint) &&
         MayHaveReached(core, group, endpoint, floor);
}

read_candidate MakeCandidate(core_state& core, const group_state& group,
                             const request_state& request,
                             endpoint_id endpoint) {
  const endpoint_view* const view = group.terms.View(endpoint);
  return {.endpoint = endpoint,
          .primary = endpoint == group.terms.Primary() && group.terms.Open(),
          .same_domain = view != nullptr && view->spec.failure_domain ==
                                                core.options.failure_domain,
          .reaches_floor = MayServe(core, group, request, endpoint),
          .expected_duration = core.Pool(endpoint)->ExpectedCompletionTime(),
          .lag = group.lag.ExpectedLag(endpoint),
          .load = core.Pool(endpoint)->ReplicaLoad(core.now)};
}

void AdvanceRead(core_state& core, request_state& request) {
  group_state& group = *core.Group(request.group);
  const service_spec& service = group.terms.Service();
  const read_router& router = RouterOf(service.reads);
  if (router.NeedsFloor() && !ResolveFloor(core, group, request)) {
    return;
  }
  const duration waited = request.position_wait_since.has_value()
                              ? core.now - *request.position_wait_since
                              : duration::zero();
  const std::span<const read_candidate> candidates =
      CollectCandidates(core, group, request);
  // A single instance knows all statements; its estimate needs no chance.
  const bool shared = core.members.LiveCount() > 1;
  const auto endpoint = router.Choose(
      {.candidates = candidates,
       .waited = waited,
       .replica_wait = service.replica_wait,
       .time_since_write = TimeSinceWrite(core, request),
       .sticky_duration = service.sticky,
       .random = shared ? std::optional(core.random()) : std::nullopt});
  if (!endpoint.has_value()) {
    AwaitPosition(core, group, request);
    return;
  }
  if (shared && IsCostlierThanAnother(candidates, *endpoint)) {
    core.Count(counter::kReadsPlacedElsewhere, request.group);
  }
  Enqueue(core, request, *endpoint);
}

}  // namespace marjoramslip
