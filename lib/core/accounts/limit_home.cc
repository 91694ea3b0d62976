// Maintains this instance's authority over shards and hands it over.

#include "limit_home.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "../serving.h"
#include "limit_exchange.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;

/// Interval between reads of the list of members by a home instance.
constexpr duration kListReadInterval = milliseconds(500);
/// Interval between requests for peers' reports of the store.
constexpr duration kReportInterval = milliseconds(250);
/// Interval between claims of shards, and time for the answer to one.
constexpr duration kClaimInterval = milliseconds(250);
/// Age up to which a process claims shards from young processes only and gives
/// up its own to them. Where all processes are as young, as after a loss of
/// power, no former home acts, and the wait for the end of its authority is not
/// needed.
constexpr duration kYoungProcess = std::chrono::seconds(10);
/// How long an instance has not reported a loss of the store when it vouches
/// that it supports no other. Its reports count for 0.9 s, and confirmations
/// that are used together are up to 1 s apart.
constexpr duration kNoLossReported = milliseconds(2100);
/// How long it has ended no membership. An instance whose membership is ended
/// acts for up to 2.8 s; the rest covers a slow call to the store.
constexpr duration kNoMembershipEnded = std::chrono::seconds(8);

/// Greatest number of tokens that one answer hands over for an account and
/// shard, so that sums do not overflow.
constexpr std::uint32_t kMaxHandedOver = 1'000'000;

bool IsYoung(const core_state& core) {
  return core.now - core.started_at <= kYoungProcess;
}

/// True if neither this process nor an earlier one of the same name supports
/// another home or has ended a membership whose holder may act still.
bool IsSteady(const core_state& core) {
  return core.lease.Informed() &&
         core.now - core.started_at >= kNoMembershipEnded &&
         core.now - core.limits.reported_loss_at >= kNoLossReported &&
         core.now - core.limits.membership_ended_at >= kNoMembershipEnded &&
         std::ranges::all_of(core.groups, [&core](const auto& entry) {
           return core.now - entry.second->terms.LastMembershipEnd() >=
                  kNoMembershipEnded;
         });
}

/// Sends a claim to `recipients` and notes it.
void SendClaim(core_state& core, std::span<const instance_id> recipients,
               std::uint32_t shards, limit_claim::scope scope) {
  if (recipients.empty()) {
    return;
  }
  const std::uint64_t ticket = core.limits.next_ticket++;
  core.limits.claims[ticket] = {core.now, scope, {}};
  for (const instance_id peer : recipients) {
    core.Emit(send_peer_message{peer, limit_claim{ticket, shards, scope}});
  }
}

/// Returns the other instances that are the homes of shards. They read lists at
/// short intervals.
std::vector<instance_id> OtherHomes(const core_state& core) {
  std::set<instance_id> homes;
  for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
    const auto ranked = core.limits.authority.Ranked(shard);
    if (!ranked.empty() && ranked.front() != core.self) {
      homes.insert(ranked.front());
    }
  }
  return {homes.begin(), homes.end()};
}

void ClaimShards(core_state& core) {
  limit_state& limits = core.limits;
  const std::uint32_t shards = limits.authority.ShardsToClaim();
  if (shards == 0 || core.now < limits.next_claim) {
    return;
  }
  limits.next_claim = core.now + kClaimInterval;
  std::erase_if(limits.claims, [&core](const auto& claim) {
    return core.now - claim.second.sent_at >= kClaimInterval;
  });
  const limit_succession& succession = limits.authority.Succession();
  if (succession.Witnessed(core.now)) {
    const instant since = limits.authority.ClaimedSince();
    SendClaim(core, succession.Unconfirmed(since, core.now), shards,
              succession.OnlyActingLeft(since, core.now)
                  ? limit_claim::scope::kActing
                  : limit_claim::scope::kAll);
    return;
  }
  SendClaim(core, OtherHomes(core), 0, limit_claim::scope::kAll);
  if (IsYoung(core)) {
    SendClaim(core, limits.authority.UnconfirmedPeers(), shards,
              limit_claim::scope::kYoung);
  }
}

/// Gives up a shard. Adds what its buckets hold to `balances` if this instance
/// may grant it until now.
void HandOver(core_state& core, std::uint32_t shard,
              std::vector<limit_claim_ack::balance>& balances) {
  limit_state& limits = core.limits;
  if (GrantsShard(core, shard)) {
    for (const auto& [id, account] : limits.accounts) {
      if (const auto tokens =
              limits.buckets.Release(id, shard, account.limit, core.now)) {
        balances.push_back({id, shard, *tokens});
      }
    }
  }
  limits.buckets.CloseShard(shard);
  limits.opened_for[shard].reset();
  limits.authority.Yield(shard);
}

bool GrantsAny(core_state& core, std::uint32_t shards) {
  for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
    if ((shards >> shard & 1U) != 0 && GrantsShard(core, shard)) {
      return true;
    }
  }
  return false;
}

/// Reads the list of members where its age is due, or where only a newer one is
/// missing before this instance begins to act.
void ReadMembersIfDue(core_state& core) {
  limit_state& limits = core.limits;
  const auto needed = limits.authority.ListNeeded(core.now);
  const bool missing = needed.has_value() && limits.list_read_at < *needed;
  if (missing || core.now >= limits.list_read_at + kListReadInterval) {
    limits.list_read_at = core.now;
    core.Emit(read_members{});
  }
}

}  // namespace

