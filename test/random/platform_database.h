// A database of the users' platform for randomised runs: it is promoted on
// request, replicates asynchronously, and its answers tell only the end of its
// log.

#ifndef MARJORAMSLIP_TEST_RANDOM_PLATFORM_DATABASE_H_
#define MARJORAMSLIP_TEST_RANDOM_PLATFORM_DATABASE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fake_database.h"

namespace marjoramslip::random_runs {

/// A database that the platform may promote.
class platform_database {
 public:
  platform_database(std::string identity, bool primary);

  /// Name of the present start, and the name that stays.
  std::string Name() const;
  const std::string& Identity() const { return identity_; }
  /// True if `id` is that of this or of an earlier start.
  bool IsKnownAs(endpoint_id id) const;

  bool Running() const { return running_; }
  bool BusyAt(instant now) const { return now < busy_until_; }
  bool IsPrimary() const { return role_ == endpoint_role::kPrimary; }
  term_number Term() const { return term_; }
  const std::vector<log_entry>& Log() const { return log_; }
  bool Contains(write_id write) const;
  /// What an answer tells: the end of the log that reads see.
  endpoint_state EndOfLog() const;
  /// What STATUS tells.
  endpoint_state Status() const;

  /// Runs a statement that needs the log up to `required`.
  execution Run(database_session& session, const statement& what,
                log_point required, instant now);

  void Crash() { running_ = false; }
  /// Starts again with its log, as primary only if `leads`.
  void Restart(bool leads);
  /// Leads `term` with all that it has received.
  void Lead(term_number term);
  /// Steps down if `term` is later than its own.
  void StepDown(term_number term);
  /// Receives what `primary` committed up to `received`, of which reads see
  /// what it committed up to `applied`.
  void Follow(const platform_database& primary, instant received,
              instant applied, instant now);

 private:
  /// True if reads see the log up to `point`.
  bool Reaches(log_point point) const;
  execution Commit(database_session& session, instant now);
  bool LostLead(const database_session& session) const;

  std::string identity_;
  std::uint64_t starts_ = 1;
  bool running_ = true;
  instant busy_until_{};
  endpoint_role role_;
  term_number term_ = 1;
  std::vector<log_entry> log_;
  /// Length of the part of the log that reads see.
  std::size_t applied_ = 0;
  /// Length of the log at the start of each term.
  std::map<term_number, std::size_t> starts_of_terms_{{1, 0}};
};

}  // namespace marjoramslip::random_runs

#endif  // MARJORAMSLIP_TEST_RANDOM_PLATFORM_DATABASE_H_
