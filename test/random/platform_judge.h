// Judges what callers of a run on the users' platform are told.

#ifndef MARJORAMSLIP_TEST_RANDOM_PLATFORM_JUDGE_H_
#define MARJORAMSLIP_TEST_RANDOM_PLATFORM_JUDGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "platform_database.h"

namespace marjoramslip::random_runs {

/// A read whose answer reached its caller.
struct judged_read {
  instant asked;
  /// Set on routes that show data of a bounded age.
  std::optional<duration> max_staleness;
  std::uint64_t session = 0;
  std::vector<write_id> seen;
};

/// Follows all commits, promotions and answers of a run. Each method returns
/// the rule that is broken, with the details, or nothing.
class platform_judge {
 public:
  using verdict_text = std::optional<std::string>;

  /// `database` committed `write` for `request`.
  verdict_text OnCommitted(const platform_database& database, write_id write,
                           request_id request, instant now);
  /// `database` leads the newest term from now on.
  void OnPromoted(const platform_database& database, instant now);
  verdict_text OnWriteAcknowledged(write_id write, std::uint64_t session,
                                   instant now);
  verdict_text OnCalledNotRun(request_id request);
  verdict_text OnRead(const judged_read& read) const;

 private:
  struct commit {
    std::string database;
    term_number term = 0;
    instant when;
    /// Set if a later term had begun before.
    std::optional<term_number> replaced_by;
    bool lost = false;
    std::optional<instant> acknowledged;
    std::uint64_t session = 0;
  };

  term_number newest_term_ = 1;
  instant newest_since_{};
  std::map<write_id, commit> commits_;
  /// Acknowledged writes that no promotion rolled back.
  std::set<write_id> standing_;
  std::set<request_id> executed_;
  std::set<request_id> denied_;
};

}  // namespace marjoramslip::random_runs

#endif  // MARJORAMSLIP_TEST_RANDOM_PLATFORM_JUDGE_H_
