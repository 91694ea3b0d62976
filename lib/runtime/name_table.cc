// Collects the names of a catalogue by id.

#include "name_table.h"

namespace marjoramslip::shell {

namespace {

template <typename id>
std::string Find(const std::unordered_map<id, std::string>& names, id wanted) {
  if (wanted == id{}) {
    return {};
  }
  const auto found = names.find(wanted);
  return found == names.end() ? std::to_string(wanted.value) : found->second;
}

}  // namespace

void name_table::SetCatalogue(const catalogue& value) {
  groups_.clear();
  endpoints_.clear();
  for (const auto& [service_name, service] : value.services) {
    for (const group_spec& group : service.groups) {
      groups_[group.Id()] = group.name;
      for (const endpoint_spec& endpoint : group.endpoints) {
        endpoints_[endpoint.Id()] = endpoint.name;
      }
    }
  }
}

std::string name_table::NameOf(group_id id) const { return Find(groups_, id); }

std::string name_table::NameOf(endpoint_id id) const {
  return Find(endpoints_, id);
}

}  // namespace marjoramslip::shell
