// The judgement of a run.

#include "judge.h"

#include <map>
#include <thread>

#include "caller.h"

namespace load {

namespace {

using namespace std::chrono_literals;

constexpr auto kReadLimit = 20s;
constexpr auto kReadPause = 100ms;

/// Bounds of the number of increments of a row.
struct increment_bounds {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

/// Judges one caller.
class caller_judge {
 public:
  caller_judge(const caller_history& history,
               const std::vector<found_row>& rows, verdict_count& into)
      : history_(history), into_(into) {
    for (const found_row& row : rows) {
      Find(row);
    }
  }

  void Judge() {
    for (const operation& one : history_.operations) {
      if (one.kind == operation_kind::kIncrement) {
        NoteIncrement(one);
      } else if (one.rows > 0) {
        JudgeRows(one);
      }
    }
    for (const auto& [seq, amount] : amounts_) {
      JudgeAmount(seq, amount);
    }
  }

 private:
  void Find(const found_row& row) {
    const bool named =
        row.id == history_.caller + "-" + std::to_string(row.seq);
    if (!named) {
      ++into_.strangers;
      return Violation("a row that nobody wrote: " + row.id);
    }
    if (!amounts_.emplace(row.seq, row.amount).second) {
      ++into_.doubles;
      Violation("row " + row.id + " is there twice");
    }
  }

  void JudgeRows(const operation& one) {
    std::int64_t present = 0;
    for (std::int64_t seq = one.seq; seq < one.seq + one.rows; ++seq) {
      const bool there = amounts_.contains(seq);
      written_[seq] = true;
      present += there ? 1 : 0;
      JudgeRow(one, seq, there);
    }
    if (present != 0 && present != one.rows) {
      ++into_.torn_transactions;
      Violation("half a transaction at row " + std::to_string(one.seq));
    }
  }

  void JudgeRow(const operation& one, std::int64_t seq, bool there) {
    const std::string row = "row " + std::to_string(seq);
    switch (one.effect) {
      case outcome::kAccepted:
        ++into_.accepted;
        if (!there) {
          ++into_.accepted_missing;
          Violation(row + " was acknowledged and is not there");
        }
        break;
      case outcome::kNotRun:
        ++into_.not_run;
        if (there) {
          ++into_.not_run_present;
          Violation(row + " was refused as not run and is there");
        }
        break;
      case outcome::kMayHaveRun:
        ++into_.may_have_run;
        into_.may_have_run_present += there ? 1 : 0;
        break;
      case outcome::kRan:
        if (!there) {
          ++into_.ran_missing;
          Violation(row + " is said to have run and is not there");
        }
        break;
    }
  }

  void NoteIncrement(const operation& one) {
    increment_bounds& bounds = bounds_[one.seq];
    const bool ran =
        one.effect == outcome::kAccepted || one.effect == outcome::kRan;
    const bool unknown = one.effect == outcome::kMayHaveRun;
    bounds.least += ran ? 1 : 0;
    bounds.most += ran || unknown ? 1 : 0;
  }

  void JudgeAmount(std::int64_t seq, std::int64_t amount) {
    if (!written_.contains(seq)) {
      ++into_.strangers;
      return Violation("row " + std::to_string(seq) + " was never written");
    }
    const increment_bounds bounds = bounds_[seq];
    if (amount < bounds.least) {
      into_.increments_missing +=
          static_cast<std::uint64_t>(bounds.least - amount);
      Violation("increments of row " + std::to_string(seq) + " are missing");
    }
    if (amount > bounds.most) {
      into_.doubles += static_cast<std::uint64_t>(amount - bounds.most);
      Violation("increments of row " + std::to_string(seq) + " ran too often");
    }
  }

  void Violation(const std::string& what) {
    into_.violations.push_back({what, history_.caller});
  }

  const caller_history& history_;
  verdict_count& into_;
  std::map<std::int64_t, std::int64_t> amounts_;
  std::map<std::int64_t, bool> written_;
  std::map<std::int64_t, increment_bounds> bounds_;
};

std::vector<found_row> RowsOf(const reply& answer) {
  std::vector<found_row> rows;
  for (const auto& cells : answer.rows) {
    found_row& row = rows.emplace_back();
    row.seq = std::stoll(cells.at(0).value_or("0"));
    row.amount = std::stoll(cells.at(1).value_or("0"));
    row.id = cells.at(2).value_or("");
  }
  return rows;
}

/// Asks one place after the other until one answers.
std::optional<reply> AskUntilAnswered(const load_options& options,
                                      const std::string& tenant,
                                      const std::string& text) {
  std::vector<std::string> places = options.targets;
  if (!options.verify.empty()) {
    places = {options.verify};
  }
  const auto limit = std::chrono::steady_clock::now() + kReadLimit;
  std::size_t next = 0;
  while (std::chrono::steady_clock::now() < limit) {
    link_options where =
        LinkOptions(options, places[next++ % places.size()], tenant, "judge");
    if (!options.verify.empty()) {
      where.options.clear();
    }
    link connection(where);
    reply answer = connection.Run(text);
    if (answer.Succeeded()) {
      return answer;
    }
    std::this_thread::sleep_for(kReadPause);
  }
  return std::nullopt;
}

}  // namespace

void JudgeCaller(const caller_history& history,
                 const std::vector<found_row>& rows, verdict_count& into) {
  caller_judge(history, rows, into).Judge();
  into.violations.insert(into.violations.end(), history.violations.begin(),
                         history.violations.end());
}

verdict_count JudgeAll(const load_options& options,
                       const std::vector<caller_history>& histories) {
  verdict_count count;
  for (const caller_history& each : histories) {
    const auto answer =
        AskUntilAnswered(options, each.tenant,
                         "SELECT seq, amount, id FROM ledger WHERE caller = '" +
                             each.caller + "'");
    if (!answer) {
      ++count.unread_callers;
      continue;
    }
    JudgeCaller(each, RowsOf(*answer), count);
  }
  return count;
}

}  // namespace load
