// Positions in a group's log, compared across changes of primary.

#ifndef MARJORAMSLIP_BASE_LOG_POINT_H_
#define MARJORAMSLIP_BASE_LOG_POINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marjoramslip {

/// A term: the reign of one primary. Terms start at 1; 0 means none.
using term_number = std::uint64_t;

/// A position in a log: the count of entries up to and including it.
using log_position = std::uint64_t;

/// A position within the log of one term.
struct log_point {
  term_number term = 0;
  log_position position = 0;

  auto operator<=>(const log_point&) const = default;
};

/// Where the log of a term begins: it shares the log of `parent` up to and
/// including `start`.
struct fork_point {
  term_number term = 0;
  term_number parent = 0;
  log_position start = 0;

  auto operator<=>(const fork_point&) const = default;
};

/// The ancestry of a group's log.
class fork_history {
 public:
  fork_history() = default;
  /// `forks` in ascending order of term.
  explicit fork_history(std::vector<fork_point> forks);

  /// Adds the newest term. Its term must exceed all the others.
  void Append(fork_point fork);

  /// True if a log that has reached `reached` contains the entry `wanted`.
  bool Contains(log_point reached, log_point wanted) const;

  /// True if the log of `current` will never contain `wanted`: it was beyond
  /// a fork and has been lost with its primary.
  bool Lost(term_number current, log_point wanted) const;

  /// The greatest entry of the log up to `wanted` that the log of `current`
  /// will contain: `wanted` itself unless it was lost.
  log_point Surviving(term_number current, log_point wanted) const;

  /// The greater of two points of the same lineage as seen from `current`;
  /// a lost point is greater than any other.
  log_point Later(term_number current, log_point a, log_point b) const;

  /// The same entry under the term that wrote it: a position at or below a
  /// term's start belongs to its parent.
  log_point Normalize(log_point point) const;

  std::span<const fork_point> Forks() const { return forks_; }
  bool operator==(const fork_history&) const = default;

 private:
  const fork_point* Find(term_number term) const;

  std::vector<fork_point> forks_;
};

/// "term:position" as text.
std::string FormatLogPoint(log_point point);

/// Reads "term:position"; empty if malformed.
std::optional<log_point> ParseLogPoint(std::string_view text);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_BASE_LOG_POINT_H_
