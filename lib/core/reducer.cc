// Dispatches events to the parts of the reducer.

#include "marjoramslip/core/reducer.h"

#include <utility>
#include <variant>

#include "accounts/identification.h"
#include "accounts/limit_control.h"
#include "answers.h"
#include "apply_catalogue.h"
#include "callers.h"
#include "connections.h"
#include "core_state.h"
#include "draining.h"
#include "early_callers.h"
#include "forwarding.h"
#include "groups.h"
#include "peers.h"
#include "report.h"
#include "requests.h"
#include "serving.h"

namespace marjoramslip {
namespace {

void RunTimer(core_state& core, timer_owner owner) {
  switch (owner.kind) {
    case timer_kind::kRequest:
      OnRequestTimer(core, request_id{owner.id});
      return;
    case timer_kind::kPool:
      OnPoolTimer(core, endpoint_id{owner.id});
      return;
    case timer_kind::kGroup:
      OnGroupTimer(core, group_id{owner.id});
      return;
    case timer_kind::kEarlyStatements:
      core.early_timer.reset();
      RefuseEarlyStatements(core);
      return;
  }
}

void OnServiceReachable(core_state& core, const store_reachability& e) {
  core.store_reachable = e.reachable;
  core.Log(e.reachable ? log_level::kInfo : log_level::kWarning,
           e.reachable ? "store.answers" : "store.lost", e.reason);
}

/// Calls the handler for the type of the event.
struct dispatcher {
  core_state& core;

  void operator()(const caller_opened& e) const { OnCallerOpened(core, e); }
  void operator()(const statement_received& e) const {
    OnStatementReceived(core, e);
  }
  void operator()(const cancel_received& e) const { OnCancelReceived(core, e); }
  void operator()(const loss_acknowledged& e) const {
    OnLossAcknowledged(core, e);
  }
  void operator()(const caller_closed& e) const { OnCallerClosed(core, e); }
  void operator()(const connection_opened& e) const {
    OnConnectionOpened(core, e);
  }
  void operator()(const connection_refused& e) const {
    OnConnectionRefused(core, e);
  }
  void operator()(const statement_answered& e) const {
    OnStatementAnswered(core, e);
  }
  void operator()(const statement_progressed& e) const {
    OnStatementProgressed(core, e);
  }
  void operator()(const connection_lost& e) const {
    HandleConnectionLoss(core, e.connection, e.maybe_sent, e.maybe_forwarded);
  }
  void operator()(const forward_answered& e) const {
    OnForwardAnswered(core, e);
  }
  void operator()(const forward_failed& e) const { OnForwardFailed(core, e); }
  void operator()(const carrier_silent& e) const { OnCarrierSilent(core, e); }
  void operator()(const carrier_link_lost& e) const {
    OnCarrierLinkLost(core, e);
  }
  void operator()(const probe_answered& e) const { OnProbeAnswered(core, e); }
  void operator()(const probe_failed& e) const { OnProbeFailed(core, e); }
  void operator()(const endpoint_moved& e) const { OnEndpointMoved(core, e); }
  void operator()(const endpoint_promoted& e) const {
    OnEndpointPromoted(core, e);
  }
  void operator()(const promotion_answered& e) const {
    OnPromotionAnswered(core, e);
  }
  void operator()(const record_seen& e) const {
    OnRecordSeen(core, e.group, e.record);
  }
  void operator()(const record_written& e) const { OnRecordWritten(core, e); }
  void operator()(const catalogue_seen& e) const {
    ApplyCatalogue(core, e.value);
    ResumeEarlyStatements(core);
  }
  void operator()(const members_seen& e) const { OnMembersSeen(core, e); }
  void operator()(const membership_renewed& e) const {
    OnMembershipRenewed(core, e);
  }
  void operator()(const records_read& e) const { OnRecordsRead(core, e); }
  void operator()(const membership_ended& e) const {
    OnMembershipEnded(core, e);
  }
  void operator()(const duty_seen& e) const { OnDutySeen(core, e); }
  void operator()(const store_reachability& e) const {
    OnServiceReachable(core, e);
  }
  void operator()(const fault_reported& e) const {
    core.Log(log_level::kWarning, e.name, e.text);
  }
  void operator()(const peer_received& e) const { OnPeerReceived(core, e); }
  void operator()(const promote_requested& e) const {
    OnPromoteRequested(core, e);
  }
  void operator()(const drain_requested& e) const { OnDrainRequested(core, e); }
  void operator()(const tick&) const {
    while (const auto owner = core.timers.PopDue(core.now)) {
      RunTimer(core, *owner);
    }
    MaintainServingLease(core);
    Gossip(core);
    MaintainLimits(core);
  }
};

/// True for events that are handled after the end of all other work: callers
/// may connect and send statements until the process has ended, and faults are
/// logged.
bool IsHandledAfterDrain(const event& incoming) {
  return std::holds_alternative<caller_opened>(incoming) ||
         std::holds_alternative<statement_received>(incoming) ||
         std::holds_alternative<fault_reported>(incoming);
}

/// Lets the groups that the step marked dirty react to it.
void SettleDirtyGroups(core_state& core) {
  // Settling a group may mark further groups dirty.
  for (std::size_t i = 0; i < core.dirty_groups.size(); ++i) {
    group_state* const group = core.Group(core.dirty_groups[i]);
    if (group != nullptr) {
      ProcessGroupChanges(core, *group);
      group->dirty = false;
    }
  }
  core.dirty_groups.clear();
}

}  // namespace

class reducer::state {
 public:
  explicit state(const core_options& options) : core(options) {}

  core_state core;
};

reducer::reducer(const core_options& options)
    : state_(std::make_unique<state>(options)) {}

reducer::~reducer() = default;

void reducer::Apply(const event& incoming, instant now, effect_list& effects) {
  core_state& core = state_->core;
  if (core.drained && !IsHandledAfterDrain(incoming)) {
    return;
  }
  core.effects = &effects;
  core.Check(now >= core.now, "event time is before the previous event's");
  if (core.started_at == instant{}) {
    core.started_at = now;
  }
  core.now = now;
  std::visit(dispatcher{core}, incoming);
  SettleDirtyGroups(core);
  CloseUnidentifiedCallers(core);
  ContinueDrain(core);
  core.effects = nullptr;
}

const catalogue& reducer::InForce() const {
  return state_->core.applied_catalogue;
}

status_report reducer::Report(instant now) const {
  return MakeReport(state_->core, now);
}

}  // namespace marjoramslip
