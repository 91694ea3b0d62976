// Promotions that may still take effect while another database leads. A write
// is acknowledged only if none of them had taken effect when it was committed:
// each of the databases has reported, in answer to a request that was sent
// after the commit, that no later term than the record's has begun there.

#include <algorithm>

#include "group_terms.h"

namespace marjoramslip {
namespace {

endpoint_id TargetOf(const endpoint_spec& spec) {
  return IdOf<endpoint_id>(spec.identity.empty() ? spec.name : spec.identity);
}

}  // namespace

void group_terms::FollowUnsettled(instant now) {
  std::map<unsettled_promotion, instant> since;
  for (const unsettled_promotion& promotion : record_.record.unsettled) {
    const auto known = unsettled_since_.find(promotion);
    since[promotion] = known == unsettled_since_.end() ? now : known->second;
  }
  unsettled_since_ = std::move(since);
}

bool group_terms::IsRuledOut(endpoint_id target, instant taken_effect) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [&](const auto& entry) {
                       const endpoint_view& view = entry.second;
                       return TargetOf(view.spec) == target &&
                              view.own_state_sampled_at.has_value() &&
                              *view.own_state_sampled_at >= taken_effect &&
                              view.own_state_term <= Term();
                     });
}

// The limit bounds when a request takes effect, not when that is seen.
bool group_terms::IsExpired(const unsettled_promotion& promotion, instant since,
                            instant now) const {
  const instant end = since + options_.promotion_effect_limit;
  const bool is_registered =
      std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        return TargetOf(entry.second.spec) == promotion.target;
      });
  return now >= end && (!is_registered || IsRuledOut(promotion.target, end));
}

group_terms::candidacy& group_terms::CandidacyOf(endpoint_id endpoint) {
  candidacy& request = candidacies_[endpoint];
  if (const endpoint_view* const view = View(endpoint)) {
    request.target = TargetOf(view->spec);
  }
  return request;
}

bool group_terms::MayHaveBeenPromoted(endpoint_id present) const {
  const endpoint_id own = TargetOf(View(present)->spec);
  const auto unseen = [&](endpoint_id target, instant requested_at) {
    return target != own &&
           !IsRuledOut(target, requested_at + kPromotionEffectTimeout);
  };
  return std::any_of(candidacies_.begin(), candidacies_.end(),
                     [&](const auto& entry) {
                       const candidacy& request = entry.second;
                       return (request.may_take_effect || request.in_flight ||
                               request.accepted_at.has_value()) &&
                              unseen(request.target, request.requested_at);
                     }) ||
         std::any_of(unsettled_since_.begin(), unsettled_since_.end(),
                     [&](const auto& entry) {
                       return unseen(entry.first.target, entry.second);
                     });
}

bool group_terms::IsPresentForThePlatform(endpoint_id present,
                                          instant now) const {
  const auto found = candidacies_.find(present);
  const endpoint_view* const view = View(present);
  return found != candidacies_.end() && found->second.accepted_at.has_value() &&
         now - *found->second.accepted_at >= kPromotionEffectTimeout &&
         *view->state_sampled_at >=
             *found->second.accepted_at + kPromotionEffectTimeout;
}

bool group_terms::IsUnsettled(const endpoint_view& view, instant now) const {
  const endpoint_id target = TargetOf(view.spec);
  return std::any_of(unsettled_since_.begin(), unsettled_since_.end(),
                     [&](const auto& entry) {
                       return entry.first.target == target &&
                              !IsExpired(entry.first, entry.second, now);
                     });
}

bool group_terms::HasUnsettledPromotion(instant now) const {
  return !unsettled_since_.empty() &&
         std::any_of(endpoints_.begin(), endpoints_.end(),
                     [&](const auto& entry) {
                       return entry.first != Primary() &&
                              IsUnsettled(entry.second, now);
                     });
}

std::vector<unsettled_promotion> group_terms::NextUnsettled(instant now) const {
  std::vector<unsettled_promotion> next;
  const auto is_listed = [&next](endpoint_id target) {
    return std::any_of(next.begin(), next.end(),
                       [target](const unsettled_promotion& promotion) {
                         return promotion.target == target;
                       });
  };
  for (const auto& [id, request] : candidacies_) {
    const bool may_take_effect = request.may_take_effect || request.in_flight ||
                                 request.accepted_at.has_value();
    if (may_take_effect) {
      next.push_back({request.target, record_.revision});
    }
  }
  for (const auto& [promotion, since] : unsettled_since_) {
    if (!IsExpired(promotion, since, now) && !is_listed(promotion.target)) {
      next.push_back(promotion);
    }
  }
  return next;
}

bool group_terms::NonePromotedBefore(instant time, instant now) const {
  if (unsettled_since_.empty()) {
    return true;
  }
  return std::all_of(endpoints_.begin(), endpoints_.end(),
                     [&](const auto& entry) {
                       const auto& [id, view] = entry;
                       return id == Primary() || !IsUnsettled(view, now) ||
                              (view.own_state_sampled_at.has_value() &&
                               *view.own_state_sampled_at >= time &&
                               view.state.term <= Term());
                     });
}

}  // namespace marjoramslip
