// Resumes or refuses operations that wait for tokens.

#include "limit_waiting.h"

#include <algorithm>
#include <string>
#include <utility>

#include "../callers.h"
#include "limit_exchange.h"
#include "marjoramslip/core/sqlstates.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;

/// Longest time for which an operation waits for a token. It covers two
/// requests that are not answered.
constexpr duration kMaxHold = milliseconds(250);
/// Window of the log lines on refused accounts.
constexpr duration kLogWindow = std::chrono::seconds(5);
/// Bounds of the random part of the time to come back.
constexpr duration kMinSpread = milliseconds(100);
constexpr duration kMaxSpread = std::chrono::seconds(2);

/// Returns a time to come back after which tokens are available, spread so that
/// refused callers do not return together.
duration TimeToComeBack(core_state& core, const limited_account& account) {
  duration soonest = kMaxExhausted;
  for (std::uint32_t i = 0; i < kLimitShards; ++i) {
    soonest = std::min(soonest,
                       std::max(duration::zero(),
                                account.shards[i].exhausted_until - core.now));
  }
  // The callers refused in one window share the rate when they return.
  const double seconds = static_cast<double>(account.refused_unlogged + 1) *
                         static_cast<double>(core.members.LiveCount()) /
                         account.limit.rate;
  const auto backlog = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::min(seconds, 10.0)));
  const duration spread = std::clamp(backlog, kMinSpread, kMaxSpread);
  return soonest + duration(std::uniform_int_distribution<std::int64_t>(
                       0, spread.count())(core.limits.random));
}

/// Makes the caller of a held operation ready again. Returns false if the
/// caller no longer waits for it.
bool Release(core_state& core, const held_operation& held) {
  caller_state* const caller = core.Caller(held.statement.caller);
  if (caller == nullptr || caller->current_request != held.statement.request) {
    return false;
  }
  caller->current_request = {};
  return true;
}

void RefuseHeldOperation(core_state& core, const held_operation& held,
                         failure reason) {
  if (Release(core, held)) {
    RefuseLimited(core, held.statement, std::move(reason));
    OnRequestEnded(core, held.statement.caller);
  }
}

/// Resumes the operations that wait, as far as there are tokens.
void ResumeHeld(core_state& core, limited_account& account) {
  while (!account.waiting.empty() && account.purse.Held(core.now) > 0) {
    const held_operation held = std::move(account.waiting.front());
    account.waiting.pop_front();
    if (Release(core, held)) {
      core.limits.resuming = true;
      ResumeHeldStatement(core, held.statement, held.arrived_at);
      core.limits.resuming = false;
    }
  }
}

}  // namespace

failure CountLimitRefusal(core_state& core, limited_account& account) {
  const auto wait =
      std::chrono::ceil<milliseconds>(TimeToComeBack(core, account));
  ++account.refused;
  ++account.refused_unlogged;
  core.Count(counter::kAccountRefusals);
  if (core.now >= account.next_log) {
    core.Log(log_level::kWarning, "account.limited",
             "account " + account.name +
                 " is at its limit; operations refused "
                 "since the last such line: " +
                 std::to_string(account.refused_unlogged));
    account.refused_unlogged = 0;
    account.next_log = core.now + kLogWindow;
  }
  return {verdict::kNotRun, sqlstate::kAccountLimit,
          "the account is at its limit; retry after " +
              std::to_string(wait.count()) + " ms"};
}

void RefuseLimited(core_state& core, const statement_received& statement,
                   failure reason) {
  core.Emit(request_finished{.request = statement.request,
                             .caller = statement.caller,
                             .kind = statement.kind,
                             .succeeded = false,
                             .effect = verdict::kNotRun,
                             .queued = {},
                             .total = {}});
  core.Emit(
      fail_request{statement.caller, statement.request, std::move(reason)});
}

void ServeWaitingOperations(core_state& core, account_id id,
                            limited_account& account) {
  limit_requests requests;
  ask_result asked = ask_result::kAnswered;
  while (asked == ask_result::kAnswered) {
    ResumeHeld(core, account);
    if (account.waiting.empty()) {
      return;
    }
    asked = AskForTokens(core, id, account,
                         static_cast<std::uint32_t>(account.waiting.size()) +
                             account.purse.Target(core.now),
                         requests);
  }
  SendLimitRequests(core, requests);
  if (HasPendingRequest(account)) {
    return;
  }
  for (const held_operation& held : std::exchange(account.waiting, {})) {
    RefuseHeldOperation(core, held, CountLimitRefusal(core, account));
  }
}

void RefuseOverdueOperations(core_state& core) {
  for (auto& [id, account] : core.limits.accounts) {
    while (!account.waiting.empty() &&
           core.now - account.waiting.front().arrived_at >= kMaxHold) {
      const held_operation held = std::move(account.waiting.front());
      account.waiting.pop_front();
      RefuseHeldOperation(core, held, CountLimitRefusal(core, account));
    }
  }
}

void RefuseWaiting(core_state& core, limited_account& account) {
  for (const held_operation& held : std::exchange(account.waiting, {})) {
    RefuseHeldOperation(core, held, CountLimitRefusal(core, account));
  }
}

void RefuseHeldOperations(core_state& core, const failure& reason) {
  for (auto& [id, account] : core.limits.accounts) {
    for (const held_operation& held : std::exchange(account.waiting, {})) {
      RefuseHeldOperation(core, held, reason);
    }
  }
}

}  // namespace marjoramslip
