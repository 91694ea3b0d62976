// The replication state that a database reports with every answer.

#ifndef MARJORAMSLIP_CORE_ENDPOINT_STATE_H_
#define MARJORAMSLIP_CORE_ENDPOINT_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "marjoramslip/base/log_point.h"

namespace marjoramslip {

/// The replication role of a database in its group.
enum class endpoint_role : std::uint8_t { kReplica, kPrimary };

/// The term, log position and role that a database reports for itself.
struct endpoint_state {
  /// The highest term to which it was moved; it rejects lower terms.
  term_number term = 0;
  /// The term of the primary from which its log comes; 0 if the database is new
  /// and empty.
  term_number log_term = 0;
  log_position position = 0;
  endpoint_role role = endpoint_role::kReplica;
  /// False if the answer held only the last log entry. `term` and `role` are
  /// then unknown, and the state is no evidence of a term.
  bool complete = true;
  /// True if replication is stopped: the database was moved to `term` and has
  /// since been neither promoted nor made to follow a primary.
  bool replication_stopped = false;
  /// The last log entry received, on databases where it can be ahead of the
  /// last entry visible to reads.
  log_point received_point = {};

  log_point Point() const { return {log_term, position}; }
  bool operator==(const endpoint_state&) const = default;
};

/// Returns "term/log_term/position/role", where role is "primary" or "replica".
/// Databases report this text as the parameter `group_state`.
std::string FormatEndpointState(const endpoint_state& state);

/// Parses the output of FormatEndpointState; returns empty if malformed.
std::optional<endpoint_state> ParseEndpointState(std::string_view text);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_ENDPOINT_STATE_H_
