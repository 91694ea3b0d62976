// Admits and refuses operations of accounts, and renews their tokens.

#include "limit_control.h"

#include <algorithm>
#include <utility>

#include "../requests.h"
#include "limit_exchange.h"
#include "limit_home.h"
#include "limit_waiting.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;

/// Greatest number of operations of one account that wait for tokens.
constexpr std::size_t kMaxHeld = 256;
/// Interval between requests that keep tokens for the expected demand.
constexpr duration kRefillInterval = milliseconds(100);

void Refill(core_state& core) {
  limit_state& limits = core.limits;
  if (core.now < limits.next_refill || core.draining) {
    return;
  }
  limits.next_refill = core.now + kRefillInterval;
  std::erase_if(limits.silent_until, [&core](const auto& entry) {
    return core.now >= entry.second;
  });
  limit_requests requests;
  for (auto& [id, account] : limits.accounts) {
    const std::uint32_t target = account.purse.Target(core.now);
    const std::uint32_t held = account.purse.Held(core.now);
    if (target > held && !HasPendingRequest(account)) {
      AskForTokens(core, id, account, target - held, requests);
    }
  }
  SendLimitRequests(core, requests);
}

}  // namespace

limit_decision BeginOperation(core_state& core, caller_state& caller,
                              const statement_received& statement,
                              instant arrived,
                              std::optional<operation_token>& token) {
  limited_account* const account = Limited(core, caller.account);
  if (account == nullptr) {
    return limit_decision::kMayBegin;
  }
  if (!core.limits.resuming) {
    account->purse.OnDemand(core.now);
  }
  if (core.limits.resuming || account->waiting.empty()) {
    if (const auto expires_at = account->purse.Take(core.now)) {
      ++account->used;
      token = operation_token{caller.account, *expires_at};
      return limit_decision::kMayBegin;
    }
  }
  if (account->waiting.size() >= kMaxHeld) {
    RefuseLimited(core, statement, CountLimitRefusal(core, *account));
    return limit_decision::kRefused;
  }
  caller.current_request = statement.request;
  account->waiting.push_back({statement, arrived});
  ServeWaitingOperations(core, caller.account, *account);
  return limit_decision::kHeld;
}

bool RenewTokenToSend(core_state& core, request_state& request) {
  if (!request.token.has_value() || core.now < request.token->expires_at) {
    return true;
  }
  limited_account* const account = Limited(core, request.token->account);
  if (account == nullptr) {
    return true;
  }
  const auto expires_at = account->purse.Take(core.now);
  if (!expires_at.has_value()) {
    FailRequest(core, request, CountLimitRefusal(core, *account));
    return false;
  }
  request.token->expires_at = *expires_at;
  return true;
}

void ReturnToken(core_state& core, request_state& request) {
  if (!request.token.has_value()) {
    return;
  }
  if (limited_account* const account = Limited(core, request.token->account)) {
    account->purse.Add(1, request.token->expires_at, core.now);
    --account->used;
  }
  request.token.reset();
}

void UpdateLimits(core_state& core) {
  limit_state& limits = core.limits;
  std::map<account_id, const client_account*> declared;
  for (const auto& [name, account] : core.applied_catalogue.accounts) {
    if (account.operations_per_second.has_value()) {
      declared.emplace(account.Id(), &account);
    }
  }
  for (auto& [id, account] : limits.accounts) {
    if (!declared.contains(id)) {
      RefuseWaiting(core, account);
      limits.buckets.CloseAccount(id);
      std::erase_if(limits.handed_over, [closed = id](const auto& entry) {
        return entry.first.first == closed;
      });
    }
  }
  std::erase_if(limits.accounts, [&declared](const auto& entry) {
    return !declared.contains(entry.first);
  });
  for (const auto& [id, account] : declared) {
    limited_account& known = limits.accounts[id];
    known.name = account->name;
    known.limit = {*account->operations_per_second, account->burst};
    for (std::uint32_t shard = 0; shard < kLimitShards; ++shard) {
      if (GrantsShard(core, shard)) {
        limits.buckets.Open(id, shard, core.now);
      }
    }
  }
}

void MaintainLimits(core_state& core) {
  if (core.limits.accounts.empty()) {
    return;
  }
  MaintainLimitHome(core);
  ExpireLimitRequests(core);
  RefuseOverdueOperations(core);
  Refill(core);
}

}  // namespace marjoramslip
