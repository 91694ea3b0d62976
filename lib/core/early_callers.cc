// Holds, resumes and refuses early statements.

#include "early_callers.h"

#include <utility>
#include <vector>

#include "callers.h"
#include "marjoramslip/core/sqlstates.h"

namespace marjoramslip {
namespace {

/// Time from its start within which an instance expects the first catalogue.
/// Loading takes about 20 ms, and a call to a store that is a hundred times
/// slower than usual (4 ms) takes 400 ms. Callers that would have to wait
/// longer are better served by another instance.
constexpr duration kCatalogueTimeout = std::chrono::seconds(1);

constexpr timer_owner kTimerOwner{timer_kind::kEarlyStatements, 0};

/// Removes all held statements and returns those whose callers still wait for
/// them. The callers are ready for another request afterwards.
std::vector<early_statement> TakePendingStatements(core_state& core) {
  core.timers.Cancel(kTimerOwner, core.early_timer);
  std::vector<early_statement> pending;
  for (early_statement& held : std::exchange(core.early_statements, {})) {
    caller_state* const caller = core.Caller(held.statement.caller);
    if (caller == nullptr ||
        caller->current_request != held.statement.request) {
      continue;
    }
    caller->current_request = {};
    pending.push_back(std::move(held));
  }
  return pending;
}

}  // namespace

failure NoCatalogueFailure() {
  return {verdict::kNotRun, sqlstate::kNotReady,
          "this instance has not loaded its catalogue yet"};
}

bool AwaitsCatalogue(const core_state& core) {
  return core.applied_catalogue.revision == 0 && !core.draining &&
         core.now - core.started_at < kCatalogueTimeout;
}

void HoldEarlyStatement(core_state& core, caller_state& caller,
                        const statement_received& statement) {
  caller.current_request = statement.request;
  core.early_statements.push_back({statement, core.now});
  core.timers.Set(kTimerOwner, core.early_timer,
                  core.started_at + kCatalogueTimeout);
}

void ResumeEarlyStatements(core_state& core) {
  if (core.applied_catalogue.revision == 0) {
    return;
  }
  for (const early_statement& held : TakePendingStatements(core)) {
    ResumeHeldStatement(core, held.statement, held.arrived_at);
  }
}

void RefuseEarlyStatements(core_state& core) {
  for (const early_statement& held : TakePendingStatements(core)) {
    RefuseHeldStatement(core, held.statement, NoCatalogueFailure());
  }
}

}  // namespace marjoramslip
