// The platform's metadata store for randomised runs.

#include "platform_store.h"

namespace marjoramslip::random_runs {

namespace {

/// The time of a lease; `membership_lease` in the settings.
constexpr duration kLease = std::chrono::seconds(5);

}  // namespace

void platform_store::EndExpired(instant now) {
  std::erase_if(leases_,
                [now](const auto& lease) { return lease.second <= now; });
  std::erase_if(members_, [this](const auto& listed) {
    return !leases_.contains(listed.second.lease);
  });
  if (duty_.has_value() && !leases_.contains(duty_->lease)) {
    duty_.reset();
  }
}

std::uint64_t platform_store::GrantLease(instant now) {
  const std::uint64_t lease = NextRevision();
  leases_[lease] = now + kLease;
  return lease;
}

bool platform_store::KeepAlive(std::uint64_t lease, instant now) {
  EndExpired(now);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return false;
  }
  found->second = now + kLease;
  return true;
}

void platform_store::EndLease(std::uint64_t lease, instant now) {
  leases_.erase(lease);
  EndExpired(now);
}

bool platform_store::Announce(member entry, std::uint64_t lease, instant now) {
  EndExpired(now);
  if (!leases_.contains(lease)) {
    return false;
  }
  const auto earlier = members_.find(entry.id);
  if (earlier != members_.end() && earlier->second.lease != lease) {
    EndLease(earlier->second.lease, now);
  }
  entry.lease = lease;
  members_[entry.id] = std::move(entry);
  return true;
}

std::uint64_t platform_store::LeaseOf(instance_id listed) const {
  const auto found = members_.find(listed);
  return found == members_.end() ? 0 : found->second.lease;
}

std::uint64_t platform_store::ClaimDuty(instance_id holder, std::uint64_t lease,
                                        instant now) {
  EndExpired(now);
  if (!duty_.has_value() && leases_.contains(lease)) {
    duty_ = {holder, lease, NextRevision()};
  }
  const bool held = duty_.has_value() && duty_->lease == lease;
  return held ? duty_->fence : 0;
}

bool platform_store::WriteRecord(const write_record& what) {
  if (record_.revision != what.expected_revision) {
    return false;
  }
  record_ = {what.record, NextRevision()};
  return true;
}

void platform_store::PauseLeases(duration length) {
  for (auto& [lease, until] : leases_) {
    until += length;
  }
}

const std::optional<platform_store::duty_key>& platform_store::Duty(
    instant now) {
  EndExpired(now);
  return duty_;
}

std::vector<member> platform_store::Members(instant now) {
  EndExpired(now);
  std::vector<member> listed;
  for (const auto& [id, entry] : members_) {
    listed.push_back(entry);
  }
  return listed;
}

}  // namespace marjoramslip::random_runs
