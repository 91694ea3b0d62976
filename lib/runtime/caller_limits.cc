// Chooses the sessions to close, and returns memory to the system.

#include "marjoramslip/runtime/caller_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace marjoramslip::shell {
namespace {

/// A session without progress for this long is closed before others.
constexpr duration kStalledAfter = std::chrono::milliseconds(500);
/// Sessions of ordinary callers hold less; closing them would free little.
constexpr std::size_t kSmallSessionBytes = 32U << 10U;
/// Sessions are closed until the sum is an eighth below the mark, so that the
/// next message does not close another one.
constexpr std::size_t kRoomPart = 8;
/// Freed bytes after which memory is returned to the system, and the least time
/// between two returns: each takes some milliseconds for 100 MB.
constexpr std::size_t kTrimBytes = 4U << 20U;
constexpr duration kTrimDelay = std::chrono::milliseconds(500);
/// Of a small limit of descriptors, callers may have at least three quarters.
constexpr std::uint64_t kMaxReservePart = 4;

constexpr std::size_t kBytesPerMebibyte = 1U << 20U;
constexpr std::size_t kPercent = 100;

}  // namespace

std::string_view NameOf(caller_limit limit) {
  switch (limit) {
    case caller_limit::kMemory:
      return "memory";
    case caller_limit::kSessionState:
      return "session_state";
    case caller_limit::kIdleTransaction:
      return "idle_transaction";
    case caller_limit::kMessageTime:
      return "message_time";
    case caller_limit::kCallers:
      return "callers";
    case caller_limit::kDescriptors:
      return "descriptors";
  }
  return "memory";
}

void memory_account::Set(caller_id caller, memory_use use) {
  memory_use& known = uses_[caller];
  total_ += use.bytes;
  total_ -= known.bytes;
  known = use;
}

void memory_account::Remove(caller_id caller) {
  const auto found = uses_.find(caller);
  if (found != uses_.end()) {
    total_ -= found->second.bytes;
    uses_.erase(found);
  }
}

std::size_t memory_account::Of(caller_id caller) const {
  const auto found = uses_.find(caller);
  return found == uses_.end() ? 0 : found->second.bytes;
}

std::vector<caller_id> memory_account::Excess(instant now) const {
  std::vector<caller_id> chosen;
  if (!Exceeded()) {
    return chosen;
  }
  struct candidate {
    bool stalled;
    std::size_t bytes;
    caller_id caller;
  };
  std::vector<candidate> candidates;
  for (const auto& [caller, use] : uses_) {
    if (use.bytes >= kSmallSessionBytes) {
      candidates.push_back(
          {now - use.progress >= kStalledAfter, use.bytes, caller});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              return std::tie(b.stalled, b.bytes, a.caller) <
                     std::tie(a.stalled, a.bytes, b.caller);
            });
  const std::size_t target = mark_ - mark_ / kRoomPart;
  std::size_t left = total_;
  for (const candidate& each : candidates) {
    if (left <= target) {
      break;
    }
    left -= each.bytes;
    chosen.push_back(each.caller);
  }
  return chosen;
}

std::size_t CallerMemoryBytes(const instance_settings& settings) {
  return settings.memory_limit * kBytesPerMebibyte *
         settings.caller_memory_percent / kPercent;
}

std::size_t SessionStateBytes(const instance_settings& settings) {
  return std::max<std::size_t>(settings.session_state_bytes,
                               settings.max_message_bytes + kStoredEntryBytes);
}

caller_limiter::caller_limiter(
    const instance_settings& settings, event_loop& loop,
    std::function<void(caller_id, std::size_t)> close)
    : loop_(loop),
      reserve_(settings.descriptor_reserve),
      close_(std::move(close)),
      account_(CallerMemoryBytes(settings)),
      self_(std::make_shared<caller_limiter*>(this)) {}

void caller_limiter::Note(caller_id caller, memory_use use) {
  const std::size_t before = account_.Of(caller);
  account_.Set(caller, use);
  if (use.bytes < before) {
    freed_ += before - use.bytes;
    Trim();
  }
  if (account_.Exceeded() && !std::exchange(relief_due_, true)) {
    loop_.After(duration{0}, [weak = std::weak_ptr(self_)] {
      if (const auto self = weak.lock()) {
        (*self)->Relieve();
      }
    });
  }
}

void caller_limiter::Forget(caller_id caller) {
  freed_ += account_.Of(caller);
  account_.Remove(caller);
  Trim();
}

void caller_limiter::Relieve() {
  relief_due_ = false;
  for (const caller_id caller : account_.Excess(loop_.Now())) {
    close_(caller, account_.Of(caller));
  }
}

void caller_limiter::Trim() {
  if (freed_ < kTrimBytes || std::exchange(trim_due_, true)) {
    return;
  }
  loop_.After(kTrimDelay, [weak = std::weak_ptr(self_)] {
    if (const auto self = weak.lock()) {
      (*self)->trim_due_ = false;
      (*self)->freed_ = 0;
      malloc_trim(0);
    }
  });
}

bool caller_limiter::MayAccept(int descriptor) const {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return true;
  }
  // The system gives the lowest free descriptor, so that at least `descriptor`
  // others are in use.
  const std::uint64_t all = limit.rlim_cur;
  const std::uint64_t reserved =
      std::min<std::uint64_t>(reserve_, all / kMaxReservePart);
  return static_cast<std::uint64_t>(descriptor) < all - reserved;
}

}  // namespace marjoramslip::shell
