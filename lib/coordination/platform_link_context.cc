// State shared by the parts of the platform link.

#include "platform_link_context.h"

#include <algorithm>
#include <utility>

namespace marjoramslip::shell {

platform_context::platform_context(kv::key_value_store& key_value_store,
                                   event_loop& loop, kv::key_space key_space)
    : store_(key_value_store), loop_(loop), keys_(std::move(key_space)) {}

void platform_context::Post(event posted_event) {
  // The task may run after this object is destroyed, so it captures only the
  // loop.
  loop_.PostFromThread([&loop = loop_, posted_event = std::move(posted_event)] {
    loop.Post(posted_event);
  });
}

void platform_context::SetReachable(bool reachable, const std::string& reason) {
  // Posts under the lock, so that the loop sees the changes in order.
  const std::lock_guard lock(mutex_);
  if (reachable_ != reachable) {
    reachable_ = reachable;
    Post(store_reachability{reachable, reachable ? "" : reason});
    if (reachable && store_available_callback_) {
      store_available_callback_();
    }
  }
}

void platform_context::SetStoreAvailableCallback(
    std::function<void()> callback) {
  const std::lock_guard lock(mutex_);
  store_available_callback_ = std::move(callback);
}

void platform_context::SetAnnouncedCallback(
    std::function<void(instant)> callback) {
  const std::lock_guard lock(mutex_);
  announced_callback_ = std::move(callback);
  if (announced_callback_ && announced_at_) {
    announced_callback_(*announced_at_);
  }
}

void platform_context::ReportAnnounced(instant announced_at) {
  const std::lock_guard lock(mutex_);
  announced_at_ = announced_at;
  if (announced_callback_) {
    announced_callback_(announced_at);
  }
}

void platform_context::UpdateCatalogue(const catalogue& value) {
  const std::lock_guard lock(mutex_);
  seat_limit_ = std::numeric_limits<std::uint32_t>::max();
  for (const auto& [name, service] : value.services) {
    seat_limit_ = std::min(seat_limit_, service.seats);
    for (const group_spec& group : service.groups) {
      group_names_[group.Id()] = group.name;
    }
  }
}

std::uint32_t platform_context::SeatLimit() {
  const std::lock_guard lock(mutex_);
  return seat_limit_;
}

std::optional<std::string> platform_context::GroupName(group_id group) {
  const std::lock_guard lock(mutex_);
  const auto known = group_names_.find(group);
  return known == group_names_.end() ? std::nullopt
                                     : std::optional(known->second);
}

}  // namespace marjoramslip::shell
