// The event loop over Poco's PollSet.

#ifndef MARJORAMSLIP_RUNTIME_POLL_LOOP_H_
#define MARJORAMSLIP_RUNTIME_POLL_LOOP_H_

#include <Poco/Net/PollSet.h>

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::shell {

/// Takes the events that were posted.
class event_consumer {
 public:
  virtual ~event_consumer() = default;

  /// Called between the callbacks of sockets and timers, never from within
  /// one. May post further events.
  virtual void Consume(const event& what) = 0;

  /// Called once each turn of the loop with the time spent on work in it.
  virtual void OnTurn(duration busy) = 0;
};

/// Runs on the thread that calls Run().
class poll_loop final : public event_loop {
 public:
  poll_loop();
  ~poll_loop() override;
  poll_loop(const poll_loop&) = delete;
  poll_loop& operator=(const poll_loop&) = delete;

  void Post(event what) override;
  void Add(const Poco::Net::Socket& socket, socket_handler* handler,
           bool readable, bool writable) override;
  void Update(const Poco::Net::Socket& socket, bool readable,
              bool writable) override;
  void Remove(const Poco::Net::Socket& socket) override;
  void After(duration delay, std::function<void()> task) override;
  void PostFromThread(std::function<void()> task) override;
  instant Now() const override;

  /// Must be set before Run() if events are posted. Without a consumer the
  /// loop sends no ticks.
  void SetConsumer(event_consumer* consumer) { consumer_ = consumer; }

  /// Brings the next tick forward to `when`, if that is sooner.
  void WakeAt(instant when);

  /// Serves until Stop().
  void Run();

  /// Ends Run() after the current turn. On the loop's thread only.
  void Stop() { running_ = false; }

 private:
  void Turn();
  duration UntilNextDeadline() const;
  void Dispatch(const Poco::Net::Socket& socket, int ready);
  void DispatchTo(const Poco::Net::Socket& socket,
                  void (socket_handler::*callback)());
  void RunTasks();
  void RunTimers();
  void SendTick();
  void Drain();
  void Wake();
  void ClearWake();

  Poco::Net::PollSet sockets_;
  std::map<Poco::Net::Socket, socket_handler*> handlers_;
  std::multimap<instant, std::function<void()>> timers_;
  std::deque<event> events_;
  event_consumer* consumer_ = nullptr;
  instant next_tick_;
  bool running_ = false;
  int wake_descriptor_ = -1;

  std::mutex task_mutex_;
  std::vector<std::function<void()>> tasks_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_POLL_LOOP_H_
