// Computes the serving lease from its sources.

#include "serving_lease.h"

#include <algorithm>
#include <functional>

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
    store_until_ = std::max(store_until_, renewed_at_ + options_.serving_lease);
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
        peer_until_,
        *requested_at + std::min(status.store_lease, options_.serving_lease));
  }
}

instant serving_lease::ConfirmedUntil(
    std::span<const instance_id> others) const {
  std::vector<instant> all;
  std::vector<instant> informed;
  for (const instance_id other : others) {
    const auto found = confirmed_.find(other);
    if (found == confirmed_.end()) {
      continue;
    }
    all.push_back(found->second.requested_at);
    if (found->second.informed) {
      informed.push_back(found->second.requested_at);
    }
  }
  // Together with this instance they are more than half of all.
  const std::size_t needed = (others.size() + 1) / 2;
  // One that restarted does not know what was agreed before.
  if (others.empty() || informed.size() < needed) {
    return {};
  }
  std::ranges::sort(informed, std::greater());
  const instant last_renewal = store_until_ - options_.serving_lease;
  const instant by_majority =
      std::min(informed[needed - 1] + options_.serving_lease,
               last_renewal + options_.majority_lease_limit);
  if (all.size() < others.size()) {
    return by_majority;
  }
  return std::max(by_majority, std::ranges::min(all) + options_.serving_lease);
}

instant serving_lease::Until(std::span<const instance_id> others) const {
  const instant single = std::max(store_until_, peer_until_);
  return Informed() ? std::max(single, ConfirmedUntil(others)) : single;
}

}  // namespace marjoramslip
