// The effects that the reducer emits. The shell carries them out.

#ifndef MARJORAMSLIP_CORE_EFFECTS_H_
#define MARJORAMSLIP_CORE_EFFECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/base/verdict.h"
#include "marjoramslip/core/change_stage.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/core/group_record.h"
#include "marjoramslip/core/peer_messages.h"

namespace marjoramslip {

// Effects on callers.

/// Releases the end of the answer to the caller. Rows are forwarded before it.
struct release_answer {
  caller_id caller;
  request_id request;
  /// The session's floor after this statement. The caller receives it as its
  /// session token.
  log_point floor;
  /// Other requests of the group in progress at this instance.
  std::uint32_t load = 0;
};

/// Ends a request with an error in place of the rest of its answer.
struct fail_request {
  caller_id caller;
  request_id request;
  failure reason;
  std::uint32_t load = 0;  ///< As in release_answer.
};

/// Returns the failure with which callers are closed during the shutdown.
failure ShutdownFailure();

/// Closes a caller's connection once all released answers have been sent.
struct close_caller {
  caller_id caller;
  failure reason;
};

/// Tells whether statements of the caller that need no endpoint are refused
/// outside transactions, because its key was withdrawn. The core refuses all
/// others itself.
struct caller_key_changed {
  caller_id caller;
  std::optional<failure> refusal;  ///< Empty: they are accepted.
};

// Effects on endpoints.

/// Opens a connection for statements of `term`. Answered by connection_opened
/// or connection_refused within `timeout`.
struct open_connection {
  connection_id connection;
  endpoint_id endpoint;
  term_number term = 0;
  duration timeout{};
  /// Name of the account in whose name it is opened; if empty, in the
  /// instance's.
  std::string account = {};
};

/// Closes a connection. Data that still arrives on it is discarded.
struct close_connection {
  connection_id connection;
};

/// Sends the request's statement over an idle connection, for `term`. If
/// `idempotency_key` is not empty, the shell wraps the statement in a
/// transaction that records the key. Answered by statement_answered or
/// connection_lost.
struct send_statement {
  connection_id connection;
  request_id request;
  term_number term = 0;
  bool read_only = false;
  std::string idempotency_key;
  /// The log point that the endpoint must have reached for the statement to
  /// run; a position of 0 means no requirement. Ignored if the protocol cannot
  /// express it.
  log_point required_point = {};
};

/// Sends a caller's statement to an instance that carries its group. Answered
/// by forward_answered or forward_failed.
struct forward_statement {
  instance_id carrier;
  caller_id caller;
  request_id request;
  std::uint64_t attempt = 0;  ///< Unique for this process.
  statement_kind kind = statement_kind::kWrite;
  std::string service;  ///< The name that the caller connected to.
  std::string tenant;
  std::string account;             ///< Name of its account; empty: none.
  std::optional<log_point> floor;  ///< The session's floor, if it has one.
  duration time_left{};
  /// The statement belongs to a transaction that is open at the carrier.
  bool in_transaction = false;
};

/// Tells a carrier that the caller's statement and transaction there are given
/// up. What has not been sent to an endpoint does not run any more.
struct end_forwarded_caller {
  instance_id carrier;
  caller_id caller;
};

/// Requests cancellation of the statement that runs on the connection.
struct cancel_statement {
  connection_id connection;
};

/// Sends a probe: a request for an endpoint's state over the instance's
/// monitoring connection. Answered by probe_answered or probe_failed within
/// `timeout`. At most one probe is in flight for each endpoint. If
/// `new_connection` is set, the probe opens a new monitoring connection, which
/// replaces the old one.
struct probe_endpoint {
  endpoint_id endpoint;
  duration timeout{};
  bool new_connection = false;
};

/// Moves an endpoint to `term`: it steps down as primary of any lower term and
/// rejects all requests of lower terms. Idempotent. Answered by endpoint_moved,
/// or not at all.
struct move_endpoint {
  endpoint_id endpoint;
  term_number term = 0;
  /// If false, a primary only steps down, and a replica continues to replicate.
  bool stop_replication = true;
};

/// Makes an endpoint that is at `term` the primary of that term. Idempotent.
/// Answered by endpoint_promoted, or not at all. Where the platform promotes,
/// by promotion_answered.
struct promote_endpoint {
  endpoint_id endpoint;
  term_number term = 0;
  /// Fencing token of the duty; 0 if the platform has no duty.
  std::uint64_t fence = 0;
  /// The request is not sent later than this: the duty may have passed on, or
  /// another endpoint may have been chosen.
  instant send_until = instant::max();
};

// Effects on the platform's key-value service.

/// Writes a group's record if its revision is still `expected_revision` (0: the
/// key is absent).
struct write_record {
  operation_id operation;
  group_id group;
  std::uint64_t expected_revision = 0;
  group_record record;
};

/// Reads a group's record. Answered by record_seen, or not at all.
struct read_record {
  group_id group;
};

/// Reads the list of instances. Answered by members_seen, or not at all.
struct read_members {};

/// Ends the membership lease of an instance that does not acknowledge a sealed
/// record, so that it cannot renew the lease. Answered by membership_ended, or
/// not at all.
struct end_membership {
  instance_id member;
  std::uint64_t lease = 0;
};

// Effects on other instances.

/// Sends a message to one instance, or to all other instances if `recipient` is
/// 0. Delivery is not guaranteed.
struct send_peer_message {
  instance_id recipient;
  peer_message message;
};

// Logs and metrics.

/// Severity of a log line.
enum class log_level : std::uint8_t { kInfo, kWarning, kError };

/// Writes one line to the log.
struct log_line {
  log_level level = log_level::kInfo;
  std::string event;  ///< Event name, such as "group.sealed".
  std::string text;   ///< Human-readable details.
  group_id group;
  endpoint_id endpoint;
  term_number term = 0;
  request_id request;
};

/// Records a completed request in the metrics.
struct request_finished {
  request_id request;
  caller_id caller;
  account_id account = {};  ///< 0: none.
  statement_kind kind = statement_kind::kRead;
  endpoint_role served_by = endpoint_role::kPrimary;
  bool succeeded = false;
  verdict effect = verdict::kNotRun;
  duration queued{};  ///< From arrival to sending.
  duration total{};   ///< From arrival to the end of the answer.
};

/// The counters that the metrics export.
enum class counter : std::uint8_t {
  kInvariantChecks,
  kInvariantViolations,
  kPromotionsStarted,
  kPromotionsFinished,
  kPrimariesHandedBack,
  kFailoverGapMicroseconds,
  kPermitWaits,
  kReplicaWaits,
  kReadsTakenOver,
  kReadsPlacedElsewhere,  ///< Not at the endpoint that looks cheapest.
  kRetries,
  kRefusals,
  kRefusedOnArrival,     ///< The wait would exceed the deadline.
  kRefusedWhileWaiting,  ///< The wait has become too long.
  kRefusedQueueFull,     ///< Too many requests wait for the group.
  kEvidenceRequested,
  kEvidenceUnanswered,
  kLimitRequests,
  kLimitUnanswered,
  kAccountRefusals,
  kUnknownKeys,
  kConnectionsEvicted,
  kStatementsForwarded,
  kStatementsCarried,
  kCarriersTriedAgain,
  kCarriersAvoided,
  kCarrierRefusals,
  kCarrierChanges,
};

/// Increments a counter by `amount`, for `group` if it is not 0.
struct counter_increment {
  counter counter_kind = counter::kInvariantChecks;
  std::uint64_t amount = 1;
  group_id group;
};

/// Records in the metrics for how long a group accepted no writes while it was
/// in `stage`.
struct group_closed {
  group_id group;
  change_stage stage = change_stage::kNone;
  duration length{};
};

/// Requests a tick at `when` if that is earlier than the next regular tick.
struct wake_at {
  instant when;
};

/// All work after drain_requested is complete; the process may exit once its
/// callers' sessions have ended. Callers are still answered.
struct drained {};

using effect =
    std::variant<release_answer, fail_request, close_caller, caller_key_changed,
                 open_connection, close_connection, send_statement,
                 forward_statement, end_forwarded_caller, cancel_statement,
                 probe_endpoint, move_endpoint, promote_endpoint, write_record,
                 read_record, read_members, end_membership, send_peer_message,
                 log_line, request_finished, counter_increment, group_closed,
                 wake_at, drained>;

/// Effects in the order in which the shell must carry them out.
using effect_list = std::vector<effect>;

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_EFFECTS_H_