bool GrantsShard(core_state& core, std::uint32_t shard) {
  limit_state& limits = core.limits;
  const bool acts = limits.authority.Acts(shard, core.now);
  const std::optional<instant> run = limits.authority.RunSince(shard);
  if (acts && limits.opened_for[shard] != run) {
    // Buckets begin with what the former home handed over.
    limits.opened_for[shard] = run;
    limits.buckets.CloseShard(shard);
    for (const auto& [id, account] : limits.accounts) {
      const auto found = limits.handed_over.find({id, shard});
      limits.buckets.Open(id, shard, core.now,
                          found == limits.handed_over.end()
                              ? std::nullopt
                              : std::optional(found->second));
    }
    std::erase_if(limits.handed_over, [shard](const auto& entry) {
      return entry.first.second == shard;
    });
    limits.last_home[shard] = core.self;
    core.Emit(send_peer_message{instance_id{}, limit_home{1U << shard}});
  }
  return acts;
}

void MaintainLimitHome(core_state& core) {
  limit_state& limits = core.limits;
  if (!limits.authority.IsHome()) {
    return;
  }
  limits.authority.SetSteady(IsSteady(core));
  ReadMembersIfDue(core);
  for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
    GrantsShard(core, shard);
  }
  ClaimShards(core);
  const bool asks = limits.authority.AwaitsReports(core.now) &&
                    core.now >= limits.next_report_request;
  const duration lease =
      std::max(duration::zero(), core.lease.StoreUntil() - core.now);
  if (core.lease.Informed() && (asks || lease == duration::zero())) {
    limits.authority.OnStoreReport(core.self, lease, core.now, core.now);
  }
  if (asks) {
    limits.next_report_request = core.now + kReportInterval;
    AskAllPeers(core);
  }
}

void UpdateLimitMembers(core_state& core, instant requested_at) {
  core.limits.authority.OnList(core.members.Listed(), requested_at, core.now);
}

void OnLimitPeerLeft(core_state& core, instance_id peer) {
  core.limits.authority.Succession().OnLeft(peer, core.now);
}

void OnLimitClaim(core_state& core, instance_id from,
                  const limit_claim& claim) {
  limit_authority& authority = core.limits.authority;
  limit_claim_ack answer{.ticket = claim.ticket,
                         .confirmed = false,
                         .young = IsYoung(core),
                         .steady = IsSteady(core),
                         .covered = false,
                         .recent = {},
                         .balances = {}};
  if (claim.shards == 0) {
    const list_history& history = authority.Succession().History();
    answer.covered = history.Covers(core.now);
    if (answer.covered) {
      answer.recent = history.Recent(core.now);
    }
    core.Emit(send_peer_message{from, std::move(answer)});
    return;
  }
  if (claim.asked == limit_claim::scope::kYoung && !answer.young) {
    // The claimant waits for the end of this instance's authority.
    return;
  }
  if (claim.asked != limit_claim::scope::kAll ||
      !GrantsAny(core, claim.shards)) {
    for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
      if ((claim.shards >> shard & 1U) != 0) {
        HandOver(core, shard, answer.balances);
      }
    }
    answer.confirmed = true;
  }
  core.Emit(send_peer_message{from, std::move(answer)});
}

void OnLimitClaimAck(core_state& core, instance_id from,
                     const limit_claim_ack& answer) {
  limit_state& limits = core.limits;
  const auto found = limits.claims.find(answer.ticket);
  if (found == limits.claims.end() ||
      !found->second.answered.insert(from).second) {
    return;
  }
  const sent_limit_claim& claim = found->second;
  limit_succession& succession = limits.authority.Succession();
  const bool was_witnessed = succession.Witnessed(core.now);
  if (answer.covered) {
    succession.OnWitness(answer.recent, claim.sent_at);
  }
  if (answer.confirmed && claim.asked == limit_claim::scope::kYoung) {
    limits.authority.OnYoungConfirmed(from, claim.sent_at);
  } else if (answer.confirmed) {
    succession.OnConfirmed(from, claim.sent_at, answer.steady);
  } else {
    succession.OnActing(from, claim.sent_at);
  }
  for (const limit_claim_ack::balance& left : answer.balances) {
    if (left.shard < kLimitShards && Limited(core, left.account) != nullptr) {
      // The bucket's capacity bounds the sum.
      std::uint32_t& tokens = limits.handed_over[{left.account, left.shard}];
      tokens += std::min(left.tokens, kMaxHandedOver);
    }
  }
  const bool all_answered =
      claim.asked == limit_claim::scope::kAll &&
      succession.OnlyActingLeft(limits.authority.ClaimedSince(), core.now);
  if (succession.Witnessed(core.now) && (!was_witnessed || all_answered)) {
    limits.next_claim = core.now;
    ClaimShards(core);
  }
}

void OnLimitHome(core_state& core, instance_id from, const limit_home& notice) {
  limit_state& limits = core.limits;
  for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
    if ((notice.shards >> shard & 1U) != 0) {
      limits.last_home[shard] = from;
      limits.silent_until.erase({from, shard});
    }
  }
}

}  // namespace marjoramslip
