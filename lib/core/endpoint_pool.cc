// Tracks connections, queue, backoff and expected waits of an endpoint.

#include "endpoint_pool.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>

namespace marjoramslip {
namespace {

/// Connections to one endpoint that may be opening at the same time.
constexpr std::size_t kMaxConcurrentOpens = 2;
/// Connections that each instance reserves for monitoring, where the answers to
/// statements are no evidence of the term and the endpoint is polled.
constexpr std::uint32_t kMonitorConnections = 1;
/// Backoff after a connection failed to open. It doubles with each failure up
/// to the maximum.
constexpr duration kMinBackoff = std::chrono::milliseconds(20);
constexpr duration kMaxBackoff = std::chrono::seconds(1);
/// How long the pool opens fewer connections after the endpoint was at its
/// limit. The endpoint counts the connections of a dead instance for about 3 s
/// more, so the pool tries one more connection at a time.
constexpr duration kTemporaryLimitDuration = std::chrono::milliseconds(500);
/// Idle connections that are kept open, so that the next statement does not
/// have to wait for a new one.
constexpr std::size_t kMinIdleConnections = 1;
/// Other idle connections are closed after this time. After a power loss the
/// endpoint counts the connections of dead instances for 3 s, and idle
/// connections would leave no room for instances that start meanwhile.
constexpr duration kIdleTimeout = std::chrono::milliseconds(1500);
/// Lower bound of the service time of a statement: one network round trip.
constexpr duration kMinServiceTime = std::chrono::milliseconds(1);
/// Interval at which queued requests are checked against their deadlines. It
/// is short compared with statement timeouts, and bounds the cost of checks.
constexpr duration kQueueCheckInterval = std::chrono::milliseconds(20);
/// A new observation has a weight of one in this many.
constexpr int kWeightDivisor = 16;
/// The same for the choice among replicas, which needs the present load: many
/// instances see few answers each.
constexpr int kRecentWeightDivisor = 8;

}  // namespace

void endpoint_pool::SetShare(std::uint32_t share, bool reserve_monitor,
                             instant now) {
  share_ = share;
  reserve_monitor_ = reserve_monitor;
  const std::size_t covered = OwnCapacity(now) + loans_.Borrowed(now);
  excess_connections_ = all_.size() - std::min(all_.size(), covered);
}

std::uint32_t endpoint_pool::OwnCapacity(instant now) const {
  const std::uint32_t unavailable =
      (reserve_monitor_ ? kMonitorConnections : 0) + loans_.Lent(now);
  return share_ - std::min(share_, unavailable);
}

std::uint32_t endpoint_pool::Capacity(instant now) const {
  return OwnCapacity(now) + loans_.Usable(now);
}

bool endpoint_pool::IsWithinCapacity(instant now) const {
  return all_.size() <=
         OwnCapacity(now) + loans_.Borrowed(now) + excess_connections_;
}

std::uint32_t endpoint_pool::ConnectionLimit(instant now) const {
  if (now < temporary_limit_until_) {
    return std::min(Capacity(now), temporary_limit_);
  }
  return Capacity(now);
}

void endpoint_pool::AddOpening(connection_id connection, account_id account) {
  all_.insert(connection);
  opening_.emplace(connection, account);
}

std::size_t endpoint_pool::Opening(account_id account) const {
  return static_cast<std::size_t>(std::count_if(
      opening_.begin(), opening_.end(),
      [account](const auto& one) { return one.second == account; }));
}

bool endpoint_pool::OnOpened(connection_id connection, instant now) {
  opening_.erase(connection);
  backoff_ = duration::zero();
  const bool returns = failed_;
  if (returns) {
    failed_ = false;
    returned_at_ = now;
  }
  return returns;
}

void endpoint_pool::Remove(connection_id connection) {
  if (all_.erase(connection) > 0 && excess_connections_ > 0) {
    --excess_connections_;
  }
  opening_.erase(connection);
  in_flight_.erase(connection);
  std::erase_if(idle_, [connection](const idle_connection& idle) {
    return idle.id == connection;
  });
}

std::optional<connection_id> endpoint_pool::TakeIdle(account_id account) {
  const auto found = std::find_if(idle_.rbegin(), idle_.rend(),
                                  [account](const idle_connection& idle) {
                                    return idle.account == account;
                                  });
  if (found == idle_.rend()) {
    return std::nullopt;
  }
  const connection_id id = found->id;
  idle_.erase(std::next(found).base());
  return id;
}

bool endpoint_pool::HasIdle(account_id account) const {
  return std::any_of(idle_.begin(), idle_.end(),
                     [account](const idle_connection& idle) {
                       return idle.account == account;
                     });
}

void endpoint_pool::ReturnIdle(connection_id connection, instant now,
                               account_id account, bool unused) {
  assert(all_.contains(connection) &&
         "only connections of this pool are returned");
  idle_.push_back({connection, now, account, unused});
}

std::optional<connection_id> endpoint_pool::FindEvictable(instant now) const {
  if (opening_.size() >= kMaxConcurrentOpens || BackingOff(now) ||
      ConnectionLimit(now) == 0) {
    return std::nullopt;
  }
  for (const idle_connection& idle : idle_) {
    if (!idle.unused || waiting_.CountOfAccount(idle.account) == 0) {
      return idle.id;
    }
  }
  return std::nullopt;
}

std::optional<request_id> endpoint_pool::NextToOpenFor(instant now) {
  std::vector<account_id> covered;
  for (const auto& [account, queued] : waiting_.CountsByAccount()) {
    if (Opening(account) >= queued) {
      covered.push_back(account);
    }
  }
  return NextRequest(now, covered);
}

std::optional<instant> endpoint_pool::NextIdleTimeout() const {
  if (idle_.size() <= kMinIdleConnections) {
    return std::nullopt;
  }
  return idle_.front().since + kIdleTimeout;
}

std::optional<connection_id> endpoint_pool::FindExpiredIdle(instant now) const {
  const std::optional<instant> next = NextIdleTimeout();
  if (!next.has_value() || now < *next) {
    return std::nullopt;
  }
  return idle_.front().id;
}

std::uint32_t endpoint_pool::Busy() const {
  return static_cast<std::uint32_t>(all_.size() - opening_.size() -
                                    idle_.size());
}

std::uint32_t endpoint_pool::SendAllowance() const {
  if (!in_flight_limit_.has_value()) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  return *in_flight_limit_ - std::min(*in_flight_limit_, InFlight());
}

bool endpoint_pool::MayOpen(instant now) const {
  return all_.size() < ConnectionLimit(now) &&
         opening_.size() < kMaxConcurrentOpens && !BackingOff(now);
}

void endpoint_pool::OnRefused(connection_id connection, bool limit_reached,
                              instant now) {
  Remove(connection);
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  retry_at_ = now + backoff_;
  if (!limit_reached) {
    OnConnectionFault();
  } else {
    refused_at_ = now;
    temporary_limit_ = std::max<std::uint32_t>(1, Connections());
    temporary_limit_until_ = now + kTemporaryLimitDuration;
  }
}

void endpoint_pool::RecordServiceTime(duration service_time,
                                      std::uint32_t priority) {
  average_service_time_ +=
      (service_time - average_service_time_) / kWeightDivisor;
  waiting_.RecordServiceTime(priority, service_time);
}

void endpoint_pool::RecordResponseTime(duration response_time, instant now) {
  recent_response_time_ +=
      recent_response_time_ == duration::zero()
          ? response_time
          : (response_time - recent_response_time_) / kRecentWeightDivisor;
  answered_at_ = now;
}

replica_load endpoint_pool::ReplicaLoad(instant now) const {
  const auto since = [now](const std::optional<instant>& event) {
    return event.has_value() ? std::optional(now - *event) : std::nullopt;
  };
  return {
      .response_time = recent_response_time_,
      .age = now - answered_at_,
      .own_statements = Busy() + static_cast<std::uint32_t>(waiting_.Count()),
      .surcharge = {},
      .since_refusal = since(refused_at_),
      .since_return = since(returned_at_)};
}

std::optional<duration> endpoint_pool::MeasuredInterval(std::uint32_t priority,
                                                        instant now) const {
  if (!measured_admission_ && !in_flight_limit_.has_value()) {
    return std::nullopt;
  }
  return waiting_.TurnInterval(priority, now);
}

duration endpoint_pool::ExpectedInterval(std::uint32_t priority,
                                         instant now) const {
  if (const auto measured = MeasuredInterval(priority, now)) {
    return *measured;
  }
  const std::uint32_t parallel = std::min(
      Capacity(now),
      in_flight_limit_.value_or(std::numeric_limits<std::uint32_t>::max()));
  return average_service_time_ / std::max<std::uint32_t>(1, parallel);
}

bool endpoint_pool::IsQueueCheckDue(instant now) {
  if (now < next_queue_check_) {
    return false;
  }
  next_queue_check_ = now + kQueueCheckInterval;
  return true;
}

duration endpoint_pool::ExpectedCompletionTime() const {
  const duration service_time =
      std::max(average_service_time_, kMinServiceTime);
  return service_time *
         static_cast<std::int64_t>(1 + Busy() + waiting_.Count());
}

duration endpoint_pool::ExpectedWait(admission_class admission,
                                     instant objective, instant now,
                                     std::uint32_t priority) const {
  const std::optional<duration> measured = MeasuredInterval(priority, now);
  const auto wait_for = [this, &measured, now](std::size_t ahead) {
    const auto turns = static_cast<std::int64_t>(ahead);
    return measured.has_value() ? *measured * turns
                                : average_service_time_ * turns /
                                      std::max<std::uint32_t>(1, Capacity(now));
  };
  // The measured interval is that of the priority's own turns.
  const duration on_time_wait = wait_for(
      measured.has_value()
          ? waiting_.CountAheadInPriority(admission, objective, priority)
          : waiting_.CountAhead(admission, objective, priority));
  // A request that would be late is expected to wait behind the whole queue.
  return now + on_time_wait + average_service_time_ <= objective
             ? on_time_wait
             : wait_for(measured.has_value() ? waiting_.Count(priority)
                                             : waiting_.Count());
}

void endpoint_pool::SetLeaving(bool leaving, instant now) {
  if (!leaving) {
    leaving_since_.reset();
    return;
  }
  if (!leaving_since_.has_value()) {
    leaving_since_ = now;
  }
}

}  // namespace marjoramslip
