// The choice of the database to promote where replicas acknowledge commits: the
// primary answers a commit once `acknowledging_replicas` of its replicas have
// received it. docs/PROOFS.md has the argument.

#include <algorithm>
#include <string>
#include <tuple>

#include "group_terms.h"

namespace marjoramslip {
namespace {

/// Time after which, and interval at which, the reports that a choice waits for
/// are logged.
constexpr duration kReportsLogInterval = std::chrono::seconds(1);

/// Time for reports to arrive before the group is handed back to a primary that
/// is in order, and before candidates that were given up are tried again.
constexpr duration kReportsLimit = std::chrono::milliseconds(500);

/// The end of the log that a database has at least.
log_point ReceivedPoint(const endpoint_state& state) {
  return std::max(state.received_point, state.Point());
}

}  // namespace

void group_terms::NoteDeparture(const endpoint_view& view) {
  departure left;
  if (HasReported(view)) {
    left.covered_by = ReceivedPoint(view.state);
  }
  departed_.try_emplace(view.spec.Id(), left);
}

void group_terms::FollowDepartures(instant now) {
  std::erase_if(departed_, [this](const auto& entry) {
    const std::optional<log_point>& needed = entry.second.covered_by;
    return needed && !IsWitness(entry.first) &&
           std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](const auto& registered) {
                         const endpoint_state& state = registered.second.state;
                         return registered.first != Primary() &&
                                state.log_term >= LogTerm() &&
                                ReceivedPoint(state) >= *needed;
                       });
  });
  for (auto& [id, left] : departed_) {
    left.since = left.since.value_or(now);
    sample_requested_ = sample_requested_ || !left.covered_by;
  }
}

void group_terms::CoverDepartures(const endpoint_view& primary,
                                  instant sent_at) {
  const endpoint_state& state = primary.state;
  if (state.role != endpoint_role::kPrimary || state.log_term != LogTerm()) {
    return;
  }
  for (auto& [id, left] : departed_) {
    if (left.since && sent_at >= *left.since && !left.covered_by) {
      left.covered_by = state.Point();
    }
  }
}

void group_terms::StartReports(instant now) {
  if (!reports_since_) {
    reports_since_ = now;
    next_reports_log_ = now + kReportsLogInterval;
    for (auto& [id, view] : endpoints_) {
      view.next_probe = now;
    }
  }
}

bool group_terms::HasReported(const endpoint_view& view) const {
  return reports_since_ && view.own_state_sampled_at.has_value() &&
         *view.own_state_sampled_at >= *reports_since_;
}

std::vector<endpoint_id> group_terms::UnreportedReplicas(
    log_point reached) const {
  std::vector<endpoint_id> unreported;
  for (const auto& [id, view] : endpoints_) {
    if (id != Primary() && !HasReported(view)) {
      unreported.push_back(id);
    }
  }
  for (const auto& [id, left] : departed_) {
    const bool covered = left.covered_by && *left.covered_by <= reached;
    if (id != Primary() && !covered) {
      unreported.push_back(id);
    }
  }
  for (const endpoint_id id : record_.record.witnesses) {
    if (id != Primary() && !endpoints_.contains(id) &&
        !departed_.contains(id)) {
      unreported.push_back(id);
    }
  }
  return unreported;
}

bool group_terms::HasAllAcknowledged(endpoint_id candidate,
                                     log_point point) const {
  const bool another_has_more =
      std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        const endpoint_state& state = entry.second.state;
        return entry.first != Primary() && HasReported(entry.second) &&
               state.log_term >= LogTerm() && ReceivedPoint(state) > point;
      });
  if (another_has_more) {
    return false;
  }
  const endpoint_view* const primary = View(Primary());
  if (primary != nullptr && HasReported(*primary) &&
      ReceivedPoint(primary->state) <= point) {
    return true;
  }
  // What the candidate has at least is known, so that it need not have
  // reported.
  std::vector<endpoint_id> unreported = UnreportedReplicas(point);
  std::erase(unreported, candidate);
  return unreported.size() < service_.acknowledging_replicas;
}

void group_terms::ChooseAcknowledging(instant now, effect_list& effects) {
  StartReports(now);
  const endpoint_id present = PresentPrimary();
  endpoint_id best;
  std::tuple<log_point, bool, bool> best_rank;
  for (const auto& [id, view] : endpoints_) {
    const bool answers = std::max(view.state_sampled_at.value_or(instant{}),
                                  view.log_sampled_at) >= *reports_since_;
    if (!answers || !IsEligible(view, present) ||
        view.state.log_term < LogTerm()) {
      continue;
    }
    const bool preferred =
        id == record_.record.candidate && !record_.record.candidate_chosen;
    const std::tuple rank = {ReceivedPoint(view.state), preferred,
                             !view.spec.leaving};
    if (best == endpoint_id{} || rank > best_rank) {
      best = id;
      best_rank = rank;
    }
  }
  const log_point reached = std::get<0>(best_rank);
  if (best != endpoint_id{} && HasAllAcknowledged(best, reached)) {
    WriteCandidate(best, reached, now, effects);
    return;
  }
  LogAwaitedReports(reached, now, effects);
  if (now - *reports_since_ >= kReportsLimit) {
    OnNoCandidate(present, now, effects);
  }
}

void group_terms::LogAwaitedReports(log_point best, instant now,
                                    effect_list& effects) {
  if (now < next_reports_log_) {
    return;
  }
  next_reports_log_ = now + kReportsLogInterval;
  std::string names;
  for (const endpoint_id id : UnreportedReplicas(best)) {
    const endpoint_view* const view = View(id);
    names += (names.empty() ? "" : ", ") +
             (view == nullptr ? "a departed replica" : view->spec.name);
  }
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *reports_since_);
  Log(effects, log_level::kWarning, "group.reports",
      "no replica surely has every acknowledged commit; awaiting the reports "
      "of " +
          (names.empty() ? "a replica that has received more" : names) +
          " for " + std::to_string(waited.count()) + " ms, best so far " +
          FormatLogPoint(best),
      Primary());
}

}  // namespace marjoramslip
