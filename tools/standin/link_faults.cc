// Faults of a database's links.

#include "link_faults.h"

#include <thread>

namespace standin {

void link_faults::Heal() {
  frozen_ = false;
  peers_cut_ = false;
  CutCallers({});
}

void link_faults::WaitWhileFrozen() const {
  constexpr std::chrono::milliseconds kStep{5};
  while (frozen_) {
    std::this_thread::sleep_for(kStep);
  }
}

void link_faults::CutCallers(std::set<std::string> names) {
  const std::lock_guard lock(mutex_);
  cut_callers_ = std::move(names);
}

bool link_faults::CallerCut(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return cut_callers_.contains(name);
}

}  // namespace standin
