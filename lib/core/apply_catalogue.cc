// Applies catalogues in the order of their revisions.

#include "apply_catalogue.h"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "accounts/identification.h"
#include "accounts/limit_control.h"
#include "connections.h"
#include "evidence_relay.h"
#include "forwarding.h"
#include "groups.h"
#include "marjoramslip/catalogue/supersede.h"
#include "requests.h"

namespace marjoramslip {
namespace {

group_state& CreateOrUpdateGroup(core_state& core, const service_spec& service,
                                 const group_spec& spec) {
  auto& entry = core.groups[spec.Id()];
  if (entry == nullptr) {
    entry = std::make_unique<group_state>(core.options, service, spec);
  } else {
    entry->terms.SetSpec(service, spec);
  }
  entry->withdrawn = false;
  entry->terms.SetPeers(core.members.RecentPeers(core.now),
                        core.members_requested_at, core.members_known_since);
  entry->terms.SetServingUntil(core.lease.Until(core.members.Others()));
  entry->terms.SetDuty(core.duty);
  return *entry;
}

/// Stops new work for an endpoint that is leaving or no longer in the group.
void StopNewWork(core_state& core, endpoint_pool& pool) {
  pool.SetLeaving(true, core.now);
  CloseExcessIdle(core, pool);
}

void ApplyGroup(core_state& core, const service_spec& service,
                const group_spec& spec) {
  group_state& group = CreateOrUpdateGroup(core, service, spec);
  for (const endpoint_spec& endpoint : spec.endpoints) {
    const endpoint_id id = endpoint.Id();
    group.pool_ids.insert(id);
    endpoint_pool& pool =
        core.pools.try_emplace(id, id, spec.Id()).first->second;
    if (endpoint.leaving) {
      StopNewWork(core, pool);
    } else {
      pool.SetLeaving(false, core.now);
    }
  }
  for (const endpoint_id id : group.pool_ids) {
    if (group.terms.View(id) == nullptr) {
      StopNewWork(core, *core.Pool(id));
    }
  }
  WakeGroup(core, group);
  core.MarkDirty(group);
}

/// Routes requests queued for leaving endpoints again.
void RerouteFromLeaving(core_state& core, group_state& group) {
  for (const endpoint_id id : group.pool_ids) {
    endpoint_pool& pool = *core.Pool(id);
    if (pool.LeavingSince().has_value()) {
      RerouteQueued(core, pool, admission_class::kWrite);
      RerouteQueued(core, pool, admission_class::kRead);
    }
  }
}

/// Advances requests that wait for a term: a primary that is declared again can
/// take them.
void ResumeAwaitingTerm(core_state& core, const group_state& group) {
  const std::vector<request_id> waiting(group.awaiting_term.begin(),
                                        group.awaiting_term.end());
  for (const request_id id : waiting) {
    request_state* const request = core.Request(id);
    if (request != nullptr && request->stage == request_stage::kAwaitingTerm &&
        request->retry_not_before <= core.now) {
      Advance(core, *request);
    }
  }
}

void DropPool(core_state& core, endpoint_id id) {
  const endpoint_pool* const pool = core.Pool(id);
  const std::vector<connection_id> connections(pool->All().begin(),
                                               pool->All().end());
  for (const connection_id connection : connections) {
    CloseConnection(core, connection);
  }
  endpoint_pool& empty_pool = *core.Pool(id);
  core.timers.Cancel({timer_kind::kPool, id.value}, empty_pool.timer);
  core.pools.erase(id);
}

}  // namespace

void ApplyCatalogue(core_state& core, const catalogue& received) {
  std::optional<catalogue> next = Supersede(core.applied_catalogue, received);
  if (!next.has_value()) {
    return;
  }
  core.applied_catalogue = std::move(*next);
  ++core.catalogues_applied;
  const catalogue& update = core.applied_catalogue;
  UpdateAccounts(core);
  UpdateCallerKeys(core);
  // Before anything is sent under the new catalogue.
  const std::vector<request_id> moved = IdentifyQueuedRequests(core);
  std::set<group_id> declared;
  for (const auto& [name, service] : update.services) {
    // A group gets the settings of its service without the list of groups.
    service_spec settings = service;
    settings.groups.clear();
    for (const group_spec& spec : service.groups) {
      declared.insert(spec.Id());
      ApplyGroup(core, settings, spec);
    }
  }
  for (const auto& [id, group] : core.groups) {
    if (!declared.contains(id)) {
      group->withdrawn = true;
      WakeGroup(core, *group);
    }
    RerouteFromLeaving(core, *group);
  }
  UpdateCarriers(core);
  ChooseHomes(core);
  UpdateLimits(core);
  UpdateShares(core);
  RerouteAfterCarrierChange(core);
  for (const auto& [id, group] : core.groups) {
    ResumeAwaitingTerm(core, *group);
  }
  for (const request_id id : moved) {
    request_state* const request = core.Request(id);
    if (request != nullptr && request->stage == request_stage::kNew) {
      Advance(core, *request);
    }
  }
  core.Log(log_level::kInfo, "notes.applied",
           "revision " + std::to_string(update.revision));
  core.Emit(send_peer_message{{}, RevisionOf(update)});
}

revision_update RevisionOf(const catalogue& value) {
  return {value.revision, value.declared_version};
}

bool DropIfUnused(core_state& core, group_state& group) {
  std::vector<endpoint_id> unused;
  const bool group_unused = group.withdrawn && group.request_count == 0 &&
                            group.open_transactions == 0;
  for (const endpoint_id id : group.pool_ids) {
    const endpoint_pool& pool = *core.Pool(id);
    const bool endpoint_unused = group.terms.View(id) == nullptr &&
                                 pool.Connections() == 0 &&
                                 pool.Waiting().Count() == 0;
    if (group_unused || endpoint_unused) {
      unused.push_back(id);
    }
  }
  for (const endpoint_id id : unused) {
    DropPool(core, id);
    group.pool_ids.erase(id);
  }
  if (!group_unused) {
    return false;
  }
  core.Log(log_level::kInfo, "group.withdrawn", group.name, group.terms.Id());
  core.groups.erase(group.terms.Id());
  return true;
}

group_state* ResolveGroup(core_state& core, caller_state& caller) {
  if (caller.resolved_in == core.catalogues_applied &&
      caller.resolved_in != 0) {
    return core.Group(caller.group);
  }
  std::string_view name = caller.service;
  caller.route = {};
  if (core.applied_catalogue.routed) {
    const auto route = core.applied_catalogue.routes.find(caller.service);
    if (route == core.applied_catalogue.routes.end()) {
      return nullptr;
    }
    name = route->second.service;
    caller.route = {route->second.reads,
                    route->second.max_staleness,
                    route->second.statement_timeout,
                    route->second.objective,
                    route->second.is_public,
                    route->second.priority};
  }
  const auto service = core.applied_catalogue.services.find(name);
  if (service == core.applied_catalogue.services.end()) {
    return nullptr;
  }
  const group_spec* const spec = GroupForTenant(service->second, caller.tenant);
  if (spec == nullptr) {
    return nullptr;
  }
  caller.group = spec->Id();
  caller.resolved_in = core.catalogues_applied;
  return core.Group(caller.group);
}

}  // namespace marjoramslip
