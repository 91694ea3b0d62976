// Comparison of the ends of answers by their hashes.

#include "answer_history.h"

#include <algorithm>
#include <iterator>

#include "marjoramslip/base/ids.h"

namespace marjoramslip::lines {

bool answer_history::Add(std::string_view end) {
  const std::uint64_t hash = HashName(end);
  const auto found = std::find(hashes_.rbegin(), hashes_.rend(), hash);
  const bool known = found != hashes_.rend();
  if (known) {
    // Errors recur; their last occurrence counts.
    hashes_.erase(std::prev(found.base()));
  }
  hashes_.push_back(hash);
  return known;
}

}  // namespace marjoramslip::lines
