// The input events of the reducer. The shell creates one for each external
// occurrence.

#ifndef MARJORAMSLIP_CORE_EVENTS_H_
#define MARJORAMSLIP_CORE_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/base/verdict.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/endpoint_state.h"
#include "marjoramslip/core/group_record.h"
#include "marjoramslip/core/peer_messages.h"
#include "marjoramslip/core/statement.h"

namespace marjoramslip {

// Events from callers.

/// A caller completed the startup handshake.
struct caller_opened {
  caller_id caller;
  std::string service;
  std::string tenant;
  /// The key by which the caller identifies itself; empty if it gave none.
  std::string key = {};
  /// True if another instance forwards the caller's statements to this one. The
  /// caller then exists for one statement or transaction only.
  bool forwarded = false;
  /// The client account of a forwarded caller, by name; empty if it has none.
  std::string account = {};
};

/// A caller sent a statement. A caller has at most one statement in progress.
struct statement_received {
  caller_id caller;
  request_id request;
  statement_kind kind = statement_kind::kWrite;
  statement_settings settings;
  /// The time that the instance of a forwarded caller has left for it.
  std::optional<duration> time_left = std::nullopt;
  /// True if it belongs to a transaction that a forwarded caller has begun.
  bool continues_transaction = false;
};

/// A caller requested cancellation of its statement in progress.
struct cancel_received {
  caller_id caller;
};

/// A caller ended a transaction that was reported to it as lost. No endpoint
/// holds any state of that transaction.
struct loss_acknowledged {
  caller_id caller;
};

/// A caller disconnected or ended its session.
struct caller_closed {
  caller_id caller;
};

// Events from connections to endpoints.

/// A connection is ready for statements. It is bound to the term for which it
/// was opened.
struct connection_opened {
  connection_id connection;
  endpoint_state state;
};

/// A connection could not be opened.
struct connection_refused {
  connection_id connection;
  bool limit_reached = false;  ///< The endpoint is at its connection limit.
  std::string reason;
  /// True if the connection was established but the endpoint left the startup
  /// unanswered: it is overloaded, or hangs.
  bool unanswered = false;
};

/// The result of a statement as the endpoint reported it.
enum class answer_outcome : std::uint8_t {
  kSucceeded,
  kFailed,      ///< The endpoint reported an error; no effect remains.
  kWrongTerm,   ///< Rejected before execution: the endpoint is at another term.
  kAlreadyRan,  ///< Its idempotency key was already recorded; not run again.
  kNotWritable,  ///< Rejected before execution: the endpoint is a replica.
  kLogBehind,  ///< Rejected before execution: the log lacks the required point.
  kBusy,       ///< Rejected before execution: the endpoint is at capacity.
};

/// The transaction status of a connection.
enum class transaction_status : std::uint8_t { kIdle, kOpen, kFailed };

/// The complete answer to a statement arrived.
struct statement_answered {
  connection_id connection;
  request_id request;
  answer_outcome outcome = answer_outcome::kSucceeded;
  transaction_status transaction = transaction_status::kIdle;
  endpoint_state state;
};

/// Part of an answer was forwarded to the caller. Sent repeatedly, but not for
/// every part, while an answer is forwarded.
struct statement_progressed {
  connection_id connection;
  request_id request;
  /// True if the caller's buffer is full: forwarding waits until the caller
  /// reads.
  bool caller_buffer_full = false;
};

/// A connection broke or was closed by the endpoint.
struct connection_lost {
  connection_id connection;
  /// False only if no byte of the statement in progress left this instance.
  bool maybe_sent = true;
  /// False only if no part of the answer was forwarded to the caller.
  bool maybe_forwarded = true;
};

/// An endpoint answered a probe. `sent_at` is the time the probe was sent.
struct probe_answered {
  endpoint_id endpoint;
  instant sent_at;
  endpoint_state state;
};

/// A probe failed: its connection could not be opened, or gave no answer before
/// the deadline.
struct probe_failed {
  endpoint_id endpoint;
  instant sent_at;
  /// True if opening a new connection was attempted and failed.
  bool new_connection = false;
  /// True if the endpoint refused because it is at capacity: it is reachable,
  /// but its state is unknown.
  bool limit_reached = false;
  /// True if the connection was established but the endpoint left the probe
  /// unanswered: it is overloaded, or hangs.
  bool unanswered = false;
};

/// An endpoint answered `move_endpoint` and is now at `state.term`.
struct endpoint_moved {
  endpoint_id endpoint;
  instant sent_at;
  endpoint_state state;
};

/// An endpoint answered `promote_endpoint`.
struct endpoint_promoted {
  endpoint_id endpoint;
  endpoint_state state;
  bool accepted = false;
};

/// How the platform answered a request for a promotion.
enum class promotion_outcome : std::uint8_t {
  kAccepted,    ///< Takes effect soon, or the endpoint is the primary already.
  kNotRunning,  ///< Refused: the platform regards the endpoint as not running.
  kOverLimit,   ///< Refused: too many requests.
  kNotSent,     ///< No request left this instance.
  kUnknown,     ///< No answer: it may take effect, now or later.
};

/// The platform answered a `promote_endpoint` of a service whose statements
/// carry no term, or the request was given up.
struct promotion_answered {
  endpoint_id endpoint;
  promotion_outcome outcome = promotion_outcome::kUnknown;
  std::string reason;  ///< Human-readable.
};

// Events from carriers: instances to which statements are forwarded.

/// A carrier answered a forwarded statement. The rows are with the front.
struct forward_answered {
  request_id request;
  std::uint64_t attempt = 0;  ///< As in forward_statement.
  instance_id carrier;
  /// Why the carrier did not answer with the statement's result, if so.
  std::optional<failure> refusal = std::nullopt;
  bool succeeded = false;  ///< False if the endpoint reported an error.
  transaction_status transaction = transaction_status::kIdle;
  log_point floor = {};  ///< The session's floor after the statement.
  /// The carrier's other requests of the group in progress, if it reported
  /// them.
  std::optional<std::uint32_t> load = std::nullopt;
};

/// A forwarded statement will not be answered.
struct forward_failed {
  request_id request;
  std::uint64_t attempt = 0;
  instance_id carrier;
  /// False only if the statement did not leave this instance as a whole, so
  /// that the carrier cannot have run it.
  bool maybe_sent = true;
};

/// A carrier has not reacted for a while although statements are outstanding.
/// They may still be answered.
struct carrier_silent {
  instance_id carrier;
};

/// The connection to a carrier ended. The carrier rolls back the transactions
/// that were open over it.
struct carrier_link_lost {
  instance_id carrier;
};

// Events from the platform's key-value service.

/// A group's record arrived from a read or a watch.
struct record_seen {
  group_id group;
  versioned_record record;
};

/// The result of a compare-and-swap.
enum class write_outcome : std::uint8_t {
  kApplied,
  kConflict,
  kUnknown,  ///< Not confirmed; the write may still take effect.
};

/// A `write_record` completed. On kApplied, `revision` is the new revision.
struct record_written {
  operation_id operation;
  group_id group;
  write_outcome outcome = write_outcome::kUnknown;
  std::uint64_t revision = 0;
};

/// The catalogue at one revision of the release notes arrived. Revisions lower
/// than the applied one are ignored.
struct catalogue_seen {
  catalogue value;
};

/// An instance's entry in the membership list.
struct member {
  instance_id id;
  std::string name;
  std::string peer_address;  ///< "tcp://host:port".
  std::string failure_domain;
  bool leaving = false;
  /// The seat that the instance holds, counted from 0; empty if it has none. A
  /// seat is held by one member at a time. Seat k entitles its holder to share
  /// k of every endpoint's connections.
  std::optional<std::uint32_t> seat = std::nullopt;
  /// The lease under which the entry was written; 0 if unknown.
  std::uint64_t lease = 0;
  /// "host:port" at which it accepts forwarded statements; empty: it does not.
  std::string forwarding_address = {};
  /// Its share of the machine's processors, in thousandths of a core; 0 if it
  /// is not known.
  std::uint32_t processor_share = 0;

