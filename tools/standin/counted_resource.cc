// Slots and connections.

#include "counted_resource.h"

#include <algorithm>
#include <thread>

namespace standin {

namespace {

constexpr std::chrono::milliseconds kStep{10};

}  // namespace

bool counted_resource::TryTake() {
  const std::lock_guard lock(mutex_);
  if (free_ <= 0) {
    return false;
  }
  --free_;
  return true;
}

bool counted_resource::Take(const std::atomic<bool>& cancelled) {
  std::unique_lock lock(mutex_);
  while (free_ <= 0) {
    if (cancelled) {
      return false;
    }
    given_.wait_for(lock, kStep);
  }
  --free_;
  return true;
}

void counted_resource::GiveBack() {
  const std::lock_guard lock(mutex_);
  ++free_;
  given_.notify_one();
}

bool SleepUnless(const std::atomic<bool>& cancelled,
                 std::chrono::microseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (!cancelled) {
    const auto left = end - std::chrono::steady_clock::now();
    if (left <= std::chrono::nanoseconds(0)) {
      return true;
    }
    std::this_thread::sleep_for(
        std::min<std::chrono::nanoseconds>(left, kStep));
  }
  return false;
}

}  // namespace standin
