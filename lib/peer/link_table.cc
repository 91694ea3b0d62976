// Chooses the connections that messages go over.

#include "link_table.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "peer_stream.h"

namespace marjoramslip::peer {
namespace {

/// A peer that keeps up has nothing queued. Messages are of some hundred bytes
/// to some KB, and a catalogue of at most 1 MiB on the platform.
constexpr std::size_t kMaxQueuedBytes = 4U << 20U;
/// A sender that is not in the member list may be a stranger.
constexpr std::size_t kMaxUnlistedQueuedBytes = 256U << 10U;
/// For all connections together: 1,000 messages of 300 bytes for each of 84.
constexpr std::size_t kMaxAllQueuedBytes = 32U << 20U;
constexpr duration kHeartbeat = std::chrono::seconds(1);
constexpr duration kHeartbeatTimeout = std::chrono::seconds(3);
/// With many connections, a dead one matters less and heartbeats cost more.
constexpr duration kSparseHeartbeat = std::chrono::seconds(30);
constexpr duration kSparseHeartbeatTimeout = std::chrono::seconds(90);
/// Beyond this, the least recently used unplanned connection is closed.
constexpr std::size_t kMaxUnplannedLinks = 32;
/// Maximum number of connections to senders that are not in the member list.
constexpr std::size_t kMaxUnlistedLinks = 64;
/// Number of members that receive a broadcast of revision_news in a sparse
/// mesh.
constexpr std::size_t kRevisionFanOut = 3;

shared_bytes EncodeShared(const envelope& message) {
  return std::make_shared<const std::string>(Encode(message));
}

}  // namespace

link_table::link_table(shell::event_loop& loop, instance_id self,
                       std::size_t full_mesh_limit)
    : loop_(loop),
      self_(self),
      full_mesh_limit_(full_mesh_limit),
      queued_{.limit = kMaxAllQueuedBytes} {}

std::unique_ptr<outgoing_link> link_table::Connect(
    const std::string& address, outgoing_link_options options) {
  if (!address.starts_with(kPeerScheme)) {
    return nullptr;
  }
  options.heartbeat_interval = sparse_ ? kSparseHeartbeat : kHeartbeat;
  options.heartbeat_timeout =
      sparse_ ? kSparseHeartbeatTimeout : kHeartbeatTimeout;
  return std::make_unique<outgoing_link>(
      loop_, address.substr(kPeerScheme.size()), options, queued_);
}

void link_table::SetMembers(std::span<const member> members) {
  addresses_.clear();
  for (const member& peer : members) {
    if (peer.id != self_ && !peer.peer_address.empty()) {
      addresses_.emplace(peer.id, peer.peer_address);
    }
  }
  std::erase_if(unplanned_links_, [this](const auto& peer) {
    const auto found = addresses_.find(peer.first);
    return found == addresses_.end() || found->second != peer.second.address;
  });
  const auto plan = PlanLinks(self_, members, full_mesh_limit_);
  sparse_ = members.size() > full_mesh_limit_;
  remote_domains_.clear();
  for (const member& peer : members) {
    if (!plan.contains(peer.id) || !plan.at(peer.id).same_domain) {
      if (addresses_.contains(peer.id)) {
        remote_domains_[peer.failure_domain].push_back(peer.id);
      }
    }
  }
  std::map<instance_id, peer_link> next;
  for (const auto& [id, planned] : plan) {
    const auto address = addresses_.find(id);
    if (address == addresses_.end()) {
      continue;
    }
    auto existing = links_.extract(id);
    if (!existing.empty() && existing.mapped().address == address->second) {
      existing.mapped().plan = planned;
      next.insert(std::move(existing));
      continue;
    }
    auto connection =
        Connect(address->second, {.max_queued_bytes = kMaxQueuedBytes});
    if (connection != nullptr) {
      next.insert_or_assign(
          id, peer_link{address->second, planned, std::move(connection)});
    }
    unplanned_links_.erase(id);
  }
  links_ = std::move(next);
  rotation_.clear();
  for (const auto& [id, link] : links_) {
    rotation_.push_back(id);
  }
  std::ranges::sort(rotation_, {}, [this](instance_id id) {
    return RendezvousWeight(self_, id);
  });
}

void link_table::ConnectToSender(instance_id from, const std::string& address) {
  const bool listed = addresses_.contains(from);
  const bool below_limit =
      links_.size() < addresses_.size() + kMaxUnlistedLinks;
  if (address.empty() || from == self_ || listed || links_.contains(from) ||
      !below_limit) {
    return;
  }
  auto connection =
      Connect(address, {.max_queued_bytes = kMaxUnlistedQueuedBytes});
  if (connection != nullptr) {
    links_.emplace(from, peer_link{address, {}, std::move(connection)});
    rotation_.push_back(from);
  }
}

void link_table::SendTo(instance_id to, const envelope& message) {
  SendBytesTo(to, EncodeShared(message));
}

void link_table::SendBytesTo(instance_id to, const shared_bytes& bytes) {
  const auto existing = links_.find(to);
  if (existing != links_.end()) {
    existing->second.connection->Send(bytes);
    return;
  }
  if (unplanned_link* const link = FindOrConnectUnplanned(to)) {
    link->connection->Send(bytes);
  }
}

link_table::unplanned_link* link_table::FindOrConnectUnplanned(instance_id to) {
  const auto address = addresses_.find(to);
  if (address == addresses_.end()) {
    return nullptr;
  }
  auto found = unplanned_links_.find(to);
  if (found == unplanned_links_.end()) {
    if (unplanned_links_.size() >= kMaxUnplannedLinks) {
      unplanned_links_.erase(std::ranges::min_element(
          unplanned_links_, {},
          [](const auto& peer) { return peer.second.last_use; }));
    }
    auto connection =
        Connect(address->second, {.queues_while_unconnected = true,
                                  .max_queued_bytes = kMaxQueuedBytes});
    if (connection == nullptr) {
      return nullptr;
    }
    found = unplanned_links_
                .emplace(to, unplanned_link{address->second, 0,
                                            std::move(connection)})
                .first;
  }
  found->second.last_use = ++use_count_;
  return &found->second;
}

void link_table::SendThroughRotatingRelays(const envelope& message) {
  envelope relayed = message;
  relayed.relay = true;
  const shared_bytes to_relays = EncodeShared(relayed);
  const shared_bytes to_own_domain = EncodeShared(message);
  for (auto& [id, link] : links_) {
    if (link.plan.same_domain) {
      link.connection->Send(to_own_domain);
    }
  }
  for (const auto& [domain, ids] : remote_domains_) {
    for (std::size_t i = 0; i < std::min(kRelaysPerDomain, ids.size()); ++i) {
      SendBytesTo(ids[(relay_rotation_ + i) % ids.size()], to_relays);
    }
  }
  relay_rotation_ += kRelaysPerDomain;
}

void link_table::SendToAll(const envelope& message) {
  if (sparse_ && std::holds_alternative<serving_status>(message.message)) {
    SendThroughRotatingRelays(message);
    return;
  }
  if (sparse_ && std::holds_alternative<revision_update>(message.message)) {
    SendToNextFew(message);
    return;
  }
  envelope relayed = message;
  relayed.relay = true;
  const shared_bytes to_relays = EncodeShared(relayed);
  const shared_bytes to_others = EncodeShared(message);
  for (auto& [id, link] : links_) {
    link.connection->Send(link.plan.relay ? to_relays : to_others);
  }
}

void link_table::SendToNextFew(const envelope& message) {
  const shared_bytes bytes = EncodeShared(message);
  for (std::size_t i = 0; i < std::min(kRevisionFanOut, rotation_.size());
       ++i) {
    rotation_index_ = (rotation_index_ + 1) % rotation_.size();
    links_.at(rotation_[rotation_index_]).connection->Send(bytes);
  }
}

void link_table::RelayToDomain(const envelope& message) {
  const shared_bytes bytes = EncodeShared(message);
  for (auto& [id, link] : links_) {
    if (link.plan.same_domain && id != message.from) {
      link.connection->Send(bytes);
    }
  }
}

}  // namespace marjoramslip::peer
