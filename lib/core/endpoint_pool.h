// Connections to one endpoint and the requests queued for them. Part of the
// reducer's state.

#ifndef MARJORAMSLIP_LIB_CORE_ENDPOINT_POOL_H_
#define MARJORAMSLIP_LIB_CORE_ENDPOINT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "load/placement.h"
#include "load/wait_queue.h"
#include "loan_book.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// A connection to an endpoint.
struct connection_state {
  connection_id id;
  endpoint_id endpoint;
  term_number term = 0;
  instant open_requested_at;  ///< When opening it was requested.
  bool open = false;
  /// The account in whose name it was opened; 0: in the instance's name.
  account_id account;
  bool used = false;   ///< A statement was sent over it.
  request_id request;  ///< Request in flight, or 0.
  caller_id pinned;    ///< Caller whose transaction uses it, or 0.
  /// The transaction only reads, and the endpoint's log contained the floor
  /// when the transaction began. Its statements need no permit.
  bool floor_pinned = false;
};

/// An open connection without request or transaction, and since when it is
/// idle.
struct idle_connection {
  connection_id id;
  instant since;
  account_id account;
  /// True if it has not served any statement yet.
  bool unused = false;
};

/// Connections and queue of one endpoint.
class endpoint_pool {
 public:
  endpoint_pool() = default;
  endpoint_pool(endpoint_id id, group_id group) : id_(id), group_(group) {}

  endpoint_id Id() const { return id_; }
  group_id Group() const { return group_; }

  // Connections.

  /// Sets the share: the number of the endpoint's connections that this
  /// instance may hold. `reserve_monitor` reserves one of them for monitoring.
  void SetShare(std::uint32_t share, bool reserve_monitor, instant now);
  std::uint32_t Share() const { return share_; }
  /// Returns the share less the monitoring connection and lent connections.
  std::uint32_t OwnCapacity(instant now) const;
  /// Returns the own capacity and the borrowed connections on which a statement
  /// may begin now.
  std::uint32_t Capacity(instant now) const;
  /// Returns true if the connections held are within own capacity and loans.
  /// Connections that were in excess when the share shrank do not count.
  bool IsWithinCapacity(instant now) const;
  /// Returns the capacity, reduced for a while after the endpoint has reached
  /// its connection limit.
  std::uint32_t ConnectionLimit(instant now) const;

  void AddOpening(connection_id connection, account_id account = {});
  /// Records that a connection is open. Returns true if the endpoint had failed
  /// and returns.
  bool OnOpened(connection_id connection, instant now);
  void Remove(connection_id connection);
  /// Takes the most recently used idle connection of an account, if there is
  /// one.
  std::optional<connection_id> TakeIdle(account_id account = {});
  bool HasIdle(account_id account) const;
  /// Adds a connection of this pool to the idle ones. `unused` tells that it
  /// has just been opened.
  void ReturnIdle(connection_id connection, instant now,
                  account_id account = {}, bool unused = false);
  /// Returns the least recently used idle connection that may be closed in
  /// favour of another account: one that was opened for a request which is
  /// still queued is kept until it has served one. Empty if closing it would
  /// not allow a connection to be opened now.
  std::optional<connection_id> FindEvictable(instant now) const;
  const std::vector<idle_connection>& Idle() const { return idle_; }
  /// Returns a connection that has been idle for too long, if there is one.
  std::optional<connection_id> FindExpiredIdle(instant now) const;
  /// Returns when the next idle connection reaches the idle timeout if none is
  /// used before.
  std::optional<instant> NextIdleTimeout() const;
  const std::set<connection_id>& All() const { return all_; }

  std::uint32_t Connections() const {
    return static_cast<std::uint32_t>(all_.size());
  }
  std::uint32_t Busy() const;

  // Statements in flight. A connection whose transaction is between two
  // statements is busy, but has none in flight.

  /// Sets how many statements may be in flight before queued requests have to
  /// wait; no limit if empty. Statements of open transactions are counted, but
  /// never wait. InFlightLimit computes the share of one instance.
  void SetInFlightLimit(std::optional<std::uint32_t> limit) {
    in_flight_limit_ = limit;
  }
  const std::optional<std::uint32_t>& InFlightLimit() const {
    return in_flight_limit_;
  }
  void OnStatementSent(connection_id connection) {
    in_flight_.insert(connection);
  }
  void OnStatementAnswered(connection_id connection) {
    in_flight_.erase(connection);
  }
  std::uint32_t InFlight() const {
    return static_cast<std::uint32_t>(in_flight_.size());
  }
  /// Returns how many more queued requests may be sent now.
  std::uint32_t SendAllowance() const;

