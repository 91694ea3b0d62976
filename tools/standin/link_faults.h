// Faults of a database's links on command.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_LINK_FAULTS_H_
#define MARJORAMSLIP_TOOLS_STANDIN_LINK_FAULTS_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>

namespace standin {

/// What is wrong with the links now; safe for use by several threads.
class link_faults {
 public:
  explicit link_faults(std::chrono::milliseconds lag) : lag_(lag) {}

  /// Ends every fault; connections that went silent stay so.
  void Heal();

  void Freeze() { frozen_ = true; }
  bool Frozen() const { return frozen_; }
  /// Returns when the process is not frozen.
  void WaitWhileFrozen() const;

  void CutPeers() { peers_cut_ = true; }
  bool PeersCut() const { return peers_cut_; }

  void CutCallers(std::set<std::string> names);
  bool CallerCut(const std::string& name) const;

  void SetLag(std::chrono::milliseconds lag) { lag_ = lag; }
  std::chrono::milliseconds Lag() const { return lag_; }

 private:
  std::atomic<bool> frozen_ = false;
  std::atomic<bool> peers_cut_ = false;
  std::atomic<std::chrono::milliseconds> lag_;
  mutable std::mutex mutex_;
  std::set<std::string> cut_callers_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_LINK_FAULTS_H_
