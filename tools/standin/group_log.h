// The log of a database: committed transactions and the terms they belong to.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_GROUP_LOG_H_
#define MARJORAMSLIP_TOOLS_STANDIN_GROUP_LOG_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace standin {

using wall_time = std::chrono::time_point<std::chrono::system_clock,
                                          std::chrono::milliseconds>;

/// A committed transaction.
struct log_entry {
  std::uint64_t term = 0;
  wall_time committed;
  std::vector<std::string> statements;
};

/// Where the log of a term begins: entries up to `start` are of earlier terms.
struct term_start {
  std::uint64_t term = 0;
  std::uint64_t start = 0;

  bool operator==(const term_start&) const = default;
};

/// Entries, counted from position 1, and the terms they were written in.
class group_log {
 public:
  std::uint64_t Position() const { return entries_.size(); }
  const std::vector<term_start>& Starts() const { return starts_; }
  const std::vector<log_entry>& Entries() const { return entries_; }

  /// The newest term whose start the log has reached; 0 if there is none.
  std::uint64_t Term() const;

  /// Begins a term at the present end.
  void BeginTerm(std::uint64_t term);

  void Append(log_entry entry) { entries_.push_back(std::move(entry)); }

  /// Drops the entries beyond `position`.
  void Truncate(std::uint64_t position);

  /// Takes over the terms of the log that this one follows.
  void SetStarts(std::vector<term_start> starts) {
    starts_ = std::move(starts);
  }

  /// Length of the prefix shared with a log of `position` entries whose terms
  /// begin at `starts`. A term has one primary, so its entries are the same
  /// in every log.
  std::uint64_t CommonPrefix(const std::vector<term_start>& starts,
                             std::uint64_t position) const;

 private:
  std::vector<log_entry> entries_;
  std::vector<term_start> starts_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_GROUP_LOG_H_
