// Counts the received messages whose handlers have run.

#ifndef MARJORAMSLIP_LIB_PEER_RECEIPTS_H_
#define MARJORAMSLIP_LIB_PEER_RECEIPTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::peer {

/// Messages handled since the last call of receipts::Take.
struct handled_messages {
  std::map<std::uint64_t, std::size_t> by_link;
  std::size_t bytes = 0;
};

/// Shared by the transport's thread and the thread of the handlers.
class receipts {
 public:
  /// `wake` is called on `loop` as RequestWake says.
  receipts(shell::event_loop& loop, std::function<void()> wake);

  /// A handler has run, on whichever thread.
  void OnHandled(std::uint64_t link, std::size_t bytes);
  handled_messages Take();
  /// Calls `wake` once, as soon as there is something to take.
  void RequestWake();
  /// The loop is not used from now on.
  void Detach();

 private:
  /// Requires the mutex.
  void WakeIfDue();

  std::mutex mutex_;
  shell::event_loop* loop_;
  std::function<void()> wake_;
  bool wake_requested_ = false;
  handled_messages handled_;
};

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_LIB_PEER_RECEIPTS_H_
