// A queue of timers ordered by time, so that a tick visits only those that are
// due.

#ifndef MARJORAMSLIP_LIB_CORE_TIMER_QUEUE_H_
#define MARJORAMSLIP_LIB_CORE_TIMER_QUEUE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// The kinds of objects that own a timer.
enum class timer_kind : std::uint8_t {
  kRequest,
  kPool,
  kGroup,
  kEarlyStatements
};

/// Identifies the owner of a timer by its kind and the value of its id.
struct timer_owner {
  timer_kind kind = timer_kind::kRequest;
  std::uint64_t id = 0;

  auto operator<=>(const timer_owner&) const = default;
};

/// Timers ordered by time, then by owner.
class timer_queue {
 public:
  /// Sets the owner's timer to `due_at`. `timer` is the time to which it is set
  /// at present, if any, and is updated.
  void Set(timer_owner owner, std::optional<instant>& timer, instant due_at) {
    Cancel(owner, timer);
    due_.emplace(due_at, owner);
    timer = due_at;
  }

  /// Removes the owner's timer, which is set to `timer`, and resets `timer`.
  void Cancel(timer_owner owner, std::optional<instant>& timer) {
    if (timer.has_value()) {
      due_.erase({*timer, owner});
      timer.reset();
    }
  }

  /// Removes the first timer that is due at `now` and returns its owner; empty
  /// if none is due.
  std::optional<timer_owner> PopDue(instant now) {
    if (due_.empty() || due_.begin()->first > now) {
      return std::nullopt;
    }
    const timer_owner owner = due_.begin()->second;
    due_.erase(due_.begin());
    return owner;
  }

  /// Returns the time of the first timer; empty if there is none.
  std::optional<instant> Next() const {
    if (due_.empty()) {
      return std::nullopt;
    }
    return due_.begin()->first;
  }

 private:
  std::set<std::pair<instant, timer_owner>> due_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_TIMER_QUEUE_H_
