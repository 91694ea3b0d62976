// Asks shards in turn, and answers requests for their tokens.

#include "limit_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "limit_home.h"
#include "limit_waiting.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;

/// Time after which a request to a home instance counts as lost.
constexpr duration kReplyTimeout = milliseconds(100);
/// Time for which a home instance that did not answer is not asked.
constexpr duration kSilencePenalty = milliseconds(500);
/// The same for one that does not act for the shard.
constexpr duration kNotHomePenalty = milliseconds(200);
/// Number of instances that are asked for a shard in turn. The second is the
/// home in the view of those that no longer list the first.
constexpr std::size_t kCandidates = 3;
/// Least time for which a shard without tokens is not asked again.
constexpr duration kMinExhausted = milliseconds(20);
/// Greatest number of tokens in one request for an account.
constexpr std::uint32_t kMaxWanted = 400;

bool MayAsk(core_state& core, std::uint32_t shard, instance_id id) {
  if (id == core.self) {
    return GrantsShard(core, shard);
  }
  const auto silent = core.limits.silent_until.find({id, shard});
  return silent == core.limits.silent_until.end() || core.now >= silent->second;
}

/// Returns the instance to ask for a shard; empty if there is none. The one
/// that granted last may act on while lists are incomplete after an outage.
std::optional<instance_id> HomeToAsk(core_state& core, std::uint32_t shard) {
  const instance_id last = core.limits.last_home[shard];
  if (last != instance_id{} && MayAsk(core, shard, last)) {
    return last;
  }
  const auto ranked = core.limits.authority.Ranked(shard);
  for (std::size_t i = 0; i < std::min(kCandidates, ranked.size()); ++i) {
    if (MayAsk(core, shard, ranked[i])) {
      return ranked[i];
    }
  }
  return std::nullopt;
}

void Apply(core_state& core, limited_account& account, std::uint32_t shard,
           std::uint32_t wanted, const token_grant& grant, instant sent_at) {
  account.purse.Add(grant.tokens, sent_at + TokenLifetime(account.limit),
                    core.now);
  account.granted += grant.tokens;
  if (grant.tokens < wanted) {
    account.shards[shard].exhausted_until =
        core.now + std::clamp(grant.retry_after, kMinExhausted, kMaxExhausted);
  }
}

}  // namespace

limited_account* Limited(core_state& core, account_id id) {
  const auto found = core.limits.accounts.find(id);
  return found == core.limits.accounts.end() ? nullptr : &found->second;
}

/// Asks the next shard of an account for tokens.
ask_result AskForTokens(core_state& core, account_id id,
                        limited_account& account, std::uint32_t wanted,
                        limit_requests& requests) {
  limit_state& limits = core.limits;
  wanted = std::min(wanted, kMaxWanted);
  for (std::uint32_t tried = 0; tried < kLimitShards; ++tried) {
    const std::uint32_t shard = account.next_shard++ % kLimitShards;
    limited_account::shard_view& view = account.shards[shard];
    if (view.ticket != 0 || core.now < view.exhausted_until) {
      continue;
    }
    const std::optional<instance_id> home = HomeToAsk(core, shard);
    if (!home.has_value()) {
      continue;
    }
    if (*home == core.self) {
      Apply(core, account, shard, wanted,
            limits.buckets.Take(id, shard, account.limit, wanted, core.now),
            core.now);
      return ask_result::kAnswered;
    }
    requests[*home].parts.push_back({id, shard, wanted});
    view.ticket = 1;  // Numbered when it is sent.
    return ask_result::kSent;
  }
  return ask_result::kNone;
}

void SendLimitRequests(core_state& core, limit_requests& requests) {
  limit_state& limits = core.limits;
  for (auto& [home, request] : requests) {
    const std::uint64_t ticket = limits.next_ticket++ | 1;
    limits.next_ticket = ticket + 1;
    limit_request message;
    message.ticket = ticket;
    for (const limit_request::part& part : request.parts) {
      limits.accounts.at(part.account).shards[part.shard].ticket = ticket;
      message.parts.push_back(part);
    }
    request.home = home;
    request.sent_at = core.now;
    core.Count(counter::kLimitRequests);
    core.Emit(send_peer_message{home, std::move(message)});
    limits.pending[ticket] = std::move(request);
  }
  requests.clear();
}

bool HasPendingRequest(const limited_account& account) {
  return std::ranges::any_of(account.shards,
                             [](const auto& view) { return view.ticket != 0; });
}

void ExpireLimitRequests(core_state& core) {
  limit_state& limits = core.limits;
  std::vector<account_id> affected;
  for (auto entry = limits.pending.begin(); entry != limits.pending.end();) {
    const pending_limit_request& request = entry->second;
    if (core.now - request.sent_at < kReplyTimeout) {
      ++entry;
      continue;
    }
    core.Count(counter::kLimitUnanswered);
    for (const limit_request::part& part : request.parts) {
      limits.silent_until[{request.home, part.shard}] =
          core.now + kSilencePenalty;
      limits.last_home[part.shard] = {};
      limited_account* const account = Limited(core, part.account);
      if (account != nullptr &&
          account->shards[part.shard].ticket == entry->first) {
        account->shards[part.shard].ticket = 0;
        affected.push_back(part.account);
      }
    }
    entry = limits.pending.erase(entry);
  }
  for (const account_id id : affected) {
    ServeWaitingOperations(core, id, limits.accounts.at(id));
  }
}

void OnLimitRequest(core_state& core, instance_id from,
                    const limit_request& request) {
  limit_grant answer;
  answer.ticket = request.ticket;
  for (const limit_request::part& part : request.parts) {
    limit_grant::part& out = answer.parts.emplace_back();
    out.account = part.account;
    out.shard = part.shard;
    const limited_account* const account = Limited(core, part.account);
    out.is_home = account != nullptr && part.shard < kLimitShards &&
                  GrantsShard(core, part.shard);
    if (out.is_home) {
      const token_grant grant = core.limits.buckets.Take(
          part.account, part.shard, account->limit, part.wanted, core.now);
      out.tokens = grant.tokens;
      out.retry_after = grant.retry_after;
    }
  }
  core.Emit(send_peer_message{from, std::move(answer)});
}

void OnLimitGrant(core_state& core, instance_id from,
                  const limit_grant& grant) {
  limit_state& limits = core.limits;
  const auto found = limits.pending.find(grant.ticket);
  if (found == limits.pending.end() || found->second.home != from) {
    return;
  }
  const pending_limit_request request = std::move(found->second);
  limits.pending.erase(found);
  for (const limit_request::part& asked : request.parts) {
    limited_account* const account = Limited(core, asked.account);
    if (account == nullptr ||
        account->shards[asked.shard].ticket != grant.ticket) {
      continue;
    }
    account->shards[asked.shard].ticket = 0;
    const auto part =
        std::ranges::find_if(grant.parts, [&](const limit_grant::part& entry) {
          return entry.account == asked.account && entry.shard == asked.shard;
        });
    if (part == grant.parts.end() || !part->is_home) {
      limits.silent_until[{from, asked.shard}] = core.now + kNotHomePenalty;
      limits.last_home[asked.shard] = {};
    } else {
      limits.last_home[asked.shard] = from;
      Apply(core, *account, asked.shard, asked.wanted,
            {std::min(part->tokens, asked.wanted), part->retry_after},
            request.sent_at);
    }
  }
  for (const limit_request::part& asked : request.parts) {
    if (limited_account* const account = Limited(core, asked.account)) {
      ServeWaitingOperations(core, asked.account, *account);
    }
  }
}

}  // namespace marjoramslip
