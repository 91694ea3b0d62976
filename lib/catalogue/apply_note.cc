// Applies release notes to catalogues.

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/catalogue/release_note.h"
#include "marjoramslip/json/document.h"
#include "validation.h"

namespace marjoramslip {
namespace {

using json::place;

void WithdrawServices(const release_note& note, catalogue& target,
                      const place& at) {
  std::set<std::string, std::less<>> withdrawn;
  for (std::size_t i = 0; i < note.withdraw.size(); ++i) {
    const std::string& name = note.withdraw[i];
    const bool duplicate = !withdrawn.insert(name).second;
    if (duplicate) {
      at.Item(i).Fault("duplicate name: " + name);
    } else if (target.services.erase(name) == 0) {
      at.Item(i).Fault("unknown service " + name);
    }
  }
}

void PutServices(const release_note& note,
                 const std::vector<std::string>& withdrawn, catalogue& target,
                 const place& at) {
  std::set<std::string, std::less<>> used_names(withdrawn.begin(),
                                                withdrawn.end());
  for (std::size_t i = 0; i < note.put.size(); ++i) {
    const service_spec& service = note.put[i];
    if (!used_names.insert(service.name).second) {
      at.Item(i).Fault("service is put twice or also withdrawn by this note: " +
                       service.name);
      continue;
    }
    target.services[service.name] = service;
  }
}

endpoint_spec* FindEndpoint(catalogue& target, const std::string& name) {
  for (auto& [service_name, service] : target.services) {
    for (group_spec& group : service.groups) {
      for (endpoint_spec& endpoint : group.endpoints) {
        if (endpoint.name == name) {
          return &endpoint;
        }
      }
    }
  }
  return nullptr;
}

void MarkEndpoints(const std::vector<std::string>& names, bool leaving,
                   catalogue& target, std::set<std::string>& marked,
                   const place& at) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    endpoint_spec* endpoint = FindEndpoint(target, names[i]);
    if (endpoint == nullptr) {
      at.Item(i).Fault("unknown endpoint " + names[i]);
      continue;
    }
    if (!marked.insert(names[i]).second) {
      at.Item(i).Fault("duplicate name in leave and stay: " + names[i]);
      continue;
    }
    endpoint->leaving = leaving;
  }
}

std::string OtherBase(const catalogue& base, const release_note& note) {
  return "the note was written against revision " + std::to_string(note.base) +
         ", but the newest is " + std::to_string(base.revision);
}

/// Applies a note without regard to its base.
catalogue Apply(const catalogue& base, const release_note& note,
                const place& at) {
  catalogue target = base;
  target.revision = base.revision + 1;
  WithdrawServices(note, target, at.Member("withdraw"));
  PutServices(note, note.withdraw, target, at.Member("put"));
  std::set<std::string> marked;
  MarkEndpoints(note.leave, true, target, marked, at.Member("leave"));
  MarkEndpoints(note.stay, false, target, marked, at.Member("stay"));

  std::vector<const service_spec*> services;
  for (const auto& [name, service] : target.services) {
    services.push_back(&service);
  }
  CheckServices(services, at.Member("services"));
  CheckMembership(base, target, at.Member("groups"));
  return target;
}

}  // namespace

applied_note TryNote(const catalogue& base, const release_note& note) {
  std::vector<json::problem> problems;
  const place at(problems);
  if (note.base != base.revision) {
    at.Member("base").Fault(OtherBase(base, note) +
                            "; write it again for that one");
  }
  applied_note applied;
  applied.value = Apply(base, note, at);
  for (json::problem& problem : problems) {
    applied.faults.push_back(
        {std::move(problem.path), std::move(problem.message)});
  }
  return applied;
}

result<catalogue> ApplyNote(const catalogue& base, const release_note& note) {
  if (note.base != base.revision) {
    return Fail(error_kind::kConflict, OtherBase(base, note));
  }
  std::vector<json::problem> problems;
  catalogue target = Apply(base, note, place(problems));
  if (!problems.empty()) {
    return Fail(error_kind::kInvalid, json::Summarize(problems));
  }
  return target;
}

}  // namespace marjoramslip
