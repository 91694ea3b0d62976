// Maps tenants to groups.

#include "marjoramslip/catalogue/catalogue.h"

#include <algorithm>
#include <tuple>

namespace marjoramslip {
namespace {

/// Returns the rendezvous-hash score of a group for a tenant. The group with
/// the highest score holds the tenant, so a new group moves only the tenants
/// for which it has the highest score.
std::uint64_t Score(const group_spec& group, std::string_view tenant) {
  std::string text(tenant);
  text += '\0';
  text += group.name;
  return HashName(text);
}

}  // namespace

const group_spec* GroupForTenant(const service_spec& service,
                                 std::string_view tenant) {
  const auto pin = service.pins.find(tenant);
  if (pin != service.pins.end()) {
    const auto pinned = std::find_if(
        service.groups.begin(), service.groups.end(),
        [&](const group_spec& group) { return group.name == pin->second; });
    return pinned == service.groups.end() ? nullptr : &*pinned;
  }
  const group_spec* best = nullptr;
  std::uint64_t best_score = 0;
  for (const group_spec& group : service.groups) {
    const std::uint64_t score = Score(group, tenant);
    const bool wins = best == nullptr || std::tie(score, group.name) >
                                             std::tie(best_score, best->name);
    if (wins) {
      best = &group;
      best_score = score;
    }
  }
  return best;
}

}  // namespace marjoramslip
