// Plans the connections between instances by failure domain.

#include "mesh.h"

#include <algorithm>
#include <array>
#include <bit>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace marjoramslip::peer {
namespace {

/// Sorts relay candidates: members that are not leaving come first, then by
/// rendezvous weight.
std::vector<const member*> SortRelayCandidates(
    instance_id self, std::vector<const member*> members) {
  std::ranges::sort(members, {}, [self](const member* peer) {
    return std::tuple(peer->leaving, RendezvousWeight(self, peer->id),
                      peer->id);
  });
  return members;
}

std::string_view FailureDomainOf(instance_id self,
                                 std::span<const member> members) {
  const auto found = std::ranges::find(members, self, &member::id);
  return found == members.end() ? std::string_view() : found->failure_domain;
}

}  // namespace

std::uint64_t RendezvousWeight(instance_id self, instance_id other) {
  const std::array<std::uint64_t, 2> pair{self.value, other.value};
  const auto bytes = std::bit_cast<std::array<char, sizeof(pair)>>(pair);
  return HashName(std::string_view(bytes.data(), bytes.size()));
}

std::map<instance_id, planned_link> PlanLinks(instance_id self,
                                              std::span<const member> members,
                                              std::size_t full_mesh_limit) {
  const std::string_view own_domain = FailureDomainOf(self, members);
  const bool full_mesh = members.size() <= full_mesh_limit;
  std::map<instance_id, planned_link> plan;
  std::map<std::string_view, std::vector<const member*>> remote_members;
  for (const member& peer : members) {
    if (peer.id == self) {
      continue;
    }
    const bool same_domain = peer.failure_domain == own_domain;
    if (full_mesh || same_domain) {
      plan[peer.id] = {.same_domain = same_domain, .relay = false};
    } else {
      remote_members[peer.failure_domain].push_back(&peer);
    }
  }
  for (auto& [domain, candidates] : remote_members) {
    std::vector<const member*> ranked =
        SortRelayCandidates(self, std::move(candidates));
    ranked.resize(std::min(ranked.size(), kRelaysPerDomain));
    for (const member* const peer : ranked) {
      plan[peer->id] = {.same_domain = false, .relay = true};
    }
  }
  return plan;
}

}  // namespace marjoramslip::peer
