// Renews the serving lease through peers while the store does not.

#include "serving.h"

#include <algorithm>
#include <string>

#include "marjoramslip/core/sqlstates.h"
#include "requests.h"

namespace marjoramslip {
namespace {

/// Remaining time of the lease from the store below which single peers are
/// asked, and below which all instances exchange their status. Renewals are
/// 600 ms apart.
constexpr duration kAskBelow = std::chrono::milliseconds(750);
constexpr duration kAskAllBelow = std::chrono::milliseconds(550);
/// Interval between requests to peers.
constexpr duration kAskInterval = std::chrono::milliseconds(250);
/// Number of peers that are asked at a time.
constexpr std::size_t kAskedPeers = 3;

/// Time for which requests wait for the renewal of an expired lease. Longer
/// than a slow answer of the store, shorter than most objectives.
constexpr duration kResumeGrace = std::chrono::milliseconds(250);

/// Returns the status that answers the requests heard so far.
serving_status MakeStatus(core_state& core) {
  serving_status status;
  status.sequence = core.lease.StartRequest(core.now);
  status.informed = core.lease.Informed();
  status.store_lease =
      std::max(duration::zero(), core.lease.StoreUntil() - core.now);
  if (status.store_lease == duration::zero()) {
    core.limits.reported_loss_at = core.now;
  }
  status.echoes = core.lease.Echoes();
  for (const auto& [id, group] : core.groups) {
    if (!group->terms.Service().term_bound) {
      status.records.push_back({id, group->terms.Record().revision});
    }
  }
  return status;
}

/// Compares the records of a peer with this instance's. Sends it those that it
/// lacks. Returns true if this instance lacks none of the peer's.
bool ExchangeRecords(core_state& core, instance_id peer,
                     const serving_status& status) {
  bool complete = true;
  for (const record_revision& theirs : status.records) {
    const group_state* const group = core.Group(theirs.group);
    if (group == nullptr) {
      continue;
    }
    const versioned_record& own = group->terms.Record();
    complete = complete && own.revision >= theirs.revision;
    if (own.revision > theirs.revision) {
      core.Emit(send_peer_message{peer, record_update{theirs.group, own}});
    }
  }
  return complete;
}

void AskPeers(core_state& core) {
  const std::vector<instance_id> peers = core.members.Peers();
  serving_status request = MakeStatus(core);
  request.reply_requested = true;
  for (std::size_t i = 0; i < std::min(kAskedPeers, peers.size()); ++i) {
    const instance_id peer = peers[core.next_asked_peer++ % peers.size()];
    core.Emit(send_peer_message{peer, request});
  }
}

void LogChange(core_state& core, bool serving) {
  if (serving == core.is_serving) {
    return;
  }
  core.is_serving = serving;
  core.Log(serving ? log_level::kInfo : log_level::kWarning,
           serving ? "serving.resumed" : "serving.suspended",
           serving ? "the serving lease was renewed"
                   : "neither the store nor the other instances renew the "
                     "serving lease");
}

}  // namespace

serving_phase ServingPhase(const core_state& core, const group_state& group) {
  // While an instance starts, its answers wait for the first lease.
  if (group.terms.Service().term_bound || !core.lease.Informed() ||
      core.now < group.terms.ServingUntil()) {
    return serving_phase::kServing;
  }
  return core.now < group.terms.ServingUntil() + kResumeGrace
             ? serving_phase::kPaused
             : serving_phase::kSuspended;
}

void RefuseWithoutLease(core_state& core, request_state& request) {
  core.Count(counter::kRefusals, request.group);
  FailRequest(core, request,
              {verdict::kNotRun, sqlstate::kNotReady,
               "this instance reaches neither the store nor the other "
               "instances, so the primary may have been replaced"});
}

bool HoldOrRefuseWithoutLease(core_state& core, request_state& request) {
  switch (ServingPhase(core, *core.Group(request.group))) {
    case serving_phase::kServing:
      return false;
    case serving_phase::kPaused:
      MoveTo(core, request, request_stage::kAwaitingTerm);
      return true;
    case serving_phase::kSuspended:
      RefuseWithoutLease(core, request);
      return true;
  }
  return false;
}

void UpdateServingLease(core_state& core) {
  const instant until = core.lease.Until(core.members.Others());
  for (const auto& [id, group] : core.groups) {
    group->terms.SetServingUntil(until);
    if (ServingPhase(core, *group) != group->seen_phase) {
      core.MarkDirty(*group);
    }
  }
  if (core.lease.Informed()) {
    LogChange(core, core.now < until);
  }
}

void OnMembershipRenewed(core_state& core, const membership_renewed& renewal) {
  core.lease.OnRenewed(renewal.requested_at, renewal.announced_at);
  core.limits.authority.OnRenewed(renewal.requested_at);
  UpdateServingLease(core);
}

void OnRecordsRead(core_state& core, const records_read& read) {
  core.lease.OnRecordsRead(read.requested_at);
  UpdateServingLease(core);
}

void OnServingStatus(core_state& core, instance_id from,
                     const serving_status& status) {
  core.lease.OnHeard(from, status.sequence);
  for (const serving_echo& echo : status.echoes) {
    const auto asked_at = core.lease.SentAt(echo.sequence);
    if (echo.peer == core.self && status.informed && asked_at.has_value()) {
      core.limits.authority.OnStoreReport(from, status.store_lease, *asked_at,
                                          core.now);
    }
  }
  if (ExchangeRecords(core, from, status)) {
    for (const serving_echo& echo : status.echoes) {
      if (echo.peer == core.self) {
        core.lease.OnConfirmed(from, status, echo.sequence);
      }
    }
    UpdateServingLease(core);
  }
  if (status.reply_requested) {
    core.Emit(send_peer_message{from, MakeStatus(core)});
  }
}

void AskAllPeers(core_state& core) {
  serving_status request = MakeStatus(core);
  request.reply_requested = true;
  core.Emit(send_peer_message{instance_id{}, std::move(request)});
}

void MaintainServingLease(core_state& core) {
  if (!core.lease.Informed() || core.now < core.next_serving_request) {
    return;
  }
  core.next_serving_request = core.now + kAskInterval;
  const duration remaining = core.lease.StoreUntil() - core.now;
  if (remaining < kAskBelow) {
    AskPeers(core);
  }
  if (remaining < kAskAllBelow) {
    core.Emit(send_peer_message{instance_id{}, MakeStatus(core)});
  }
  if (remaining < duration::zero()) {
    UpdateServingLease(core);
  }
}

}  // namespace marjoramslip
