// The list of live instances, seats and shares.

#include "membership.h"

#include <algorithm>

namespace marjoramslip {
namespace {

constexpr std::size_t kMaxUnlistedPeers = 64;
// Time for which a delisted instance counts as one that may still act. Longer
// than `core_options::majority_lease_wait`.
constexpr duration kDelistedRetention = std::chrono::seconds(10);

}  // namespace

std::uint32_t ShareOf(std::optional<std::uint32_t> seat, std::uint32_t seats,
                      std::uint32_t connections) {
  if (!seat.has_value() || *seat >= seats) {
    return 1;
  }
  const std::uint32_t share =
      connections / seats + (*seat < connections % seats ? 1 : 0);
  return std::max<std::uint32_t>(1, share);
}

void membership::OnMembers(std::span<const member> members, instant now) {
  std::map<instance_id, member> next;
  for (const member& entry : members) {
    next.emplace(entry.id, entry);
    delisted_.erase(entry.id);
    listed_since_.try_emplace(entry.id, now);
  }
  for (const auto& [id, entry] : members_) {
    if (id != self_ && !next.contains(id) && !left_.contains(id)) {
      delisted_[id] = {entry.lease, now};
    }
  }
  std::erase_if(delisted_, [now](const auto& entry) {
    return now - entry.second.seen_at >= kDelistedRetention;
  });
  std::erase_if(listed_since_, [&](const auto& entry) {
    return !next.contains(entry.first) && !delisted_.contains(entry.first);
  });
  std::erase_if(left_, [&next](instance_id id) { return !next.contains(id); });
  members_ = std::move(next);
  unlisted_.clear();
}

void membership::OnMessageFrom(instance_id from) {
  if (members_.size() <= 1 && unlisted_.size() < kMaxUnlistedPeers &&
      from != self_) {
    unlisted_.insert(from);
  }
}

void membership::OnLeaveNotice(instance_id from) {
  unlisted_.erase(from);
  if (members_.contains(from)) {
    left_.insert(from);
  }
}

std::optional<std::uint32_t> membership::Seat() const {
  const auto self = members_.find(self_);
  return self == members_.end() ? std::nullopt : self->second.seat;
}

std::uint32_t membership::Share(std::uint32_t seats,
                                std::uint32_t connections) const {
  const std::optional<std::uint32_t> seat = Seat();
  const std::uint32_t live = LiveCount();
  if (!seat.has_value() || live <= seats) {
    return ShareOf(seat, seats, connections);
  }
  const auto rank = std::count_if(
      members_.begin(), members_.end(), [this, &seat](const auto& listed) {
        return !left_.contains(listed.first) && listed.second.seat < seat;
      });
  return ShareOf(static_cast<std::uint32_t>(rank), live, connections);
}

instance_id membership::HomeOf(group_id group) const {
  instance_id home = self_;
  std::uint64_t highest = 0;
  for (const auto& [id, entry] : members_) {
    // Rendezvous hashing: a change of the list moves few groups.
    const std::uint64_t weight =
        HashName(std::to_string(id.value ^ group.value));
    if (!entry.leaving && !left_.contains(id) && weight > highest) {
      home = id;
      highest = weight;
    }
  }
  return home;
}

std::uint32_t membership::LiveCount() const {
  return static_cast<std::uint32_t>(
      std::max<std::size_t>(1, members_.size() - left_.size()));
}

std::vector<instance_id> membership::Peers() const {
  std::vector<instance_id> peers;
  for (const auto& [id, entry] : members_) {
    if (id != self_ && !entry.leaving && !left_.contains(id)) {
      peers.push_back(id);
    }
  }
  peers.insert(peers.end(), unlisted_.begin(), unlisted_.end());
  return peers;
}

std::vector<instance_id> membership::Listed() const {
  std::vector<instance_id> listed;
  for (const auto& [id, entry] : members_) {
    // The link to the platform adds this instance to a list without it. That
    // entry has no lease.
    if (!entry.leaving && (id != self_ || entry.lease != 0)) {
      listed.push_back(id);
    }
  }
  return listed;
}

std::vector<instance_id> membership::Others() const {
  std::vector<instance_id> others;
  for (const auto& [id, entry] : members_) {
    if (id != self_ && !left_.contains(id)) {
      others.push_back(id);
    }
  }
  return others;
}

std::vector<recent_peer> membership::RecentPeers(instant now) const {
  std::vector<recent_peer> recent;
  for (const instance_id id : Others()) {
    const bool established = now - listed_since_.at(id) >= kDelistedRetention;
    recent.push_back({id, members_.at(id).lease, true, established});
  }
  for (const auto& [id, entry] : delisted_) {
    if (now - entry.seen_at < kDelistedRetention) {
      const bool established = now - listed_since_.at(id) >= kDelistedRetention;
      recent.push_back({id, entry.lease, false, established});
    }
  }
  return recent;
}

std::vector<carrier_candidate> membership::CarrierCandidates() const {
  std::vector<carrier_candidate> candidates;
  for (const auto& [id, entry] : members_) {
    if (!entry.forwarding_address.empty() && !entry.leaving &&
        !left_.contains(id)) {
      candidates.push_back(
          {id, entry.name, entry.failure_domain, entry.processor_share});
    }
  }
  return candidates;
}

std::string membership::NameOf(instance_id id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? std::to_string(id.value)
                                 : found->second.name;
}

std::vector<std::string> membership::Names() const {
  std::vector<std::string> names;
  names.reserve(members_.size());
  for (const auto& [id, entry] : members_) {
    names.push_back(entry.leaving ? entry.name + " (leaving)" : entry.name);
  }
  return names;
}

}  // namespace marjoramslip
