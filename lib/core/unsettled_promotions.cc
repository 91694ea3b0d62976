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

bool group_terms::IsUnsettled(const endpoint_view& view, instant now) const {
  const endpoint_id target = TargetOf(view.spec);
  return std::any_of(
      unsettled_since_.begin(), unsettled_since_.end(), [&](const auto& entry) {
        return entry.first.target == target &&
               now - entry.second < options_.promotion_effect_limit;
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
    const endpoint_view* const view = View(id);
    const bool may_take_effect = request.may_take_effect || request.in_flight ||
                                 request.accepted_at.has_value();
    if (view != nullptr && may_take_effect) {
      next.push_back({TargetOf(view->spec), record_.revision});
    }
  }
  for (const auto& [promotion, since] : unsettled_since_) {
    if (now - since < options_.promotion_effect_limit &&
        !is_listed(promotion.target)) {
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
