// The account of memory that callers' sessions hold, and the limits of a
// process towards callers that misbehave.

#ifndef MARJORAMSLIP_RUNTIME_CALLER_LIMITS_H_
#define MARJORAMSLIP_RUNTIME_CALLER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// Buffers above this size are freed, not kept, once they are empty. Messages
/// of usual size stay below it.
inline constexpr std::size_t kKeptBufferBytes = 64U << 10U;
/// Memory of a stored value or name beside its bytes: the node of the map and
/// two string headers.
inline constexpr std::size_t kStoredEntryBytes = 160;

/// A limit towards callers.
enum class caller_limit : std::uint8_t {
  kMemory,           ///< The memory of all sessions.
  kSessionState,     ///< Values and prepared names of one session.
  kIdleTransaction,  ///< The time that a transaction rests.
  kMessageTime,      ///< The time of a message that is sent half.
  kCallers,          ///< The number of callers.
  kDescriptors,      ///< The descriptors left to callers.
};

/// The limit's name in log lines and metrics.
std::string_view NameOf(caller_limit limit);

/// A caller that was refused or closed at a limit.
struct caller_limit_hit {
  caller_limit limit = caller_limit::kMemory;
  caller_id caller;       ///< 0: not accepted.
  std::size_t bytes = 0;  ///< What its session held.
};

/// What one session holds.
struct memory_use {
  std::size_t bytes = 0;
  /// When it last completed a message, or its caller had read all answers.
  instant progress{};
};

/// Adds up what sessions hold and chooses which to close. No I/O.
class memory_account {
 public:
  /// Sessions are chosen while the sum exceeds `mark` bytes; 0: never.
  explicit memory_account(std::size_t mark) : mark_(mark) {}

  void Set(caller_id caller, memory_use use);
  void Remove(caller_id caller);
  std::size_t Total() const { return total_; }
  std::size_t Of(caller_id caller) const;
  bool Exceeded() const { return mark_ != 0 && total_ > mark_; }
  /// The sessions whose end brings the sum below the mark with some room: those
  /// without progress first, the largest of them first. Small sessions are
  /// never chosen.
  std::vector<caller_id> Excess(instant now) const;

 private:
  std::size_t mark_;
  std::size_t total_ = 0;
  std::unordered_map<caller_id, memory_use> uses_;
};

/// The part of the machine's memory for callers' sessions, in bytes; 0 if the
/// machine's limit is not known.
std::size_t CallerMemoryBytes(const instance_settings& settings);
/// The limit of one session's values and prepared names, in bytes. One message
/// of the greatest size always fits.
std::size_t SessionStateBytes(const instance_settings& settings);

/// Applies the limits to the sessions of a front. On the loop's thread only.
class caller_limiter {
 public:
  /// `close` ends a session for want of memory.
  caller_limiter(const instance_settings& settings, event_loop& loop,
                 std::function<void(caller_id, std::size_t bytes)> close);
  caller_limiter(const caller_limiter&) = delete;
  caller_limiter& operator=(const caller_limiter&) = delete;

  /// Takes what a session holds now. Sessions are closed in a later turn.
  void Note(caller_id caller, memory_use use);
  void Forget(caller_id caller);
  std::size_t Total() const { return account_.Total(); }
  /// False if a connection on this descriptor would use the descriptors that
  /// are reserved for endpoints, peers and the store.
  bool MayAccept(int descriptor) const;

 private:
  void Relieve();
  /// Returns freed memory to the system after much has been freed.
  void Trim();

  event_loop& loop_;
  std::uint32_t reserve_;
  std::function<void(caller_id, std::size_t)> close_;
  memory_account account_;
  std::size_t freed_ = 0;
  bool relief_due_ = false;
  bool trim_due_ = false;
  std::shared_ptr<caller_limiter*> self_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_CALLER_LIMITS_H_