  loan_book& Loans() { return loans_; }
  const loan_book& Loans() const { return loans_; }

  /// Returns true if one more connection may be opened now.
  bool MayOpen(instant now) const;
  /// Returns the number of connections being opened.
  std::uint32_t Opening() const {
    return static_cast<std::uint32_t>(opening_.size());
  }
  std::size_t Opening(account_id account) const;
  bool BackingOff(instant now) const { return now < retry_at_; }
  instant RetryAt() const { return retry_at_; }

  /// Removes a connection that failed to open and extends the backoff. With
  /// `limit_reached`, the endpoint was at its connection limit, and the pool
  /// opens fewer connections for a while.
  void OnRefused(connection_id connection, bool limit_reached, instant now);

  // Requests that wait for a connection.

  wait_queue& Waiting() { return waiting_; }
  const wait_queue& Waiting() const { return waiting_; }
  /// Returns the request to be sent next that is of no account in `excluded`.
  /// May mark queued requests as late.
  std::optional<request_id> NextRequest(
      instant now, std::span<const account_id> excluded = {}) {
    return waiting_.SelectNext(now + average_service_time_, excluded);
  }
  /// Returns the first request in order for which no connection is being
  /// opened yet.
  std::optional<request_id> NextToOpenFor(instant now);

  // Expected waits.

  /// Records the time from sending a statement to its answer.
  void RecordServiceTime(duration service_time, std::uint32_t priority = 0);
  /// Records the time of a statement that was answered at `now`, not refused: a
  /// replica that refuses at once must not look fast.
  void RecordResponseTime(duration response_time, instant now);
  /// Records that the endpoint refused a statement as busy.
  void OnStatementRefused(instant now) { refused_at_ = now; }
  /// Records that a connection to the endpoint was lost or failed to open. The
  /// endpoint has failed if no other is open.
  void OnConnectionFault() {
    failed_ = failed_ || all_.size() == opening_.size();
  }
  /// Returns what this instance knows of the endpoint's load.
  replica_load ReplicaLoad(instant now) const;
  /// Returns the expected time until a statement queued now is answered, behind
  /// this instance's statements in flight and in the queue.
  duration ExpectedCompletionTime() const;
  /// Returns how long a request with `objective` would wait if it were queued
  /// now.
  duration ExpectedWait(admission_class admission, instant objective,
                        instant now, std::uint32_t priority = 0) const;
  /// Sets whether waits are computed from the measured rate of turns. They
  /// always are while an in-flight limit is set.
  void SetMeasuredAdmission(bool measured) { measured_admission_ = measured; }
  /// Returns the measured time between two turns of a priority; nothing if it
  /// is unknown or not in use.
  std::optional<duration> MeasuredInterval(std::uint32_t priority,
                                           instant now) const;
  /// Returns the expected time between two turns, measured or estimated.
  duration ExpectedInterval(std::uint32_t priority, instant now) const;
  /// Returns true once per check interval, for the check of queued requests
  /// against their deadlines.
  bool IsQueueCheckDue(instant now);

  // Withdrawal.

  void SetLeaving(bool leaving, instant now);
  const std::optional<instant>& LeavingSince() const { return leaving_since_; }

  /// Next expiry of the pool's timer, if it is set.
  std::optional<instant> timer;

 private:
  endpoint_id id_;
  group_id group_;
  std::uint32_t share_ = 1;
  bool reserve_monitor_ = true;
  std::size_t excess_connections_ = 0;  ///< In excess since the share shrank.
  loan_book loans_;
  std::set<connection_id> all_;
  std::map<connection_id, account_id> opening_;
  std::vector<idle_connection> idle_;  ///< Most recently used last.
  wait_queue waiting_;
  std::set<connection_id> in_flight_;
  std::optional<std::uint32_t> in_flight_limit_;
  bool measured_admission_ = false;
  instant next_queue_check_{};
  duration recent_response_time_{};
  instant answered_at_{};
  std::optional<instant> refused_at_;
  bool failed_ = false;  ///< No connection since the last one failed.
  std::optional<instant> returned_at_;
  instant retry_at_{};
  duration backoff_{};
  std::uint32_t temporary_limit_ = 0;
  instant temporary_limit_until_{};
  duration average_service_time_{};
  std::optional<instant> leaving_since_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ENDPOINT_POOL_H_
