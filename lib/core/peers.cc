// Gossip of catalogue revisions and records, leaving peers, the member list.

#include "peers.h"

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "accounts/limit_exchange.h"
#include "accounts/limit_home.h"
#include "apply_catalogue.h"
#include "connections.h"
#include "evidence_relay.h"
#include "forwarding.h"
#include "groups.h"
#include "lending.h"
#include "serving.h"

namespace marjoramslip {
namespace {

// Interval at which the applied catalogue revision is announced.
constexpr duration kGossipInterval = std::chrono::seconds(1);

// Handles each kind of message from one peer.
class peer_handler {
 public:
  peer_handler(core_state& core, instance_id from) : core_(core), from_(from) {}

  void operator()(const suspicion_report& report) const {
    group_state* const group = core_.Group(report.group);
    if (group == nullptr) {
      return;
    }
    group->terms.OnSuspicion(from_, report, core_.now);
    WakeGroup(core_, *group);
    core_.MarkDirty(*group);
  }

  void operator()(const record_update& update) const {
    OnRecordSeen(core_, update.group, update.record);
    const group_state* const group = core_.Group(update.group);
    if (group != nullptr && !group->terms.Service().term_bound) {
      core_.Emit(send_peer_message{
          from_, record_ack{update.group, group->terms.Record().revision}});
    }
  }

  void operator()(const record_ack& ack) const {
    if (group_state* const group = core_.Group(ack.group)) {
      group->terms.OnRecordAck(from_, ack.revision, core_.now, *core_.effects);
      core_.MarkDirty(*group);
    }
  }

  void operator()(const revision_update& update) const {
    const revision_update own = RevisionOf(core_.applied_catalogue);
    if (update.revision > own.revision ||
        update.declared_version > own.declared_version) {
      core_.Emit(send_peer_message{
          from_, catalogue_request{own.revision, own.declared_version}});
    }
  }

  void operator()(const catalogue_request& request) const {
    const revision_update own = RevisionOf(core_.applied_catalogue);
    if (own.revision <= request.known_revision &&
        own.declared_version <= request.known_declared_version) {
      return;
    }
    core_.Emit(
        send_peer_message{from_, catalogue_update{core_.applied_catalogue}});
    if (request.known_revision == 0) {
      SendRecords();
    }
  }

  void operator()(const catalogue_update& update) const {
    ApplyCatalogue(core_, update.value);
  }

  void operator()(const loan_request& request) const {
    OnLoanRequest(core_, from_, request);
  }
  void operator()(const loan_grant& grant) const {
    OnLoanGrant(core_, from_, grant);
  }
  void operator()(const loan_return& returned) const {
    OnLoanReturn(core_, from_, returned);
  }

  void operator()(const evidence_request& request) const {
    OnEvidenceRequest(core_, from_, request);
  }
  void operator()(const evidence_update& update) const {
    OnEvidenceUpdate(core_, from_, update);
  }

  void operator()(const serving_status& status) const {
    OnServingStatus(core_, from_, status);
  }

  void operator()(const limit_request& request) const {
    OnLimitRequest(core_, from_, request);
  }
  void operator()(const limit_grant& grant) const {
    OnLimitGrant(core_, from_, grant);
  }
  void operator()(const limit_claim& claim) const {
    OnLimitClaim(core_, from_, claim);
  }
  void operator()(const limit_claim_ack& answer) const {
    OnLimitClaimAck(core_, from_, answer);
  }
  void operator()(const limit_home& notice) const {
    OnLimitHome(core_, from_, notice);
  }

  void operator()(const leave_notice&) const {
    core_.members.OnLeaveNotice(from_);
    OnLimitPeerLeft(core_, from_);
    UpdateCarriers(core_);
    ChooseHomes(core_);
    OnLenderLeft(core_, from_);
    UpdateShares(core_);
    RerouteAfterCarrierChange(core_);
  }

 private:
  // Sends the records of all groups, so that an instance that starts during an
  // outage of the key-value service has them.
  void SendRecords() const {
    for (const auto& [id, group] : core_.groups) {
      if (group->terms.Record().revision != 0) {
        core_.Emit(
            send_peer_message{from_, record_update{id, group->terms.Record()}});
      }
    }
  }

  core_state& core_;
  instance_id from_;
};

}  // namespace

void OnPeerReceived(core_state& core, const peer_received& received) {
  core.members.OnMessageFrom(received.from);
  std::visit(peer_handler(core, received.from), received.message);
}

void OnMembersSeen(core_state& core, const members_seen& seen) {
  const std::vector<instance_id> before = core.members.Peers();
  core.members.OnMembers(seen.members, core.now);
  core.members_requested_at =
      std::max(core.members_requested_at, seen.requested_at);
  core.members_known_since = core.members_known_since.value_or(core.now);
  const std::vector<instance_id> after = core.members.Peers();
  for (const instance_id id : before) {
    if (!std::binary_search(after.begin(), after.end(), id)) {
      OnLenderLeft(core, id);
    }
  }
  UpdateLimitMembers(core, seen.requested_at);
  UpdateGroupPeers(core);
  UpdateServingLease(core);
  UpdateCarriers(core);
  ChooseHomes(core);
  UpdateShares(core);
  RerouteAfterCarrierChange(core);
}

void OnMembershipEnded(core_state& core, const membership_ended& ended) {
  core.limits.membership_ended_at = core.now;
  core.Log(log_level::kWarning, "member.lease_ended",
           "an instance does not acknowledge a sealed record, id " +
               std::to_string(ended.member.value));
  for (const auto& [id, group] : core.groups) {
    group->terms.OnMembershipEnded(ended.member, core.now);
    core.MarkDirty(*group);
  }
}

void OnDutySeen(core_state& core, const duty_seen& duty) {
  if (duty.fence != core.duty.fence) {
    core.Log(log_level::kInfo, duty.fence != 0 ? "duty.taken" : "duty.lost",
             "fence " + std::to_string(std::max(duty.fence, core.duty.fence)));
  }
  core.duty = duty;
  for (const auto& [id, group] : core.groups) {
    group->terms.SetDuty(duty);
    core.MarkDirty(*group);
  }
}

void UpdateGroupPeers(core_state& core) {
  for (const auto& [id, group] : core.groups) {
    group->terms.SetPeers(core.members.RecentPeers(core.now),
                          core.members_requested_at, core.members_known_since);
  }
}

void Gossip(core_state& core) {
  if (core.now < core.next_gossip) {
    return;
  }
  core.next_gossip = core.now + kGossipInterval;
  UpdateGroupPeers(core);
  core.Emit(send_peer_message{{}, RevisionOf(core.applied_catalogue)});
  core.invariant_checks.Flush(*core.effects);
}

}  // namespace marjoramslip
