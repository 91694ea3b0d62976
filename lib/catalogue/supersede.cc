// Joins the endpoints of one catalogue and the declarations of another.

#include "marjoramslip/catalogue/supersede.h"

namespace marjoramslip {

std::optional<catalogue> Supersede(const catalogue& in_force,
                                   const catalogue& update) {
  const bool newer = update.revision > in_force.revision;
  if (in_force.revision == 0 ||
      update.declared_version == in_force.declared_version) {
    return newer ? std::optional(update) : std::nullopt;
  }
  const bool declared_newer =
      update.declared_version > in_force.declared_version;
  if (newer == declared_newer) {
    return newer ? std::optional(update) : std::nullopt;
  }
  catalogue joined = declared_newer ? update : in_force;
  const catalogue& placed = newer ? update : in_force;
  joined.revision = placed.revision;
  for (auto& [name, service] : joined.services) {
    const auto found = placed.services.find(name);
    if (found != placed.services.end()) {
      service.groups = found->second.groups;
    }
  }
  return joined;
}

}  // namespace marjoramslip
