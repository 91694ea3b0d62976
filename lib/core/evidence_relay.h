// One instance gathers the evidence of a group's term for all others.
//
// Load pattern: hundreds of instances, each of which sends a group about one
// statement a second. None sees enough answers to hold a permit by itself. If
// each probed, probes would grow with instances times databases, most of them
// over connections opened for one probe.

#ifndef MARJORAMSLIP_LIB_CORE_EVIDENCE_RELAY_H_
#define MARJORAMSLIP_LIB_CORE_EVIDENCE_RELAY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/core/peer_messages.h"

namespace marjoramslip {

struct core_state;
struct group_state;

/// An instance's part in the relay of one group's evidence.
struct evidence_relay {
  /// A request to the home instance that is not answered yet.
  struct pending_request {
    std::uint64_t ticket = 0;
    instant sent_at{};
  };
  /// Another instance's request that waits for evidence.
  struct waiting_peer {
    std::uint64_t ticket = 0;
    instant received_at{};
  };

  /// The instance that gathers the evidence; 0 if each does so for itself.
  instance_id home;
  std::optional<pending_request> pending;
  /// The home instance left a request unanswered; it isn't asked before this.
  instant home_silent_until{};
  /// The home instance had no recent position of the primary; it isn't asked
  /// for one before this.
  instant no_sample_until{};
  std::map<instance_id, waiting_peer> waiting;
};

/// Chooses the home instance of every group. Call when the members change.
void ChooseHomes(core_state& core);

/// Obtains evidence of the group's term from its home instance. Returns false
/// if this instance has to probe for itself.
bool RequestEvidence(core_state& core, group_state& group);

void OnEvidenceRequest(core_state& core, instance_id from,
                       const evidence_request& request);
void OnEvidenceUpdate(core_state& core, instance_id from,
                      const evidence_update& update);

/// Answers the peers that wait for this group's evidence, if there is any.
void AnswerWaitingPeers(core_state& core, group_state& group);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_EVIDENCE_RELAY_H_
