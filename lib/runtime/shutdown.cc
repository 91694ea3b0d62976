// Implements the steps of a shutdown.

#include "shutdown.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace marjoramslip::shell {
namespace {

/// Parts of the time that is left of the drain limit when the core has been
/// drained: when the sessions that are left are dismissed, and when the loop
/// ends whatever is left. The rest is for the end of the process itself.
constexpr double kDismissPart = 2.0 / 3;
constexpr double kEndPart = 5.0 / 6;

/// Time for the shutdown after a second signal, and the least time for sessions
/// to end after the drain.
constexpr duration kForcedLimit = std::chrono::milliseconds(400);

duration PartOf(duration whole, double part) {
  return std::chrono::duration_cast<duration>(whole * part);
}

}  // namespace

void shutdown_sequence::OnSignal(int count) {
  if (count > 2) {
    _exit(EXIT_FAILURE);
  }
  if (count == 2) {
    Force();
    return;
  }
  log_.Write(log_level::kInfo, "instance.draining", "asked to end");
  ends_at_ = loop_.Now() + limit_;
  running_.SetLeaving();
  if (notice_ == duration::zero()) {
    loop_.Post(drain_requested{});
    return;
  }
  loop_.After(notice_, [this] { loop_.Post(drain_requested{}); });
}

void shutdown_sequence::Force() {
  log_.Write(log_level::kWarning, "instance.draining",
             "asked again; what is in progress is cut off");
  forced_ = true;
  ends_at_ = std::min(ends_at_, loop_.Now() + kForcedLimit);
  loop_.Post(drain_requested{.at_once = true});
  if (drained_) {
    front_.DismissSessions(ShutdownFailure());
  }
  loop_.After(ends_at_ - loop_.Now(), [this] { loop_.Stop(); });
}

void shutdown_sequence::OnDrained() {
  log_.Write(log_level::kInfo, "drain.completed", Describe(front_.Sessions()));
  drained_ = true;
  // A drained instance acts on no duty and acknowledges nothing: it must not
  // count as a member while its last sessions end.
  leaving_ = std::jthread([this] { platform_.Leave(); });
  front_.EndWithSessions([this] { loop_.Stop(); });
  const duration left = std::max(ends_at_ - loop_.Now(), kForcedLimit);
  loop_.After(PartOf(left, kDismissPart),
              [this] { front_.DismissSessions(ShutdownFailure()); });
  loop_.After(PartOf(left, kEndPart), [this] { loop_.Stop(); });
}

void shutdown_sequence::AwaitLeave() {
  if (leaving_.joinable()) {
    leaving_.join();
  }
}

std::string Describe(const session_counts& sessions) {
  return "starting " + std::to_string(sessions.starting) + ", open " +
         std::to_string(sessions.open) + ", closing " +
         std::to_string(sessions.closing) + "; " +
         std::to_string(sessions.in_progress) + " with a statement, " +
         std::to_string(sessions.unsent_bytes) + " bytes unsent";
}

}  // namespace marjoramslip::shell
