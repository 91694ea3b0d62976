// Knows whether the earlier homes of a shard have ended, by their own word.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_SUCCESSION_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_SUCCESSION_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "list_history.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// How long an answer to a claim or to a question for witnesses counts, from
/// when it was asked for. Shorter than the wait of a home that begins without
/// confirmations, so no instance that confirmed acts again meanwhile.
inline constexpr duration kConfirmationLifetime = std::chrono::seconds(1);
/// How long a notice of an instance that left counts. Shorter than a process of
/// the same name that was listed after it stays listed.
inline constexpr duration kLeaveLifetime = std::chrono::seconds(1);

/// Which instances may act as the home of a shard, and which of them have
/// confirmed that they do not. The instances are those of the lists of this
/// instance, and of a witness: an instance whose lists cover all that may act.
class limit_succession {
 public:
  explicit limit_succession(instance_id self) : self_(self) {}

  /// Applies a list of members.
  void OnList(std::span<const instance_id> listed, instant requested_at,
              instant now);
  /// Handles an answer to a question that was sent at `asked_at`: the instances
  /// of a run of lists that covers all that may act.
  void OnWitness(std::vector<instance_id> recent, instant asked_at);
  /// Handles a peer's confirmation, asked for at `asked_at`, that it gave up
  /// what authority it had. `steady`: it vouches that it supported no other
  /// instance and ended no membership lately.
  void OnConfirmed(instance_id peer, instant asked_at, bool steady);
  /// Handles an answer of a peer that acts and waits for all others' word.
  void OnActing(instance_id peer, instant asked_at);
  /// Handles the notice of a process that ended in order.
  void OnLeft(instance_id peer, instant now) { left_at_[peer] = now; }

  /// True if this instance or another one is a witness now.
  bool Witnessed(instant now) const;
  /// Returns the instances that have not confirmed since `since`.
  std::vector<instance_id> Unconfirmed(instant since, instant now) const;
  /// True if all that have not confirmed since `since` said that they act.
  bool OnlyActingLeft(instant since, instant now) const;
  /// Returns from when on a list must have been requested that shows that no
  /// other instance may act; empty if confirmations are missing. One instance
  /// that is not listed any more may be missing if this one and all others are
  /// steady: its lease has expired, and nobody supports it.
  std::optional<instant> CompleteAt(instant since, bool steady,
                                    instant now) const;

  const list_history& History() const { return history_; }

 private:
  struct confirmation {
    instant asked_at{};
    bool steady = false;
  };
  struct witness {
    instant asked_at;
    std::vector<instance_id> recent;
  };

  bool IsListed(instance_id id) const;
  bool HasLeft(instance_id id, instant now) const;
  /// Returns the confirmation of an instance if it counts.
  const confirmation* Confirmation(instance_id id, instant since,
                                   instant now) const;
  /// Returns the other instances that may act.
  std::vector<instance_id> Candidates(instant now) const;

  instance_id self_;
  list_history history_;
  std::vector<instance_id> listed_;
  std::optional<witness> witness_;
  std::map<instance_id, confirmation> confirmed_;
  std::map<instance_id, instant> acting_at_;
  std::map<instance_id, instant> left_at_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_SUCCESSION_H_
