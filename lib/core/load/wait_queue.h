// Queue of requests that wait for a connection to one endpoint. Decides which
// of them is sent next.
//
// Load addressed: an endpoint that receives more requests than it serves, from
// routes of different priority.
//
// Within one priority, the order limits the harm of a slight overload. First
// come, first served makes every request late once the wait has grown to the
// objective, until the whole backlog has drained. This queue serves requests
// that can still meet their objective first, earliest objective first. Late
// requests get the remaining capacity and a fixed fraction of the turns.
//
// Among priorities, the highest one that can still be in time goes first. Each
// lower one gets a sixteenth of the service time while it waits. The share is
// counted in time, not in turns: one statement of a low priority may take as
// long as several of a high one.

#ifndef MARJORAMSLIP_LIB_CORE_LOAD_WAIT_QUEUE_H_
#define MARJORAMSLIP_LIB_CORE_LOAD_WAIT_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "turn_interval.h"

namespace marjoramslip {

/// Admission classes, highest rank first. Statements of transactions in
/// progress use the transaction's connection and are never queued.
enum class admission_class : std::uint8_t { kWrite, kRead };

/// Number of admission classes.
inline constexpr std::size_t kAdmissionClasses = 2;

/// Number of priorities that are told apart; 0 is the highest. Lower priorities
/// than the last count as the last, which bounds state and metric labels.
inline constexpr std::uint32_t kPriorities = 8;

/// A queued request and the turns of its priority that pass before its own, if
/// no further requests arrive.
struct expected_turn {
  request_id request;
  std::uint32_t priority = 0;
  std::size_t turns = 0;
};

/// Requests that wait for a connection to one endpoint.
class wait_queue {
 public:
  /// Queues a request that should be answered by `objective`. Returns the id of
  /// its entry, which is never 0. `account` is the account of its caller; 0 if
  /// it has none.
  std::uint64_t Push(admission_class admission, request_id request,
                     instant objective, std::uint32_t priority = 0,
                     account_id account = {});
  /// Removes an entry. Does nothing if there is no such entry.
  void Erase(std::uint64_t entry_id);

  /// Returns the request to be served next. Requests whose objective is before
  /// `answered_at`, the time of an answer to a request sent now, become late.
  /// Requests of the accounts in `excluded` are passed over.
  std::optional<request_id> SelectNext(
      instant answered_at, std::span<const account_id> excluded = {});
  /// Returns the first request in order for which `fits` returns true. `fits`
  /// must not change the queue.
  std::optional<request_id> FindNext(
      instant answered_at, const std::function<bool(request_id)>& fits);
  /// Returns the read with the earliest objective that is not late, else the
  /// oldest late read, of the highest priority that has one.
  std::optional<request_id> NextRead() const;
  /// Records that the request which SelectNext or FindNext returned last is
  /// sent at `now`. Call it before the request's entry is erased.
  void OnSent(instant now = {});
  /// Records the time from sending a statement of a priority to its answer.
  void RecordServiceTime(std::uint32_t priority, duration service_time);

  /// Returns the requests of a class in order of arrival.
  std::vector<request_id> QueuedRequests(admission_class admission) const;
  std::size_t Count() const { return entries_.size(); }
  /// Returns the number of queued requests of each account that has any.
  const std::map<account_id, std::size_t>& CountsByAccount() const {
    return counts_by_account_;
  }
  std::size_t CountOfAccount(account_id account) const;
  /// Returns how many requests wait of each priority that has been used.
  std::map<std::uint32_t, std::uint32_t> CountByPriority() const;
  /// Returns how many requests of a priority wait.
  std::size_t Count(std::uint32_t priority) const;
  /// Returns how many requests would be served before a request that is queued
  /// now and can still meet `objective`.
  std::size_t CountAhead(admission_class admission, instant objective,
                         std::uint32_t priority = 0) const;
  /// The same, counting requests of this priority only.
  std::size_t CountAheadInPriority(admission_class admission, instant objective,
                                   std::uint32_t priority) const;
  /// Returns the measured time between two turns of a priority while requests
  /// of it wait; nothing if it is unknown.
  std::optional<duration> TurnInterval(std::uint32_t priority,
                                       instant now) const;
  /// Returns every queued request with the turns before its own.
  std::vector<expected_turn> ExpectedTurns() const;

 private:
  struct entry {
    admission_class admission = admission_class::kRead;
    request_id request;
    instant objective{};
    std::uint32_t priority = 0;
    account_id account;
  };

  using by_objective = std::set<std::pair<instant, std::uint64_t>>;

  /// The requests of one priority.
  struct lane {
    /// Objectives and ids of entries that can still be in time, by class.
    std::array<by_objective, kAdmissionClasses> on_time;
    std::set<std::uint64_t> late;  ///< Ids of late entries.
    turn_interval turns;
    duration average_service_time{};
    bool used = false;  ///< A request of this priority has been queued.
    /// Service time that its share entitles it to and that it has not had.
    duration owed{};

    std::size_t CountOnTime() const;
    /// Returns the expected service time of one request.
    duration Cost() const;
    std::size_t Count() const { return CountOnTime() + late.size(); }
  };

  using visitor = std::function<bool(std::uint64_t entry_id)>;

  /// Returns the first request in order whose entry fits.
  std::optional<request_id> SelectEntry(
      instant answered_at, const std::function<bool(const entry&)>& fits);
  void MarkLate(instant answered_at);
  /// Returns the highest priority whose share of the service time is due.
  std::optional<std::uint32_t> SharedTurn() const;
  /// Calls `visit` for the entries in order until it returns true.
  bool Visit(const visitor& visit) const;
  static bool VisitOnTime(const lane& requests, const visitor& visit);
  static bool VisitLate(const lane& requests, const visitor& visit);

  std::map<std::uint64_t, entry> entries_;  ///< By entry id.
  std::map<account_id, std::size_t> counts_by_account_;
  std::array<lane, kPriorities> lanes_;  ///< By priority.
  std::uint64_t next_entry_id_ = 1;
  std::uint64_t sent_ = 0;
  std::uint64_t selected_ = 0;  ///< Entry returned last.
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LOAD_WAIT_QUEUE_H_
