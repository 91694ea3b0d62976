// Follows the list of members and its age.

#include "limit_authority.h"

#include <algorithm>

namespace marjoramslip {
namespace {

/// How long answers on the store are kept. Longer than a home instance waits
/// after it asked.
constexpr duration kKeptReports = std::chrono::seconds(3);

}  // namespace

void limit_authority::OnList(std::span<const instance_id> listed,
                             instant requested_at, instant now) {
  EndIfStale(now);
  if (requested_at < requested_at_) {
    return;
  }
  succession_.OnList(listed, requested_at, now);
  const duration gap = now - requested_at_;
  requested_at_ = requested_at;
  listed_.assign(listed.begin(), listed.end());
  if (std::ranges::find(listed_, self_) != listed_.end()) {
    own_listed_ = listed_;
  }
  for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
    ApplyList(shard, gap, now);
  }
}

void limit_authority::ApplyList(std::uint32_t shard, duration gap,
                                instant now) {
  ranked_[shard] = RankHomes(listed_, shard);
  const bool named = !ranked_[shard].empty() && ranked_[shard].front() == self_;
  tenure& held = tenures_[shard];
  if (!held.started && (!named || gap > kMaxListGap)) {
    // A list that was missed may have named another instance.
    held = {};
  }
  if (named) {
    held.since = held.since.value_or(now);
    held.named_at = requested_at_;
  }
}

void limit_authority::OnStoreReport(instance_id peer, duration store_lease,
                                    instant asked_at, instant now) {
  EndIfStale(now);
  const auto holds = [peer](const std::vector<instance_id>& list) {
    return std::ranges::find(list, peer) != list.end();
  };
  if (!holds(listed_) && !holds(own_listed_)) {
    return;
  }
  if (store_lease <= duration::zero()) {
    instant& at = lost_at_[peer];
    at = std::max(at, asked_at);
    std::erase_if(lost_at_, [now](const auto& entry) {
      return now - entry.second > kKeptReports;
    });
  } else if (store_lease >= kReachableStoreLease &&
             now - asked_at <= kPromptReport) {
    reaching_[asked_at].insert(peer);
    std::erase_if(reaching_, [now](const auto& entry) {
      return now - entry.first > kKeptReports;
    });
  }
}

bool limit_authority::Acts(std::uint32_t shard, instant now) {
  EndIfStale(now);
  tenure& held = tenures_[shard];
  held.started = held.started || MayStart(held, now);
  return held.started;
}

bool limit_authority::IsHome() const {
  for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
    const std::vector<instance_id>& ranked = ranked_[shard];
    if (tenures_[shard].since.has_value() ||
        (!ranked.empty() && ranked.front() == self_)) {
      return true;
    }
  }
  return false;
}

std::uint32_t limit_authority::ShardsToClaim() const {
  std::uint32_t shards = 0;
  for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
    const tenure& held = tenures_[shard];
    if (held.since.has_value() && !held.started) {
      shards |= 1U << shard;
    }
  }
  return shards;
}

instant limit_authority::ClaimedSince() const {
  instant latest{};
  for (const tenure& held : tenures_) {
    if (!held.started) {
      latest = std::max(latest, held.since.value_or(latest));
    }
  }
  return latest;
}

std::optional<instant> limit_authority::ListNeeded(instant now) const {
  return ShardsToClaim() == 0
             ? std::nullopt
             : succession_.CompleteAt(ClaimedSince(), steady_, now);
}

std::vector<instance_id> limit_authority::UnconfirmedPeers() const {
  const instant latest = ClaimedSince();
  std::vector<instance_id> peers;
  for (const instance_id peer : listed_) {
    const auto found = confirmed_at_.find(peer);
    if (peer != self_ &&
        (found == confirmed_at_.end() || found->second < latest)) {
      peers.push_back(peer);
    }
  }
  return peers;
}

std::optional<instant> limit_authority::ConfirmedAt(const tenure& held) const {
  instant at = *held.since;
  for (const instance_id peer : listed_) {
    const auto found = confirmed_at_.find(peer);
    if (peer == self_) {
      continue;
    }
    if (found == confirmed_at_.end() || found->second < *held.since) {
      return std::nullopt;
    }
    at = std::max(at, found->second);
  }
  return at;
}

bool limit_authority::AwaitsReports(instant now) const {
  return std::ranges::any_of(tenures_, [this, now](const tenure& held) {
    return held.since.has_value() && !held.started &&
           (now >= *held.since + kListLifetime + kHandoverMargin ||
            ConfirmedAt(held).has_value());
  });
}

void limit_authority::EndIfStale(instant now) {
  const bool supported = MajorityLostStore(now);
  const bool renewed =
      renewed_at_ == instant{} || now - renewed_at_ <= kRenewalLifetime;
  for (tenure& held : tenures_) {
    const duration age = now - held.named_at;
    const bool fresh = renewed && age <= kListLifetime;
    if (age > kOutageListLifetime || (!fresh && !supported)) {
      held = {};
    }
  }
}

bool limit_authority::MajorityLostStore(instant now) const {
  const auto reports = std::ranges::count_if(own_listed_, [&](instance_id id) {
    const auto found = lost_at_.find(id);
    return found != lost_at_.end() &&
           now - found->second <= kOutageReportLifetime;
  });
  return 2 * static_cast<std::size_t>(reports) > own_listed_.size();
}

bool limit_authority::MajorityReachesStore(instant from, instant to) const {
  return std::any_of(
      reaching_.lower_bound(from), reaching_.end(),
      [this, to](const auto& entry) {
        const auto listed =
            std::ranges::count_if(entry.second, [this](instance_id peer) {
              return std::ranges::find(listed_, peer) != listed_.end();
            });
        return entry.first <= to &&
               2 * static_cast<std::size_t>(listed) > listed_.size();
      });
}

bool limit_authority::MayStart(const tenure& held, instant now) const {
  if (!held.since.has_value()) {
    return false;
  }
  if (requested_at_ >= *held.since + kOutageListLifetime + kHandoverMargin) {
    return true;
  }
  const auto complete_at = succession_.CompleteAt(*held.since, steady_, now);
  if (complete_at.has_value() && requested_at_ >= *complete_at) {
    return true;
  }
  const instant reported_by = now - kOutageReportLifetime - kHandoverMargin;
  // A single instance has nobody to confirm.
  const auto confirmed_at =
      listed_.size() > 1 ? ConfirmedAt(held) : std::nullopt;
  if (confirmed_at.has_value() && requested_at_ >= *confirmed_at &&
      MajorityReachesStore(*confirmed_at, reported_by)) {
    return true;
  }
  const instant former_ended = *held.since + kListLifetime + kHandoverMargin;
  return requested_at_ >= former_ended &&
         MajorityReachesStore(former_ended, reported_by);
}

}  // namespace marjoramslip