  bool operator==(const member&) const = default;
};

/// The list of live instances, including this one, was read.
struct members_seen {
  std::vector<member> members;
  /// Time of the read request. The list holds every instance that was a member
  /// at that time.
  instant requested_at{};
};

/// The holder of the duty, on platforms that allow only one instance at a time
/// to promote. The duty is the exclusive right to promote endpoints.
struct duty_seen {
  instance_id holder;  ///< 0: no holder.
  /// Fencing token of the duty: it increases with each new holder, so that the
  /// platform can reject requests of earlier holders.
  std::uint64_t fence = 0;
  /// Time until which this instance is guaranteed to hold the duty; in the past
  /// if it does not hold it.
  instant held_until{};
  /// Time until which an earlier holder may still use the duty.
  instant usable_from{};
};

/// This instance's membership lease was renewed by a call that was sent at
/// `requested_at`. Its announcement under that lease was in the service at
/// `announced_at`.
struct membership_renewed {
  instant requested_at{};
  instant announced_at{};
};

/// All keys, the records among them, were read. The read began at
/// `requested_at`.
struct records_read {
  instant requested_at{};
};

/// The membership lease of another instance was ended by `end_membership`.
struct membership_ended {
  instance_id member;
};

/// The reachability of the key-value service changed.
struct store_reachability {
  bool reachable = false;
  std::string reason;  ///< Error of the last call, human-readable.
};

/// External input was rejected as unusable. It is logged and changes no state.
struct fault_reported {
  std::string name;  ///< Event name in the log, such as "registry.malformed".
  std::string text;  ///< Human-readable description of the input and its fault.
};

// Events from other instances and from operators.

/// A message from another instance arrived.
struct peer_received {
  instance_id from;
  peer_message message;
};

/// An operator requested a planned change of primary. With an endpoint id of 0
/// the instance selects the new primary.
struct promote_requested {
  group_id group;
  endpoint_id endpoint;
};

/// Starts a graceful shutdown: work in progress completes, new work is refused.
struct drain_requested {
  /// True if what is in progress is to be cut off, each statement with its
  /// verdict.
  bool at_once = false;
};

/// Advances time. Sent at least once per `kTickInterval`, and when a `wake_at`
/// effect is due.
struct tick {};

/// Maximum time between two ticks.
inline constexpr duration kTickInterval = std::chrono::milliseconds(10);

using event = std::variant<
    caller_opened, statement_received, cancel_received, loss_acknowledged,
    caller_closed, connection_opened, connection_refused, statement_answered,
    connection_lost, statement_progressed, forward_answered, forward_failed,
    carrier_silent, carrier_link_lost, probe_answered, probe_failed,
    endpoint_moved, endpoint_promoted, promotion_answered, record_seen,
    record_written, catalogue_seen, members_seen, membership_renewed,
    records_read, membership_ended, store_reachability, duty_seen,
    fault_reported, peer_received, promote_requested, drain_requested, tick>;

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_EVENTS_H_
