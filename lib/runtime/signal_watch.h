// SIGTERM, SIGINT and SIGHUP as callbacks on the loop's thread.

#ifndef MARJORAMSLIP_LIB_RUNTIME_SIGNAL_WATCH_H_
#define MARJORAMSLIP_LIB_RUNTIME_SIGNAL_WATCH_H_

#include <functional>
#include <optional>

#include "marjoramslip/runtime/borrowed_socket.h"
#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::shell {

/// Blocks the signals in this thread and those it starts later. Call it
/// before any thread is started. SIGPIPE is ignored from then on.
void BlockSignals();

/// Watches for blocked signals.
class signal_watch final : public socket_handler {
 public:
  /// `on_end` is called for SIGTERM and SIGINT, with the number of them so
  /// far; `on_reload` for SIGHUP.
  signal_watch(event_loop& loop, std::function<void(int)> on_end,
               std::function<void()> on_reload);
  ~signal_watch() override;
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;

  void OnReadable() override;
  void OnWritable() override {}
  void OnSocketError() override {}

 private:
  event_loop& loop_;
  std::function<void(int)> on_end_;
  std::function<void()> on_reload_;
  int descriptor_;
  std::optional<borrowed_socket> socket_;
  int count_ = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_SIGNAL_WATCH_H_
