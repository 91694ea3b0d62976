// Builds the JSON objects of a report, one function a struct.

#include "status_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace marjoramslip::shell {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object NewObject() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

const char* NameOf(group_phase phase) {
  switch (phase) {
    case group_phase::kOpen:
      return "open";
    case group_phase::kDraining:
      return "draining";
    case group_phase::kSealed:
      return "sealed";
  }
  return "open";
}

Object ToJson(const endpoint_state& state) {
  Object json = NewObject();
  json.set("term", state.term);
  json.set("log_term", state.log_term);
  json.set("position", state.position);
  json.set("role",
           state.role == endpoint_role::kPrimary ? "primary" : "replica");
  return json;
}

Object ToJson(const endpoint_report& endpoint) {
  Object json = NewObject();
  json.set("name", endpoint.name);
  json.set("failure_domain", endpoint.failure_domain);
  json.set("state", ToJson(endpoint.state));
  json.set("leaving", endpoint.leaving);
  json.set("suspected", endpoint.suspected);
  json.set("evidence_age",
           static_cast<std::int64_t>(endpoint.evidence_age.count()));
  json.set("connections", endpoint.connections);
  json.set("busy", endpoint.busy);
  json.set("share", endpoint.share);
  json.set("in_flight", endpoint.in_flight);
  Object waiting = NewObject();
  for (const auto& [priority, count] : endpoint.waiting) {
    waiting.set(std::to_string(priority), count);
  }
  json.set("waiting_by_priority", waiting);
  return json;
}

Object ToJson(const fork_point& fork) {
  Object json = NewObject();
  json.set("term", fork.term);
  json.set("parent", fork.parent);
  json.set("start", fork.start);
  return json;
}

Object ToJson(const group_record& record, const name_table& names) {
  Array forks;
  for (const fork_point& fork : record.forks.Forks()) {
    forks.add(ToJson(fork));
  }
  Array witnesses;
  for (const endpoint_id witness : record.witnesses) {
    witnesses.add(names.NameOf(witness));
  }
  Object json = NewObject();
  json.set("term", record.term);
  json.set("primary", names.NameOf(record.primary));
  json.set("phase", NameOf(record.phase));
  json.set("candidate", names.NameOf(record.candidate));
  json.set("candidate_chosen", record.candidate_chosen);
  json.set("candidate_point", FormatLogPoint(record.candidate_point));
  json.set("forks", forks);
  json.set("witnesses", witnesses);
  return json;
}

Object ToJson(const change_report& change) {
  const auto closed =
      std::chrono::duration_cast<std::chrono::milliseconds>(change.closed_for);
  Object json = NewObject();
  json.set("stage", std::string(marjoramslip::NameOf(change.stage)));
  json.set("closed_for_ms", static_cast<std::int64_t>(closed.count()));
  json.set("attempts", change.attempts);
  json.set("last_answer", change.last_answer);
  return json;
}

Object ToJson(const group_report& group, const name_table& names) {
  Array endpoints;
  for (const endpoint_report& endpoint : group.endpoints) {
    endpoints.add(ToJson(endpoint));
  }
  Object json = NewObject();
  json.set("service", group.service);
  json.set("name", group.name);
  json.set("record", ToJson(group.record, names));
  json.set("record_revision", group.record_revision);
  json.set("permit", group.permit);
  if (group.change.stage != change_stage::kNone) {
    json.set("change", ToJson(group.change));
  }
  json.set("queued", group.queued);
  if (!group.carriers.empty()) {
    Array carriers;
    for (const std::string& name : group.carriers) {
      carriers.add(name);
    }
    json.set("carriers", carriers);
    json.set("forwarded", group.forwarded);
  }
  json.set("endpoints", endpoints);
  return json;
}

Object ToJson(const account_report& account) {
  Object json = NewObject();
  json.set("name", account.name);
  json.set("operations_per_second", account.operations_per_second);
  json.set("burst", account.burst);
  json.set("granted", account.granted);
  json.set("used", account.used);
  json.set("refused", account.refused);
  return json;
}

}  // namespace

std::string FormatStatus(const status_report& report, const name_table& names) {
  Array members;
  for (const std::string& member : report.members) {
    members.add(member);
  }
  Array groups;
  for (const group_report& group : report.groups) {
    groups.add(ToJson(group, names));
  }
  Object json = NewObject();
  json.set("instance", report.instance);
  json.set("catalogue_revision", report.catalogue_revision);
  json.set("service_reachable", report.service_reachable);
  json.set("draining", report.draining);
  json.set("callers", report.callers);
  json.set("requests", report.requests);
  json.set("sessions", report.sessions);
  json.set("members", members);
  json.set("groups", groups);
  if (!report.accounts.empty()) {
    Array accounts;
    for (const account_report& account : report.accounts) {
      accounts.add(ToJson(account));
    }
    json.set("accounts", accounts);
  }
  std::ostringstream out;
  json.stringify(out);
  return out.str();
}

}  // namespace marjoramslip::shell
