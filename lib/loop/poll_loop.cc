// Waits for sockets, timers and other threads' tasks, and hands the events
// that come of them to the consumer between callbacks.

#include "marjoramslip/runtime/poll_loop.h"

#include <Poco/Exception.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <utility>

#include "marjoramslip/base/clock.h"
#include "marjoramslip/runtime/borrowed_socket.h"

namespace marjoramslip::shell {

namespace {

using Poco::Net::PollSet;

constexpr duration kPollGranularity = std::chrono::milliseconds(1);
/// Longest wait of a loop that sends no ticks.
constexpr duration kLongestWait = std::chrono::minutes(1);

int ModeOf(bool readable, bool writable) {
  int mode = PollSet::POLL_ERROR;
  if (readable) {
    mode |= PollSet::POLL_READ;
  }
  if (writable) {
    mode |= PollSet::POLL_WRITE;
  }
  return mode;
}

}  // namespace

poll_loop::poll_loop() : next_tick_(Now() + kTickInterval) {
  wake_descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  assert(wake_descriptor_ >= 0 && "no descriptor for waking the loop");
  sockets_.add(borrowed_socket(wake_descriptor_), PollSet::POLL_READ);
}

poll_loop::~poll_loop() {
  sockets_.clear();
  close(wake_descriptor_);
}

instant poll_loop::Now() const { return BootTime(); }

void poll_loop::Post(event what) { events_.push_back(std::move(what)); }

void poll_loop::Add(const Poco::Net::Socket& socket, socket_handler* handler,
                    bool readable, bool writable) {
  assert(handler != nullptr);
  handlers_[socket] = handler;
  try {
    sockets_.add(socket, ModeOf(readable, writable));
  } catch (const Poco::Exception&) {
    // The descriptor is unusable: its owner learns it as a socket error.
    After(duration{0}, [this, socket] {
      DispatchTo(socket, &socket_handler::OnSocketError);
    });
  }
}

void poll_loop::Update(const Poco::Net::Socket& socket, bool readable,
                       bool writable) {
  if (!handlers_.contains(socket)) {
    return;
  }
  try {
    sockets_.update(socket, ModeOf(readable, writable));
  } catch (const Poco::Exception&) {
    After(duration{0}, [this, socket] {
      DispatchTo(socket, &socket_handler::OnSocketError);
    });
  }
}

void poll_loop::Remove(const Poco::Net::Socket& socket) {
  handlers_.erase(socket);
  try {
    sockets_.remove(socket);
  } catch (const Poco::Exception&) {
    // A descriptor that is closed already is in no set.
    return;
  }
}

void poll_loop::After(duration delay, std::function<void()> task) {
  timers_.emplace(Now() + delay, std::move(task));
}

void poll_loop::PostFromThread(std::function<void()> task) {
  {
    const std::lock_guard lock(task_mutex_);
    tasks_.push_back(std::move(task));
  }
  Wake();
}

void poll_loop::WakeAt(instant when) {
  next_tick_ = std::min(next_tick_, when);
}

void poll_loop::Run() {
  running_ = true;
  while (running_) {
    Turn();
  }
}

void poll_loop::Turn() {
  Drain();
  const duration wait = UntilNextDeadline();
  // PollSet counts whole milliseconds: a shorter wait would be a busy one.
  const duration rounded =
      wait <= duration{0} ? duration{0} : std::max(wait, kPollGranularity);
  PollSet::SocketModeMap ready;
  try {
    ready = sockets_.poll(Poco::Timespan(rounded.count()));
  } catch (const Poco::Exception&) {
    ready.clear();  // Interrupted by a signal.
  }
  const instant start = Now();
  for (const auto& [socket, mode] : ready) {
    Dispatch(socket, mode);
    Drain();
  }
  RunTasks();
  RunTimers();
  SendTick();
  if (consumer_ != nullptr) {
    consumer_->OnTurn(Now() - start);
  }
}

duration poll_loop::UntilNextDeadline() const {
  if (!running_) {
    return duration{0};
  }
  const instant now = Now();
  const instant last = consumer_ == nullptr ? now + kLongestWait : next_tick_;
  const instant next =
      timers_.empty() ? last : std::min(last, timers_.begin()->first);
  return next - now;
}

void poll_loop::Dispatch(const Poco::Net::Socket& socket, int ready) {
  if (socket.impl()->sockfd() == wake_descriptor_) {
    ClearWake();
    return;
  }
  if ((ready & PollSet::POLL_READ) != 0) {
    DispatchTo(socket, &socket_handler::OnReadable);
  }
  if ((ready & PollSet::POLL_WRITE) != 0) {
    DispatchTo(socket, &socket_handler::OnWritable);
  }
  if ((ready & PollSet::POLL_ERROR) != 0) {
    DispatchTo(socket, &socket_handler::OnSocketError);
  }
}

void poll_loop::DispatchTo(const Poco::Net::Socket& socket,
                           void (socket_handler::*callback)()) {
  const auto found = handlers_.find(socket);
  if (found != handlers_.end()) {
    (found->second->*callback)();
  }
}

void poll_loop::RunTasks() {
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(task_mutex_);
    tasks.swap(tasks_);
  }
  for (const std::function<void()>& task : tasks) {
    task();
    Drain();
  }
}

void poll_loop::RunTimers() {
  const instant now = Now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::function<void()> task = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    task();
    Drain();
  }
}

void poll_loop::SendTick() {
  const instant now = Now();
  if (consumer_ == nullptr || now < next_tick_) {
    return;
  }
  next_tick_ = now + kTickInterval;
  Post(tick{});
  Drain();
}

void poll_loop::Drain() {
  while (!events_.empty()) {
    const event next = std::move(events_.front());
    events_.pop_front();
    assert(consumer_ != nullptr && "an event without a consumer");
    consumer_->Consume(next);
  }
}

void poll_loop::Wake() {
  const std::uint64_t one = 1;
  const ssize_t written = write(wake_descriptor_, &one, sizeof(one));
  static_cast<void>(written);  // A full counter wakes the loop as well.
}

void poll_loop::ClearWake() {
  std::uint64_t count = 0;
  const ssize_t got = read(wake_descriptor_, &count, sizeof(count));
  static_cast<void>(got);
}

}  // namespace marjoramslip::shell
