// The sessions of a caller front, whatever protocol they speak.

#ifndef MARJORAMSLIP_RUNTIME_SESSION_SET_H_
#define MARJORAMSLIP_RUNTIME_SESSION_SET_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::shell {

/// Owns the sessions by caller. `session` has CountInto, Dismiss and Abort, and
/// reports its end by Remove. The loop must outlive the set.
template <typename session>
class session_set {
 public:
  explicit session_set(event_loop& loop)
      : loop_(loop), self_(std::make_shared<session_set*>(this)) {}
  session_set(const session_set&) = delete;
  session_set& operator=(const session_set&) = delete;

  std::size_t Size() const { return open_.size(); }
  void Add(caller_id caller, std::unique_ptr<session> added) {
    open_.emplace(caller, std::move(added));
  }

  /// Returns null if there is no such session.
  session* Find(caller_id caller) const {
    const auto found = open_.find(caller);
    return found == open_.end() ? nullptr : found->second.get();
  }
  /// As Find, also for a session that has just ended: the core still reports on
  /// it.
  const session* FindOrEnded(caller_id caller) const {
    const auto ended = ended_.find(caller);
    return ended == ended_.end() ? Find(caller) : ended->second.get();
  }

  /// Takes an ended session out. It may still be on the call stack, so it is
  /// destroyed in a later turn of the loop.
  void Remove(caller_id caller) {
    auto node = open_.extract(caller);
    if (node.empty()) {
      return;
    }
    ended_.insert(std::move(node));
    RunAfter(duration{0}, [](session_set& self) { self.ended_.clear(); });
    ReportEnd();
  }

  session_counts Counts() const {
    session_counts counts;
    for (const auto& [caller, each] : open_) {
      each->CountInto(counts);
    }
    return counts;
  }

  /// Calls `step` of a session after `delay`, if it still exists then.
  void CallAfter(duration delay, caller_id caller, void (session::*step)()) {
    RunAfter(delay, [caller, step](session_set& self) {
      if (session* const found = self.Find(caller)) {
        (found->*step)();
      }
    });
  }

  /// Calls `on_ended` once there is no session left.
  void ReportEndTo(std::function<void()> on_ended) {
    on_ended_ = std::move(on_ended);
    ReportEnd();
  }

  /// Dismisses all sessions with `reason`.
  void Dismiss(const failure& reason) {
    // A session that ends leaves the map.
    std::vector<caller_id> callers;
    callers.reserve(open_.size());
    for (const auto& each : open_) {
      callers.push_back(each.first);
    }
    for (const caller_id caller : callers) {
      if (session* const found = Find(caller)) {
        found->Dismiss(reason);
      }
    }
  }

  /// Closes all sessions at once.
  void Abort() {
    while (!open_.empty()) {
      open_.begin()->second->Abort();
    }
  }

 private:
  template <typename callback>
  void RunAfter(duration delay, callback task) {
    loop_.After(delay, [weak = std::weak_ptr(self_), task] {
      if (const auto self = weak.lock()) {
        task(**self);
      }
    });
  }

  void ReportEnd() {
    if (!on_ended_ || !open_.empty()) {
      return;
    }
    RunAfter(duration{0}, [](session_set& self) {
      if (const auto on_ended = std::exchange(self.on_ended_, nullptr)) {
        on_ended();
      }
    });
  }

  event_loop& loop_;
  std::function<void()> on_ended_;
  std::unordered_map<caller_id, std::unique_ptr<session>> open_;
  std::unordered_map<caller_id, std::unique_ptr<session>> ended_;
  std::shared_ptr<session_set*> self_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_SESSION_SET_H_
