// Evidence of a group's term that instances pass on to each other.

#include <algorithm>

#include "group_terms.h"

namespace marjoramslip {

std::optional<evidence_update> group_terms::Evidence(duration remaining,
                                                     instant now) const {
  // A majority without the primary gives a permit as well. A primary that is
  // slow to answer must not make all instances probe for themselves.
  if (service_.term_bound || !Open() || !HoldsPermit(now + remaining)) {
    return std::nullopt;
  }
  evidence_update known{id_, 0, record_.revision, {}};
  for (const auto& [id, view] : endpoints_) {
    // Only a state that is evidence of the term is passed on.
    if (view.state_sampled_at.has_value() && view.evidence_at.has_value() &&
        *view.evidence_at >= view.log_sampled_at) {
      known.endpoints.push_back({id, view.state, now - view.log_sampled_at});
    }
  }
  return known;
}

void group_terms::OnRelayedEvidence(const evidence_update& update,
                                    instant requested_at, instant now) {
  if (service_.term_bound || !Open() ||
      update.record_revision != record_.revision) {
    return;
  }
  for (const endpoint_evidence& known : update.endpoints) {
    endpoint_view* const view = Find(known.endpoint);
    const instant sampled_at =
        requested_at - std::min(known.age, options_.permit);
    // An age beyond a permit is of no use, and may be malformed.
    if (view == nullptr || known.age > options_.permit ||
        known.state.log_term != Term() || sampled_at < view->log_sampled_at) {
      continue;
    }
    const bool is_primary = known.endpoint == Primary();
    if (is_primary && (known.state.role != endpoint_role::kPrimary ||
                       known.state.term != Term())) {
      continue;
    }
    view->state = known.state;
    view->state_sampled_at =
        std::max(view->state_sampled_at.value_or(sampled_at), sampled_at);
    view->log_sampled_at = sampled_at;
    view->evidence_at =
        std::max(view->evidence_at.value_or(sampled_at), sampled_at);
    if (is_primary && known.state.position >= samples_.NewestPosition()) {
      samples_.Add(sampled_at, known.state.Point());
    }
  }
  if (HoldsPermit(now)) {
    samples_.Confirm(now);
  }
}

}  // namespace marjoramslip
