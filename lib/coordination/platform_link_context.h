// State shared by the parts of the platform link: store, event loop, store
// reachability and group names.

#ifndef MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_CONTEXT_H_
#define MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_CONTEXT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/key_value_store.h"
#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::shell {

/// Gives the parts of the platform link access to the store and the event loop.
/// Thread-safe.
class platform_context {
 public:
  platform_context(kv::key_value_store& key_value_store, event_loop& loop,
                   kv::key_space key_space);

  kv::key_value_store& Store() { return store_; }
  const kv::key_space& Keys() const { return keys_; }

  /// Posts an event to the loop. Callable from any thread.
  void Post(event posted_event);

  /// Derives from the result of a store call whether the store is reachable,
  /// and posts an event when that changes.
  template <typename value>
  void RecordCallResult(const attempted<value>& call) {
    SetReachable(!call.Failed(error_kind::kUnavailable) &&
                     !call.Failed(error_kind::kUnknown),
                 call.failure.message);
  }

  /// `callback` is called, on any thread, when the store becomes reachable.
  void SetStoreAvailableCallback(std::function<void()> callback);

  /// `callback` is called, on any thread, with the time at which this instance
  /// was found announced in the store. Called at once if it is already.
  void SetAnnouncedCallback(std::function<void(instant)> callback);
  void ReportAnnounced(instant announced_at);

  /// Takes the group names and the seat limit from a catalogue.
  void UpdateCatalogue(const catalogue& value);
  /// Returns the group's name; empty if no catalogue has named it yet.
  std::optional<std::string> GroupName(group_id group);
  /// Smallest number of seats of any service. A seat with this number or a
  /// higher one has no share of the connections of at least one service.
  std::uint32_t SeatLimit();
  /// Number of instances on the list that was last read; 0 before the first.
  std::size_t MemberCount() const { return member_count_; }
  void SetMemberCount(std::size_t count) { member_count_ = count; }

 private:
  void SetReachable(bool reachable, const std::string& reason);

  kv::key_value_store& store_;
  event_loop& loop_;
  kv::key_space keys_;
  std::mutex mutex_;
  std::optional<bool> reachable_;
  std::function<void()> store_available_callback_;
  std::function<void(instant)> announced_callback_;
  std::optional<instant> announced_at_;
  std::map<group_id, std::string> group_names_;
  std::atomic<std::size_t> member_count_ = 0;
  std::uint32_t seat_limit_ = std::numeric_limits<std::uint32_t>::max();
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_CONTEXT_H_
