// The side of an instance that callers see, whatever protocol they speak.

#ifndef MARJORAMSLIP_RUNTIME_CALLER_FRONT_H_
#define MARJORAMSLIP_RUNTIME_CALLER_FRONT_H_

#include <cstddef>
#include <functional>
#include <string_view>

#include "marjoramslip/base/time.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/runtime/caller_limits.h"
#include "marjoramslip/runtime/stream_connection.h"

namespace marjoramslip::shell {

/// A session that ended with its last statement unanswered, or with an answer
/// that was not sent whole. Views are valid during the call.
struct session_cut {
  request_id request;          ///< The unanswered statement; 0: none.
  std::string_view statement;  ///< What the caller calls it, if it does.
  duration age{};              ///< Since that statement was read.
  std::size_t unsent_bytes = 0;
  close_cause cause = close_cause::kInstance;
};

/// A statement that the front refused by itself, as its session is closing.
struct session_refusal {
  request_id request;          ///< 0 if the core has not seen it.
  std::string_view statement;  ///< What the caller calls it, if it does.
  const failure& reason;
};

/// Is told of sessions that end early and of what is refused at their end.
class session_observer {
 public:
  virtual ~session_observer() = default;
  virtual void OnRefusal(const session_refusal& refusal) = 0;
  virtual void OnSessionCut(const session_cut& cut) = 0;
  virtual void OnCallerLimited(const caller_limit_hit& /*hit*/) {}
};

/// The sessions of a front by their state.
struct session_counts {
  std::size_t starting = 0;  ///< Connected; the startup is not complete.
  std::size_t open = 0;
  std::size_t closing = 0;      ///< The core has closed the caller.
  std::size_t in_progress = 0;  ///< Those with a statement in progress.
  std::size_t unsent_bytes = 0;
};

/// Accepts callers' connections, turns statements into events and answers
/// into bytes. Lives on the loop's thread.
class caller_front {
 public:
  virtual ~caller_front() = default;

  /// Carries out effects addressed to callers.
  virtual void Release(const release_answer& what) = 0;
  virtual void Fail(const fail_request& what) = 0;
  virtual void Close(const close_caller& what) = 0;
  /// Ignored by fronts whose callers have no keys.
  virtual void SetKey(const caller_key_changed& /*what*/) {}

  /// Ends the front after the core has been drained: accepts the connections
  /// that wait to be accepted, then no more, and calls `on_ended` once there is
  /// no session left. Sessions that open until then are still reported to the
  /// core, which closes them.
  virtual void EndWithSessions(std::function<void()> on_ended) = 0;
  /// Closes the sessions that are left, with `reason` for whatever they have
  /// not answered.
  virtual void DismissSessions(const failure& reason) = 0;

  /// `observer` must outlive the front; null: nobody.
  virtual void SetObserver(session_observer* observer) = 0;
  /// Closes sessions whose transaction rests for longer than this; 0: none.
  virtual void SetIdleTransactionLimit(duration /*limit*/) {}
  virtual session_counts Sessions() const = 0;
  /// Memory that the sessions hold, in bytes.
  virtual std::size_t MemoryBytes() const { return 0; }
  /// Closes all sessions at once, whatever they wait for.
  virtual void CloseSessions() = 0;

  /// What the caller calls the request; empty if its protocol has no names.
  virtual std::string_view NameOf(request_id /*request*/) const { return {}; }

  /// The tenant and service of a caller, for labels; empty if it has gone.
  virtual std::string_view TenantOf(caller_id caller) const = 0;
  virtual std::string_view ServiceOf(caller_id caller) const = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_CALLER_FRONT_H_
