// Receipts wake the transport only if a connection waits for them: most
// messages cost no wake-up.

#include "receipts.h"

#include <utility>

namespace marjoramslip::peer {

receipts::receipts(shell::event_loop& loop, std::function<void()> wake)
    : loop_(&loop), wake_(std::move(wake)) {}

void receipts::OnHandled(std::uint64_t link, std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  ++handled_.by_link[link];
  handled_.bytes += bytes;
  WakeIfDue();
}

handled_messages receipts::Take() {
  const std::lock_guard lock(mutex_);
  return std::exchange(handled_, {});
}

void receipts::RequestWake() {
  const std::lock_guard lock(mutex_);
  wake_requested_ = true;
  WakeIfDue();
}

void receipts::Detach() {
  const std::lock_guard lock(mutex_);
  loop_ = nullptr;
}

void receipts::WakeIfDue() {
  if (wake_requested_ && loop_ != nullptr && !handled_.by_link.empty()) {
    wake_requested_ = false;
    loop_->PostFromThread(wake_);
  }
}

}  // namespace marjoramslip::peer
