// Computes the serving lease from its three sources.

#include "serving_lease.h"

#include <algorithm>

namespace marjoramslip {
namespace {

/// Number of requests to peers whose sending times are kept. A lease outlasts
/// fewer requests than these.
constexpr std::size_t kMaxSentRequests = 32;

}  // namespace

void serving_lease::OnRenewed(instant requested_at, instant announced_at) {
  renewed_at_ = std::max(renewed_at_, requested_at);
  announced_at_ = announced_at;
  if (records_read_at_ >= announced_at_) {
    store_until_ = std::max(store_until_, renewed_at_ + length_);
  }
}

void serving_lease::OnRecordsRead(instant requested_at) {
  records_read_at_ = std::max(records_read_at_, requested_at);
  if (renewed_at_ != instant{}) {
    OnRenewed(renewed_at_, announced_at_);
  }
}

std::uint64_t serving_lease::StartRequest(instant now) {
  sent_.push_back({++last_sequence_, now});
  if (sent_.size() > kMaxSentRequests) {
    sent_.pop_front();
  }
  return last_sequence_;
}

void serving_lease::OnHeard(instance_id peer, std::uint64_t sequence) {
  heard_[peer] = sequence;
}

std::vector<serving_echo> serving_lease::Echoes() const {
  std::vector<serving_echo> echoes;
  echoes.reserve(heard_.size());
  for (const auto& [peer, sequence] : heard_) {
    echoes.push_back({peer, sequence});
  }
  return echoes;
}

std::optional<instant> serving_lease::SentAt(std::uint64_t sequence) const {
  const auto found = std::find_if(sent_.begin(), sent_.end(),
                                  [sequence](const sent_request& request) {
                                    return request.sequence == sequence;
                                  });
  return found == sent_.end() ? std::nullopt : std::optional(found->sent_at);
}

void serving_lease::OnConfirmed(instance_id peer, const serving_status& status,
                                std::uint64_t echoed) {
  const std::optional<instant> requested_at = SentAt(echoed);
  if (!requested_at.has_value()) {
    return;
  }
  confirmation& known = confirmed_[peer];
  if (*requested_at >= known.requested_at) {
    known = {*requested_at, status.informed};
  }
  if (Informed() && status.store_lease > duration::zero()) {
    // A lease longer than any is malformed.
    peer_until_ = std::max(
        peer_until_, *requested_at + std::min(status.store_lease, length_));
  }
}

instant serving_lease::Until(std::span<const instance_id> others) const {
  const instant single = std::max(store_until_, peer_until_);
  if (!Informed() || others.empty()) {
    return single;
  }
  instant oldest = instant::max();
  std::size_t informed = 1;  // Counts this instance.
  for (const instance_id other : others) {
    const auto found = confirmed_.find(other);
    if (found == confirmed_.end()) {
      return single;
    }
    oldest = std::min(oldest, found->second.requested_at);
    informed += found->second.informed ? 1 : 0;
  }
  // One that restarted during the outage does not know what was agreed before.
  const bool majority_informed = informed * 2 > others.size() + 1;
  return majority_informed ? std::max(single, oldest + length_) : single;
}

}  // namespace marjoramslip
