// Collects the confirmations of the instances that may act.

#include "limit_succession.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marjoramslip {

void limit_succession::OnList(std::span<const instance_id> listed,
                              instant requested_at, instant now) {
  history_.Add(listed, requested_at, now);
  listed_.assign(listed.begin(), listed.end());
  std::erase_if(left_at_, [now](const auto& entry) {
    return now - entry.second > kLeaveLifetime;
  });
  std::erase_if(confirmed_, [now](const auto& entry) {
    return now - entry.second.asked_at > kConfirmationLifetime;
  });
  std::erase_if(acting_at_, [now](const auto& entry) {
    return now - entry.second > kConfirmationLifetime;
  });
}

void limit_succession::OnWitness(std::vector<instance_id> recent,
                                 instant asked_at) {
  if (!witness_.has_value() || asked_at >= witness_->asked_at) {
    witness_ = witness{asked_at, std::move(recent)};
  }
}

void limit_succession::OnConfirmed(instance_id peer, instant asked_at,
                                   bool steady) {
  confirmation& known = confirmed_[peer];
  if (asked_at >= known.asked_at) {
    known = {asked_at, steady};
  }
}

void limit_succession::OnActing(instance_id peer, instant asked_at) {
  instant& at = acting_at_[peer];
  at = std::max(at, asked_at);
}

bool limit_succession::Witnessed(instant now) const {
  return history_.Covers(now) ||
         (witness_.has_value() &&
          now - witness_->asked_at <= kConfirmationLifetime);
}

bool limit_succession::IsListed(instance_id id) const {
  return std::ranges::find(listed_, id) != listed_.end();
}

bool limit_succession::HasLeft(instance_id id, instant now) const {
  const auto left = left_at_.find(id);
  return left != left_at_.end() && now - left->second <= kLeaveLifetime &&
         !IsListed(id);
}

const limit_succession::confirmation* limit_succession::Confirmation(
    instance_id id, instant since, instant now) const {
  const auto found = confirmed_.find(id);
  const bool counts = found != confirmed_.end() &&
                      found->second.asked_at >= since &&
                      now - found->second.asked_at <= kConfirmationLifetime;
  return counts ? &found->second : nullptr;
}

std::vector<instance_id> limit_succession::Candidates(instant now) const {
  std::set<instance_id> ids(listed_.begin(), listed_.end());
  const std::vector<instance_id> own = history_.Recent(now);
  ids.insert(own.begin(), own.end());
  if (witness_.has_value() &&
      now - witness_->asked_at <= kConfirmationLifetime) {
    ids.insert(witness_->recent.begin(), witness_->recent.end());
  }
  // Two processes of one name do not run at once.
  ids.erase(self_);
  return {ids.begin(), ids.end()};
}

std::vector<instance_id> limit_succession::Unconfirmed(instant since,
                                                       instant now) const {
  std::vector<instance_id> missing;
  for (const instance_id id : Candidates(now)) {
    if (!HasLeft(id, now) && Confirmation(id, since, now) == nullptr) {
      missing.push_back(id);
    }
  }
  return missing;
}

bool limit_succession::OnlyActingLeft(instant since, instant now) const {
  return std::ranges::all_of(Unconfirmed(since, now), [&](instance_id id) {
    const auto found = acting_at_.find(id);
    return found != acting_at_.end() &&
           now - found->second <= kConfirmationLifetime;
  });
}

std::optional<instant> limit_succession::CompleteAt(instant since, bool steady,
                                                    instant now) const {
  if (!Witnessed(now)) {
    return std::nullopt;
  }
  const std::vector<instance_id> missing = Unconfirmed(since, now);
  if (missing.size() > 1 || (!missing.empty() && IsListed(missing.front()))) {
    return std::nullopt;
  }
  instant asked_at = since;
  for (const instance_id id : Candidates(now)) {
    if (const confirmation* const known = Confirmation(id, since, now)) {
      asked_at = std::max(asked_at, known->asked_at);
      steady = steady && known->steady;
    } else if (missing.empty() || id != missing.front()) {
      steady = false;  // It left; nobody vouches for it.
    }
  }
  return missing.empty() || steady ? std::optional(asked_at) : std::nullopt;
}

}  // namespace marjoramslip
