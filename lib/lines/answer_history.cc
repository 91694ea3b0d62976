// Comparison of the ends of answers by their hashes.

#include "answer_history.h"

#include <algorithm>

#include "marjoramslip/base/ids.h"

namespace marjoramslip::lines {

bool answer_history::Add(std::string_view end) {
  const std::uint64_t hash = HashName(end);
  if (std::find(hashes_.rbegin(), hashes_.rend(), hash) != hashes_.rend()) {
    return true;
  }
  hashes_.push_back(hash);
  return false;
}

}  // namespace marjoramslip::lines
