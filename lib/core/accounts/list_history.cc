// Follows runs of lists of members.

#include "list_history.h"

namespace marjoramslip {

void list_history::Add(std::span<const instance_id> listed,
                       instant requested_at, instant now) {
  if (requested_at < requested_at_) {
    return;
  }
  if (requested_at_ == instant{} || now - requested_at_ > kMaxListGap) {
    run_since_ = now;
  }
  requested_at_ = requested_at;
  for (const instance_id id : listed) {
    seen_at_[id] = now;
  }
  std::erase_if(seen_at_, [now](const auto& entry) {
    return now - entry.second > kListCoverage;
  });
}

bool list_history::Covers(instant now) const {
  return run_since_ != instant{} && now - run_since_ >= kListCoverage &&
         now - requested_at_ <= kWitnessListAge;
}

std::vector<instance_id> list_history::Recent(instant now) const {
  std::vector<instance_id> recent;
  for (const auto& [id, seen_at] : seen_at_) {
    if (now - seen_at <= kListCoverage) {
      recent.push_back(id);
    }
  }
  return recent;
}

}  // namespace marjoramslip
