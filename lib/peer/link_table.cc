// Connections to other instances, with one PUSH socket each.

#include "link_table.h"

#include <zmq.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace marjoramslip::peer {
namespace {

constexpr int kMaxQueuedMessages = 1000;  ///< For each connection.
constexpr int kReconnectMilliseconds = 50;
constexpr int kReconnectLimitMilliseconds = 1000;
constexpr int kConnectTimeoutMilliseconds = 1000;
constexpr int kHeartbeatMilliseconds = 1000;
constexpr int kHeartbeatTimeoutMilliseconds = 3000;
/// With many connections, a dead one matters less and heartbeats cost more.
constexpr int kSparseHeartbeatMilliseconds = 30000;
constexpr int kSparseHeartbeatTimeoutMilliseconds = 90000;
/// Beyond this, the least recently used unplanned connection is closed.
constexpr std::size_t kMaxUnplannedLinks = 32;
/// Maximum number of connections to senders that are not in the member list.
constexpr std::size_t kMaxUnlistedLinks = 64;
/// Number of members that receive a broadcast of revision_news in a sparse
/// mesh.
constexpr std::size_t kRevisionFanOut = 3;

}  // namespace

bool link_table::Connect(zmq_socket& socket, const std::string& address,
                         bool queue_until_connected) const {
  socket = zmq_socket(context_, ZMQ_PUSH);
  socket.SetOption(ZMQ_SNDHWM, kMaxQueuedMessages);
  socket.SetOption(ZMQ_IMMEDIATE, queue_until_connected ? 0 : 1);
  socket.SetOption(ZMQ_RECONNECT_IVL, kReconnectMilliseconds);
  socket.SetOption(ZMQ_RECONNECT_IVL_MAX, kReconnectLimitMilliseconds);
  socket.SetOption(ZMQ_CONNECT_TIMEOUT, kConnectTimeoutMilliseconds);
  socket.SetOption(ZMQ_HEARTBEAT_IVL, sparse_ ? kSparseHeartbeatMilliseconds
                                              : kHeartbeatMilliseconds);
  socket.SetOption(ZMQ_HEARTBEAT_TIMEOUT,
                   sparse_ ? kSparseHeartbeatTimeoutMilliseconds
                           : kHeartbeatTimeoutMilliseconds);
  return socket.Connect(address);
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
    peer_link created{address->second, planned, {}};
    if (Connect(created.socket, created.address, false)) {
      next.insert_or_assign(id, std::move(created));
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
  peer_link created{address, {}, {}};
  if (Connect(created.socket, created.address, false)) {
    links_.emplace(from, std::move(created));
    rotation_.push_back(from);
  }
}

void link_table::SendTo(instance_id to, const envelope& message) {
  SendBytesTo(to, Encode(message));
}

void link_table::SendBytesTo(instance_id to, const std::string& bytes) {
  const auto existing = links_.find(to);
  if (existing != links_.end()) {
    existing->second.socket.Send(bytes);
    return;
  }
  if (unplanned_link* const link = FindOrConnectUnplanned(to)) {
    link->socket.Send(bytes);
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
    unplanned_link created{address->second, 0, {}};
    if (!Connect(created.socket, created.address, true)) {
      return nullptr;
    }
    found = unplanned_links_.emplace(to, std::move(created)).first;
  }
  found->second.last_use = ++use_count_;
  return &found->second;
}

void link_table::SendThroughRotatingRelays(const envelope& message) {
  envelope relayed = message;
  relayed.relay = true;
  const std::string to_relays = Encode(relayed);
  const std::string to_own_domain = Encode(message);
  for (auto& [id, link] : links_) {
    if (link.plan.same_domain) {
      link.socket.Send(to_own_domain);
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
  const std::string to_relays = Encode(relayed);
  const std::string to_others = Encode(message);
  for (auto& [id, link] : links_) {
    link.socket.Send(link.plan.relay ? to_relays : to_others);
  }
}

void link_table::SendToNextFew(const envelope& message) {
  const std::string bytes = Encode(message);
  for (std::size_t i = 0; i < std::min(kRevisionFanOut, rotation_.size());
       ++i) {
    rotation_index_ = (rotation_index_ + 1) % rotation_.size();
    links_.at(rotation_[rotation_index_]).socket.Send(bytes);
  }
}

void link_table::RelayToDomain(const envelope& message) {
  const std::string bytes = Encode(message);
  for (auto& [id, link] : links_) {
    if (link.plan.same_domain && id != message.from) {
      link.socket.Send(bytes);
    }
  }
}

}  // namespace marjoramslip::peer
