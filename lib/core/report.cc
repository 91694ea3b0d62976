// Builds the status report from the reducer's state.

#include "report.h"

namespace marjoramslip {
namespace {

endpoint_report ReportEndpoint(const core_state& core, const group_state& group,
                               const endpoint_view& view, instant now) {
  endpoint_report report;
  const endpoint_id id = view.spec.Id();
  report.name = view.spec.name;
  report.failure_domain = view.spec.failure_domain;
  report.state = view.state;
  report.leaving = view.spec.leaving;
  report.suspected = group.terms.Suspects(id);
  report.evidence_age = view.state_sampled_at.has_value()
                            ? now - *view.state_sampled_at
                            : duration::max();
  if (const auto pool = core.pools.find(id); pool != core.pools.end()) {
    report.connections = pool->second.Connections();
    report.busy = pool->second.Busy();
    report.share = pool->second.Share();
    report.in_flight = pool->second.InFlight();
    report.waiting = pool->second.Waiting().CountByPriority();
  }
  return report;
}

group_report ReportGroup(const core_state& core, const group_state& group,
                         instant now) {
  group_report report;
  report.service = group.terms.Service().name;
  report.name = group.name;
  report.record = group.terms.Record().record;
  report.record_revision = group.terms.Record().revision;
  report.permit = group.terms.HoldsPermit(now);
  report.change = group.terms.Change(now);
  report.queued = group.request_count - group.sent_requests;
  report.forwarded = group.forwarded_requests;
  for (const carrier& entry : group.carriers) {
    report.carriers.push_back(entry.name);
  }
  for (const auto& [id, view] : group.terms.Endpoints()) {
    report.endpoints.push_back(ReportEndpoint(core, group, view, now));
  }
  return report;
}

}  // namespace

status_report MakeReport(const core_state& core, instant now) {
  status_report report;
  report.instance = core.options.instance_name;
  report.catalogue_revision = core.applied_catalogue.revision;
  report.service_reachable = core.store_reachable;
  report.draining = core.draining;
  report.callers = static_cast<std::uint32_t>(core.callers.size());
  report.requests = static_cast<std::uint32_t>(core.requests.size());
  report.sessions = static_cast<std::uint32_t>(core.sessions.size());
  report.members = core.members.Names();
  for (const auto& [id, group] : core.groups) {
    report.groups.push_back(ReportGroup(core, *group, now));
  }
  for (const auto& [id, account] : core.limits.accounts) {
    report.accounts.push_back({account.name, account.limit.rate,
                               account.limit.burst, account.granted,
                               account.used, account.refused});
  }
  return report;
}

}  // namespace marjoramslip
