// The state of the key-value stand-in: keys with revisions, leases and the
// history of changes that watches read.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_KV_STORE_H_
#define MARJORAMSLIP_TOOLS_STANDIN_KV_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace standin {

/// A key with what etcd keeps of it.
struct kv_pair {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/// Keys from `key` up to `range_end`: empty means `key` alone, a zero byte
/// means all from `key` on.
struct kv_range {
  std::string key;
  std::string range_end;
  std::int64_t limit = 0;  ///< 0: no limit.

  bool Covers(std::string_view candidate) const;
};

/// Sets a key.
struct kv_put {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};

/// Deletes the keys of a range.
struct kv_delete {
  kv_range range;
};

using kv_operation = std::variant<kv_range, kv_put, kv_delete>;

/// Which attribute of a key a comparison looks at.
enum class kv_target : std::uint8_t { kVersion, kCreate, kMod };

/// Holds if the attribute equals `value`; an absent key has 0 in all.
struct kv_compare {
  std::string key;
  kv_target target = kv_target::kVersion;
  std::int64_t value = 0;
};

/// What one operation answered.
struct kv_answer {
  std::vector<kv_pair> pairs;  ///< Of a range.
  std::int64_t count = 0;      ///< Of a range before its limit.
  std::int64_t deleted = 0;    ///< Of a deletion.
  bool more = false;           ///< The limit left some out.
};

/// What a transaction answered.
struct kv_txn_answer {
  bool succeeded = false;
  std::int64_t revision = 0;
  std::vector<kv_answer> answers;
};

/// A change of a key; a deletion has only the key and its revision.
struct kv_change {
  kv_pair now;
  bool erased = false;
};

/// What a watch finds next.
struct kv_changes {
  std::vector<kv_change> changes;
  std::int64_t revision = 0;       ///< Of the store.
  std::int64_t next_revision = 0;  ///< Where to continue.
  std::int64_t compacted = 0;      ///< Above 0: the start is gone.
};

/// All that a store holds at one moment, but for its history.
struct kv_copy {
  std::map<std::string, kv_pair, std::less<>> pairs;
  std::map<std::int64_t, std::chrono::milliseconds> leases;  ///< By their ttl.
  std::int64_t revision = 0;
};

/// A store safe for use by several threads.
class kv_store {
 public:
  /// Runs `success` if every comparison holds, else `failure`, as one
  /// change. Empty if a put names an unknown lease.
  std::optional<kv_txn_answer> Transact(
      const std::vector<kv_compare>& compares,
      const std::vector<kv_operation>& success,
      const std::vector<kv_operation>& failure);

  /// Grants a lease; `id` 0 lets the store choose one. Returns its id.
  std::int64_t Grant(std::int64_t id, std::chrono::milliseconds ttl);

  /// Renews a lease. The time granted, 0 if it has lapsed.
  std::chrono::milliseconds KeepAlive(std::int64_t id);

  /// Ends a lease and deletes its keys; false if unknown.
  bool Revoke(std::int64_t id);

  /// Ends all leases at once.
  void LapseAll();

  /// Ends the leases whose time is over.
  void LapseDue();

  /// Changes of `range` from `start` on; waits up to `patience` for one.
  kv_changes ChangesFrom(const kv_range& range, std::int64_t start,
                         std::chrono::milliseconds patience);

  /// Forgets the history: watches from before now are to start anew.
  void Compact();

  kv_copy Copy();

  /// Goes back to a copy that is not older than the history. Leases run anew.
  /// Revisions after the copy's are given out again.
  void Restore(const kv_copy& copy);

  /// The revision of the last change.
  std::int64_t Revision();

 private:
  struct lease {
    std::chrono::milliseconds ttl{0};
    std::chrono::steady_clock::time_point deadline;
  };

  bool Holds(const kv_compare& compare) const;
  bool LeasesExist(const std::vector<kv_operation>& operations) const;
  kv_answer Range(const kv_range& range) const;
  void Put(const kv_put& put, std::int64_t revision);
  std::int64_t Delete(const kv_range& range, std::int64_t revision);
  void EndLease(std::int64_t id);
  void Record(kv_change change);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, kv_pair, std::less<>> pairs_;
  std::map<std::int64_t, lease> leases_;
  std::deque<kv_change> history_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
  std::int64_t next_lease_ = 7587000000000001;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_KV_STORE_H_
