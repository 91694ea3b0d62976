// The record of a run.

#include "history.h"

#include <algorithm>
#include <fstream>

namespace load {

namespace {

std::int64_t Since(monotonic start, monotonic moment) {
  return std::chrono::duration_cast<std::chrono::microseconds>(moment - start)
      .count();
}

}  // namespace

const char* KindName(operation_kind kind) {
  switch (kind) {
    case operation_kind::kRead:
      return "read";
    case operation_kind::kAgedRead:
      return "aged_read";
    case operation_kind::kInsert:
      return "insert";
    case operation_kind::kIncrement:
      return "increment";
    case operation_kind::kTransaction:
      return "transaction";
  }
  return "";
}

void write_board::Add(std::size_t caller, acknowledged_write write) {
  const std::lock_guard lock(mutex_);
  writes_[caller].push_back(write);
}

std::int64_t write_board::NewestBefore(std::size_t caller, monotonic moment) {
  const std::lock_guard lock(mutex_);
  const auto& writes = writes_[caller];
  const auto after =
      std::upper_bound(writes.begin(), writes.end(), moment,
                       [](monotonic at, const acknowledged_write& each) {
                         return at < each.at;
                       });
  return after == writes.begin() ? 0 : std::prev(after)->written_us;
}

bool SaveHistory(const std::string& file,
                 const std::vector<caller_history>& history, monotonic start) {
  std::ofstream out(file);
  out << "caller,tenant,kind,keyed,target,attempts,due_us,end_us,outcome,"
         "sqlstate,seq,rows\n";
  for (const caller_history& each : history) {
    for (const operation& one : each.operations) {
      out << each.caller << ',' << each.tenant << ',' << KindName(one.kind)
          << ',' << one.keyed << ',' << one.target << ',' << one.attempts << ','
          << Since(start, one.due) << ',' << Since(start, one.end) << ','
          << OutcomeName(one.effect) << ',' << one.sqlstate << ',' << one.seq
          << ',' << one.rows << '\n';
    }
  }
  return static_cast<bool>(out.flush());
}

}  // namespace load
