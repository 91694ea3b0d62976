// Validates the services and groups of a catalogue as a whole.

#include "validation.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace marjoramslip {
namespace {

/// The names of one kind of object. Reports duplicate names, and names whose
/// hashes, which serve as ids, collide.
class unique_names {
 public:
  explicit unique_names(std::string kind) : kind_(std::move(kind)) {}

  void Add(const std::string& name, const json::place& at) {
    const auto [existing, added] = names_.try_emplace(HashName(name), name);
    if (added) {
      return;
    }
    at.Fault(existing->second == name
                 ? "the name is already used by another " + kind_
                 : "hash collision with the name " + existing->second +
                       "; choose a different name");
  }

 private:
  std::string kind_;
  std::map<std::uint64_t, std::string> names_;
};

/// Checks services, and that names and addresses are unique across them.
class service_validator {
 public:
  void Check(const service_spec& service, const json::place& at) {
    services_.Add(service.name, at);
    std::set<std::string, std::less<>> names;
    for (const group_spec& group : service.groups) {
      names.insert(group.name);
      CheckGroup(group, at.Member(group.name));
    }
    for (const auto& [tenant, group] : service.pins) {
      if (!names.contains(group)) {
        at.Member("pins").Member(tenant).Fault(
            "pinned to a group that the service does not have");
      }
    }
  }

 private:
  void CheckGroup(const group_spec& group, const json::place& at) {
    groups_.Add(group.name, at);
    bool has_staying_endpoint = false;
    for (const endpoint_spec& endpoint : group.endpoints) {
      has_staying_endpoint = has_staying_endpoint || !endpoint.leaving;
      CheckEndpoint(endpoint, at.Member(endpoint.name));
    }
    if (!has_staying_endpoint) {
      at.Fault("must keep at least one endpoint that is not leaving");
    }
  }

  void CheckEndpoint(const endpoint_spec& endpoint, const json::place& at) {
    endpoints_.Add(endpoint.name, at);
    const std::string address =
        endpoint.host + ":" + std::to_string(endpoint.port);
    const auto [existing, added] =
        addresses_.try_emplace(address, endpoint.name);
    if (!added && existing->second != endpoint.name) {
      at.Fault("same address as endpoint " + existing->second);
    }
  }

  unique_names services_{"service"};
  unique_names groups_{"group"};
  unique_names endpoints_{"endpoint"};
  std::map<std::string, std::string> addresses_;
};

using endpoint_names = std::set<std::string>;

std::map<std::string, endpoint_names> EndpointsByGroup(const catalogue& value) {
  std::map<std::string, endpoint_names> members;
  for (const auto& [name, service] : value.services) {
    for (const group_spec& group : service.groups) {
      for (const endpoint_spec& endpoint : group.endpoints) {
        members[group.name].insert(endpoint.name);
      }
    }
  }
  return members;
}

}  // namespace

void CheckServices(const std::vector<const service_spec*>& services,
                   const json::place& at) {
  service_validator checker;
  for (const service_spec* service : services) {
    checker.Check(*service, at.Member(service->name));
  }
}

void CheckMembership(const catalogue& from, const catalogue& to,
                     const json::place& at) {
  const auto before = EndpointsByGroup(from);
  for (const auto& [group, names] : EndpointsByGroup(to)) {
    const auto existing = before.find(group);
    if (existing == before.end()) {
      continue;
    }
    std::vector<std::string> changed;
    std::set_symmetric_difference(existing->second.begin(),
                                  existing->second.end(), names.begin(),
                                  names.end(), std::back_inserter(changed));
    if (changed.size() > 1) {
      at.Member(group).Fault(
          "may gain or lose one endpoint in a note, not " +
          std::to_string(changed.size()) +
          "; write a separate note for each, or use a new group name");
    }
  }
}

}  // namespace marjoramslip
