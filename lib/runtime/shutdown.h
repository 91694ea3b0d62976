// Takes an instance down, from the first signal to the end of its loop.

#ifndef MARJORAMSLIP_LIB_RUNTIME_SHUTDOWN_H_
#define MARJORAMSLIP_LIB_RUNTIME_SHUTDOWN_H_

#include <thread>

#include "log_writer.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/instance.h"
#include "marjoramslip/runtime/platform_link.h"
#include "marjoramslip/runtime/poll_loop.h"
#include "marjoramslip/settings/settings.h"
#include "runtime.h"

namespace marjoramslip::shell {

/// Gives balancers notice, has the core drained, leaves the platform, and ends
/// the loop with the last session, or when the time for that is over. All parts
/// must outlive it.
class shutdown_sequence {
 public:
  shutdown_sequence(poll_loop& loop, log_writer& log, runtime& running,
                    instance_edges& edges, const instance_settings& settings)
      : loop_(loop),
        log_(log),
        running_(running),
        front_(edges.Front()),
        platform_(edges.Platform()),
        notice_(settings.drain_notice),
        limit_(settings.drain_limit) {}
  shutdown_sequence(const shutdown_sequence&) = delete;
  shutdown_sequence& operator=(const shutdown_sequence&) = delete;

  /// The `count`-th signal to end. The first one starts the shutdown, the
  /// second one cuts off what is in progress, each statement with its verdict;
  /// a third one ends the process at once.
  void OnSignal(int count);

  /// Called when the core has been drained.
  void OnDrained();

  /// Returns once the platform has been left. The loop must have ended.
  void AwaitLeave();

  /// True if a second signal came.
  bool Forced() const { return forced_; }

 private:
  void Force();

  poll_loop& loop_;
  log_writer& log_;
  runtime& running_;
  caller_front& front_;
  platform_link& platform_;
  duration notice_;
  duration limit_;
  instant ends_at_{};
  bool drained_ = false;
  bool forced_ = false;
  std::jthread leaving_;
};

/// Describes sessions for the log.
std::string Describe(const session_counts& sessions);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_SHUTDOWN_H_
