// A loop that only remembers, for what posts to it from threads.

#ifndef MARJORAMSLIP_UNITTESTS_RECORDING_LOOP_H_
#define MARJORAMSLIP_UNITTESTS_RECORDING_LOOP_H_

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::shell {

/// Keeps what is posted; has no sockets and no timers.
class recording_loop : public event_loop {
 public:
  void Add(const Poco::Net::Socket&, socket_handler*, bool, bool) override {}
  void Update(const Poco::Net::Socket&, bool, bool) override {}
  void Remove(const Poco::Net::Socket&) override {}
  void After(duration, std::function<void()>) override {}
  void PostFromThread(std::function<void()> task) override { task(); }
  instant Now() const override { return {}; }

  void Post(event what) override {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(what));
    wake_.notify_all();
  }

  /// Waits for an event that `wanted` accepts, from the first one on.
  template <typename kind, typename predicate>
  std::optional<kind> Await(predicate wanted) {
    std::unique_lock lock(mutex_);
    const auto end = std::chrono::steady_clock::now() + kPatience;
    std::size_t next = 0;
    while (true) {
      for (; next < events_.size(); ++next) {
        const auto* one = std::get_if<kind>(&events_[next]);
        if (one != nullptr && wanted(*one)) {
          return *one;
        }
      }
      if (wake_.wait_until(lock, end) == std::cv_status::timeout) {
        return std::nullopt;
      }
    }
  }

  /// How many events of a kind were posted.
  template <typename kind>
  std::ptrdiff_t Count() {
    const std::lock_guard lock(mutex_);
    return std::count_if(events_.begin(), events_.end(), [](const event& one) {
      return std::holds_alternative<kind>(one);
    });
  }

  /// Returns the events of a kind, in order.
  template <typename kind>
  std::vector<kind> All() {
    const std::lock_guard lock(mutex_);
    std::vector<kind> found;
    for (const event& one : events_) {
      if (const auto* const matching = std::get_if<kind>(&one)) {
        found.push_back(*matching);
      }
    }
    return found;
  }

  void Forget() {
    const std::lock_guard lock(mutex_);
    events_.clear();
  }

 private:
  static constexpr std::chrono::seconds kPatience{5};

  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<event> events_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_UNITTESTS_RECORDING_LOOP_H_
