// An in-memory key_value_store with fault injection, for tests.

#ifndef MARJORAMSLIP_KV_MEMORY_STORE_H_
#define MARJORAMSLIP_KV_MEMORY_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::kv {

class memory_watch;

/// Holds keys, revisions, leases and watches. Leases have no timeout: they last
/// until they are revoked or expired by the test.
class memory_store : public key_value_store {
 public:
  memory_store();
  ~memory_store() override;

  result<range_result> Range(std::string_view prefix, bool exact) override;
  result<std::uint64_t> Transact(const std::vector<condition>& conditions,
                                 const std::vector<mutation>& writes) override;
  result<std::uint64_t> GrantLease(std::chrono::seconds ttl) override;
  result<void> KeepAlive(std::uint64_t lease) override;
  result<void> RevokeLease(std::uint64_t lease) override;
  result<std::unique_ptr<watch_handle>> Watch(
      std::string_view prefix, std::uint64_t revision,
      std::function<void(const change&)> on_change,
      std::function<void()> on_reset) override;

  // Fault injection.

  /// While the store is down, every call fails with kUnavailable.
  void SetDown(bool down);
  /// The next `count` writes take effect but fail with kUnknown.
  void DropAnswers(int count);
  /// The next `count` writes have no effect and fail with kUnknown.
  void DropRequests(int count);
  /// From now on, writes of `key` have no effect and fail with kUnknown.
  void DropWritesTo(std::string key);
  /// Writes return `delay` after they took effect.
  void DelayAnswers(duration delay);
  /// Every call waits for `delay` before it starts.
  void SetDelay(duration delay);
  /// Expires all leases and deletes their keys.
  void ExpireLeases();
  /// Deletes all keys without notifying watches, as if the store had been
  /// restored empty and had granted the same lease ids again to other clients.
  /// A watch that starts later from an earlier revision is reset.
  void EraseKeysSilently();
  /// The state that a store goes back to.
  struct backup;
  std::shared_ptr<const backup> Copy() const;
  /// Goes back to a copy: later writes and leases are gone, and revisions and
  /// lease ids are given out again. Watches hear of it only if the store tells
  /// its history.
  void GoBack(const backup& copy);
  /// From now on, History() tells how often the store went back.
  void TellHistory();
  history_id History() const override;
  /// Resets every watch, as if changes had been missed; also resets watches
  /// that start later from an earlier revision.
  void ResetWatches();

  /// Returns the number of calls so far, including failed ones.
  std::uint64_t Calls() const;
  /// Returns the number of those calls that renewed a lease.
  std::uint64_t Renewals() const;

 private:
  struct stored_entry {
    entry value;
    std::uint64_t lease = 0;
  };

  /// Starts a call: counts it, waits for the delay, and fails while down.
  result<void> BeginCall();
  result<std::uint64_t> Write(const std::vector<condition>& conditions,
                              const std::vector<mutation>& writes);
  bool Holds(const condition& required) const;
  void Apply(const mutation& write);
  void EraseLease(std::uint64_t lease);
  void Publish(change published);

  mutable std::mutex mutex_;
  std::map<std::string, stored_entry, std::less<>> entries_;
  std::vector<change> log_;
  std::map<std::uint64_t, std::chrono::seconds> leases_;
  std::vector<std::weak_ptr<memory_watch>> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t history_lost_at_ = 0;
  std::uint64_t last_lease_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t renewals_ = 0;
  int answers_to_drop_ = 0;
  int requests_to_drop_ = 0;
  std::string dropped_key_;
  duration delay_{};
  duration answer_delay_{};
  bool down_ = false;
  bool tells_history_ = false;
  std::uint64_t history_ = 1;
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_MEMORY_STORE_H_
