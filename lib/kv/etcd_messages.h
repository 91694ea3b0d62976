// JSON requests and answers of the gateway of etcd v3.

#ifndef MARJORAMSLIP_LIB_KV_ETCD_MESSAGES_H_
#define MARJORAMSLIP_LIB_KV_ETCD_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/kv/base64.h"
#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::kv::etcd {

/// Returns the first key after all keys that start with `prefix`. If there is
/// none, returns one zero byte, which means the end of the key space.
std::string PrefixEnd(std::string_view prefix);

// Requests.
std::string RangeRequest(std::string_view prefix, bool exact);
std::string TransactRequest(const std::vector<condition>& conditions,
                            const std::vector<mutation>& writes);
std::string GrantRequest(std::chrono::seconds ttl);
std::string LeaseRequest(std::uint64_t lease);
std::string WatchRequest(std::string_view prefix, std::uint64_t revision);

// Answers; kInvalid if malformed.

/// The outcome of a transaction.
struct transact_answer {
  bool succeeded = false;
  std::uint64_t revision = 0;
};

/// A message of a watch stream.
struct watch_answer {
  std::vector<change> changes;
  bool canceled = false;
  /// The oldest revision kept if the requested one was compacted;
  /// otherwise 0.
  std::uint64_t oldest_revision = 0;
  /// The store's revision when the watch was created; 0 in all other messages.
  std::uint64_t created_at_revision = 0;
};

result<range_result> ParseRange(std::string_view body);
result<transact_answer> ParseTransact(std::string_view body);
/// Returns the id of the granted lease.
result<std::uint64_t> ParseGrant(std::string_view body);
/// Returns the remaining time of a renewed lease in seconds; 0 if it has
/// expired.
result<std::int64_t> ParseKeepAlive(std::string_view body);
result<watch_answer> ParseWatch(std::string_view line);

}  // namespace marjoramslip::kv::etcd

#endif  // MARJORAMSLIP_LIB_KV_ETCD_MESSAGES_H_
