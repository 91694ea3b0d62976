// Requests, gathers and passes on evidence of terms.

#include "evidence_relay.h"

#include <algorithm>

#include "core_state.h"
#include "groups.h"

namespace marjoramslip {
namespace {

/// Smallest fleet with home instances. In smaller ones each instance's own
/// statements bring most of the evidence that it needs.
constexpr std::uint32_t kMinFleet = 12;
/// Time after which a request to the home instance counts as lost. It covers a
/// new connection and a probe by the home instance.
constexpr duration kReplyTimeout = std::chrono::milliseconds(60);
/// Time for which a home instance that did not reply isn't asked.
constexpr duration kSilencePenalty = std::chrono::seconds(1);
/// Evidence is passed on only if the permit that it gives holds for this long:
/// the way back and the receiver's queue take some of it.
constexpr duration kMinRemainingPermit = std::chrono::milliseconds(80);

}  // namespace

void ChooseHomes(core_state& core) {
  const bool large = core.members.LiveCount() >= kMinFleet;
  for (const auto& [id, group] : core.groups) {
    evidence_relay& relay = group->relay;
    const bool relayed = large && !group->terms.Service().term_bound;
    // A carrier has connections to the group and recent answers over them.
    const instance_id home = !relayed ? instance_id{}
                             : group->carriers.empty()
                                 ? core.members.HomeOf(id)
                                 : group->carriers.front().id;
    if (home != relay.home) {
      relay.home = home;
      relay.pending.reset();
      relay.home_silent_until = {};
    }
    group->terms.SetRelayed(home != instance_id{} && home != core.self);
  }
}

bool RequestEvidence(core_state& core, group_state& group) {
  evidence_relay& relay = group.relay;
  if (relay.home == instance_id{} || relay.home == core.self ||
      !group.terms.Open() || group.terms.Suspects(group.terms.Primary())) {
    return false;
  }
  if (relay.pending.has_value()) {
    if (core.now - relay.pending->sent_at < kReplyTimeout) {
      return true;
    }
    relay.pending.reset();
    relay.home_silent_until = core.now + kSilencePenalty;
    core.Count(counter::kEvidenceUnanswered, group.terms.Id());
  }
  if (core.now < relay.home_silent_until) {
    return false;
  }
  relay.pending = {core.next_ticket++, core.now};
  core.Count(counter::kEvidenceRequested, group.terms.Id());
  core.Emit(send_peer_message{
      relay.home, evidence_request{group.terms.Id(), relay.pending->ticket}});
  return true;
}

void OnEvidenceRequest(core_state& core, instance_id from,
                       const evidence_request& request) {
  group_state* const group = core.Group(request.group);
  if (group == nullptr) {
    return;
  }
  group->relay.waiting[from] = {request.ticket, core.now};
  WakeGroup(core, *group);
  core.MarkDirty(*group);
}

void OnEvidenceUpdate(core_state& core, instance_id from,
                      const evidence_update& update) {
  group_state* const group = core.Group(update.group);
  if (group == nullptr) {
    return;
  }
  evidence_relay& relay = group->relay;
  if (from != relay.home || !relay.pending.has_value() ||
      relay.pending->ticket != update.ticket) {
    return;
  }
  const instant requested_at = relay.pending->sent_at;
  relay.pending.reset();
  if (update.record_revision != group->terms.Record().revision) {
    // One of the two has missed a change of the record.
    relay.home_silent_until = core.now + kSilencePenalty;
    core.Emit(read_record{update.group});
  }
  const bool has_sample =
      std::any_of(update.endpoints.begin(), update.endpoints.end(),
                  [&core, group](const endpoint_evidence& known) {
                    return known.endpoint == group->terms.Primary() &&
                           known.age <= core.options.permit;
                  });
  if (!has_sample) {
    relay.no_sample_until = core.now + kSilencePenalty;
  }
  group->terms.OnRelayedEvidence(update, requested_at, core.now);
  core.MarkDirty(*group);
}

void AnswerWaitingPeers(core_state& core, group_state& group) {
  std::map<instance_id, evidence_relay::waiting_peer>& waiting =
      group.relay.waiting;
  std::erase_if(waiting, [&core](const auto& entry) {
    return core.now - entry.second.received_at >= kReplyTimeout;
  });
  if (waiting.empty()) {
    return;
  }
  std::optional<evidence_update> known =
      group.terms.Evidence(kMinRemainingPermit, core.now);
  if (!known.has_value()) {
    return;
  }
  for (const auto& [peer, request] : waiting) {
    known->ticket = request.ticket;
    core.Emit(send_peer_message{peer, *known});
  }
  waiting.clear();
}

}  // namespace marjoramslip
