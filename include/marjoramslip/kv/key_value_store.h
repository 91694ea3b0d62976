// Abstract interface of the platform's key-value service.

#ifndef MARJORAMSLIP_KV_KEY_VALUE_STORE_H_
#define MARJORAMSLIP_KV_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip::kv {

/// A key with its value and revisions.
struct entry {
  std::string key;
  std::string value;
  std::uint64_t create_revision = 0;
  std::uint64_t mod_revision = 0;
  std::uint64_t lease = 0;  ///< 0: none.
};

/// Numbers the histories of a store. A store that is restored from an older
/// copy loses what it acknowledged since that copy, begins another history with
/// a higher number, and may give out the same revisions and lease ids again.
/// Empty if the store does not tell.
using history_id = std::optional<std::uint64_t>;

/// The entries of a range and the store's revision at which they were read.
struct range_result {
  std::vector<entry> entries;
  std::uint64_t revision = 0;
  history_id history = {};  ///< Revisions are of this history.
};

/// Holds if the key's mod_revision equals `mod_revision`; 0 requires that the
/// key does not exist.
struct condition {
  std::string key;
  std::uint64_t mod_revision = 0;
};

/// A write of a value, or the deletion of a key.
struct mutation {
  std::string key;
  std::string value;
  bool erase = false;
  std::uint64_t lease = 0;  ///< 0: none.
};

/// A change reported by a watch.
struct change {
  entry current_entry;  ///< A deletion sets only the key and mod_revision.
  bool erased = false;
};

/// Ends its watch when destroyed.
class watch_handle {
 public:
  virtual ~watch_handle() = default;
};

/// Each method makes one call to the service and blocks for at most the store's
/// deadline. Errors: kUnavailable if the call had no effect, kUnknown if a
/// write may have taken effect or may still do so. Safe for use by several
/// threads.
class key_value_store {
 public:
  virtual ~key_value_store() = default;

  /// Returns the entries whose keys start with `prefix`, or with `exact` the
  /// entry with that key.
  virtual result<range_result> Range(std::string_view prefix, bool exact) = 0;

  /// Applies all `writes` if all `conditions` hold. Returns the revision of
  /// the write; fails with kConflict if a condition does not hold.
  virtual result<std::uint64_t> Transact(
      const std::vector<condition>& conditions,
      const std::vector<mutation>& writes) = 0;

  /// Grants a lease of `ttl` and returns its id, which is never 0.
  virtual result<std::uint64_t> GrantLease(std::chrono::seconds ttl) = 0;

  /// Renews a lease; fails with kConflict if it has expired.
  virtual result<void> KeepAlive(std::uint64_t lease) = 0;

  /// Revokes a lease and deletes its keys.
  virtual result<void> RevokeLease(std::uint64_t lease) = 0;

  /// Reports the changes below `prefix` from `revision` on, in order, on a
  /// thread of the store; reconnects as needed. `on_reset` is called if changes
  /// may have been missed; the caller then has to read the range again. The
  /// watch is of the history that History() returned last: a caller whose read
  /// is of another one has to read again.
  virtual result<std::unique_ptr<watch_handle>> Watch(
      std::string_view prefix, std::uint64_t revision,
      std::function<void(const change&)> on_change,
      std::function<void()> on_reset) = 0;

  /// Returns the newest history that an answer has told; never decreases. A
  /// call that succeeded was executed in history `h` if this returned `h` both
  /// before the call and after it: answers from earlier histories fail.
  virtual history_id History() const { return std::nullopt; }
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_KEY_VALUE_STORE_H_
