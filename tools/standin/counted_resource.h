// The scarce resources of a database: slots for statements and connections.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_COUNTED_RESOURCE_H_
#define MARJORAMSLIP_TOOLS_STANDIN_COUNTED_RESOURCE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>

namespace standin {

/// A counted resource; safe for use by several threads.
class counted_resource {
 public:
  explicit counted_resource(int limit) : free_(limit) {}

  /// Takes one if one is free.
  bool TryTake();

  /// Waits for one; false if `cancelled` becomes true first.
  bool Take(const std::atomic<bool>& cancelled);

  void GiveBack();

 private:
  std::mutex mutex_;
  std::condition_variable given_;
  int free_;
};

/// Holds one unit of a resource while it lives.
class held_unit {
 public:
  explicit held_unit(counted_resource& from) : from_(from) {}
  ~held_unit() { from_.GiveBack(); }
  held_unit(const held_unit&) = delete;
  held_unit& operator=(const held_unit&) = delete;

 private:
  counted_resource& from_;
};

/// Sleeps in steps; false if `cancelled` becomes true first.
bool SleepUnless(const std::atomic<bool>& cancelled,
                 std::chrono::microseconds time);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_COUNTED_RESOURCE_H_
