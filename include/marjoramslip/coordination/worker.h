// A thread that runs queued and delayed tasks.

#ifndef MARJORAMSLIP_COORDINATION_WORKER_H_
#define MARJORAMSLIP_COORDINATION_WORKER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "marjoramslip/base/time.h"

namespace marjoramslip::shell {

/// Runs tasks on its own thread, in the order in which they were posted.
class worker {
 public:
  worker();
  ~worker();
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  /// Queues a task. Callable from any thread. After Stop, tasks are dropped.
  void Post(std::function<void()> task);

  /// Queues a task that becomes due when BootTime reaches `due_at`.
  void PostAt(instant due_at, std::function<void()> task);

  /// Blocks the calling task for `length`, or until Stop or InterruptPause.
  /// Returns false if the worker is stopping.
  bool Pause(duration length);
  bool Stopping();
  /// Ends the pause in progress, or the next one if there is none. Callable
  /// from any thread.
  void InterruptPause();

  /// Waits for the task in progress and drops all queued tasks.
  void Stop();

 private:
  void Run();
  /// Waits until a task is due and returns it; empty if stopping.
  std::function<void()> TakeDueTask(std::unique_lock<std::mutex>& lock);

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  std::multimap<instant, std::function<void()>> delayed_tasks_;
  bool stopping_ = false;
  bool pause_interrupted_ = false;
  std::thread thread_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_COORDINATION_WORKER_H_
