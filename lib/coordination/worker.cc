// A thread that runs queued and delayed tasks.

#include "marjoramslip/coordination/worker.h"

#include <utility>

#include "marjoramslip/base/clock.h"

namespace marjoramslip::shell {

worker::worker() : thread_([this] { Run(); }) {}

worker::~worker() { Stop(); }

void worker::Post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    tasks_.push_back(std::move(task));
  }
  wake_.notify_all();
}

void worker::PostAt(instant due_at, std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    delayed_tasks_.emplace(due_at, std::move(task));
  }
  wake_.notify_all();
}

bool worker::Pause(duration length) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, length,
                 [this] { return stopping_ || pause_interrupted_; });
  pause_interrupted_ = false;
  return !stopping_;
}

void worker::InterruptPause() {
  {
    const std::lock_guard lock(mutex_);
    pause_interrupted_ = true;
  }
  wake_.notify_all();
}

bool worker::Stopping() {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

void worker::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::function<void()> worker::TakeDueTask(std::unique_lock<std::mutex>& lock) {
  while (!stopping_) {
    const instant now = BootTime();
    if (!delayed_tasks_.empty() && delayed_tasks_.begin()->first <= now) {
      tasks_.push_back(std::move(delayed_tasks_.begin()->second));
      delayed_tasks_.erase(delayed_tasks_.begin());
    }
    if (!tasks_.empty()) {
      std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      return task;
    }
    if (delayed_tasks_.empty()) {
      wake_.wait(lock);
    } else {
      wake_.wait_for(lock, delayed_tasks_.begin()->first - now);
    }
  }
  return {};
}

void worker::Run() {
  std::unique_lock lock(mutex_);
  while (const std::function<void()> task = TakeDueTask(lock)) {
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace marjoramslip::shell
