// Applies the directory of accounts to callers and their requests.

#include "accounts/identification.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "apply_catalogue.h"
#include "callers.h"
#include "forwarding.h"
#include "marjoramslip/core/sqlstates.h"
#include "requests.h"

namespace marjoramslip {
namespace {

/// True while the request may still be refused as not run.
bool IsUnsent(const request_state& request) {
  return request.stage != request_stage::kSent &&
         request.stage != request_stage::kAwaitingRelease &&
         request.stage != request_stage::kForwarded;
}

/// True if the catalogue in force accepts the caller's key on its route. A
/// missing route is refused elsewhere.
bool AcceptsKey(const core_state& core, const caller_state& caller) {
  if (!core.accounts.InUse() || caller.forwarded) {
    return true;
  }
  if (core.applied_catalogue.routed) {
    const auto route = core.applied_catalogue.routes.find(caller.service);
    if (route == core.applied_catalogue.routes.end() ||
        route->second.is_public) {
      return true;
    }
  }
  return core.accounts.Find(caller.key).has_value();
}

}  // namespace

void UpdateCallerKeys(core_state& core) {
  std::vector<caller_id> changed;
  for (auto& [id, caller] : core.callers) {
    const bool refused = !AcceptsKey(core, caller);
    if (std::exchange(caller.key_refused, refused) != refused) {
      changed.push_back(id);
    }
  }
  std::sort(changed.begin(), changed.end());
  for (const caller_id id : changed) {
    core.Emit(caller_key_changed{id, core.Caller(id)->key_refused
                                         ? std::optional(UnknownKeyFailure())
                                         : std::nullopt});
  }
}

void UpdateAccounts(core_state& core) {
  std::vector<shared_key> shared =
      core.accounts.SetAccounts(core.applied_catalogue);
  if (shared == core.shared_keys) {
    return;
  }
  core.shared_keys = std::move(shared);
  for (const shared_key& each : core.shared_keys) {
    core.Log(log_level::kError, "accounts.shared_key",
             "accounts " + each.holder + " and " + each.other +
                 " were given the same key; " + each.holder + " holds it");
  }
}

bool IdentifyCaller(core_state& core, caller_state& caller) {
  if (caller.forwarded) {
    // The instance that forwards has identified the caller. Without the
    // account's name, the statement would run in the name of this instance.
    return caller.account == account_id{} ||
           !core.accounts.NameOf(caller.account).empty();
  }
  caller.account = {};
  if (!core.accounts.InUse()) {
    return true;
  }
  const auto account = core.accounts.Find(caller.key);
  caller.account = account.value_or(account_id{});
  return account.has_value() || caller.route.is_public;
}

bool IdentifyAgain(core_state& core, request_state& request) {
  caller_state* const caller = core.Caller(request.caller);
  const bool identified =
      core.accounts.InUse() || request.account != account_id{};
  if (!identified || caller == nullptr) {
    return true;
  }
  // The route decides whether a key is needed.
  ResolveGroup(core, *caller);
  if (!IdentifyCaller(core, *caller)) {
    core.Count(counter::kUnknownKeys);
    core.unidentified_callers.push_back(caller->id);
    FailRequest(core, request, UnknownKeyFailure());
    return false;
  }
  if (request.account != caller->account) {
    // Queues hold a request under its account.
    MoveTo(core, request, request_stage::kNew);
    request.account = caller->account;
  }
  return true;
}

std::vector<request_id> IdentifyQueuedRequests(core_state& core) {
  std::vector<request_id> unsent;
  for (const auto& [id, request] : core.requests) {
    if (IsUnsent(request)) {
      unsent.push_back(id);
    }
  }
  std::sort(unsent.begin(), unsent.end());
  std::vector<request_id> moved;
  for (const request_id id : unsent) {
    request_state& request = *core.Request(id);
    const account_id before = request.account;
    if (IdentifyAgain(core, request) && request.account != before) {
      moved.push_back(id);
    }
  }
  return moved;
}

void CloseUnidentifiedCallers(core_state& core) {
  for (const caller_id id : std::exchange(core.unidentified_callers, {})) {
    const caller_state* const caller = core.Caller(id);
    if (caller != nullptr && caller->current_request == request_id{} &&
        !IsInTransaction(*caller)) {
      CloseCaller(core, id, UnknownKeyFailure());
    }
  }
}

account_id AccountOf(core_state& core, caller_id caller) {
  const caller_state* const found = core.Caller(caller);
  return found == nullptr ? account_id{} : found->account;
}

std::string AccountName(const core_state& core, account_id account) {
  return core.accounts.NameOf(account);
}

failure UnknownKeyFailure() {
  return {verdict::kNotRun, sqlstate::kUnknownKey,
          "no client account holds the caller's key"};
}

}  // namespace marjoramslip
