// The log of a database.

#include "group_log.h"

#include <algorithm>
#include <cassert>

namespace standin {

namespace {

/// Where the term of `starts[index]` ends in a log of `position` entries.
std::uint64_t EndOf(const std::vector<term_start>& starts, std::size_t index,
                    std::uint64_t position) {
  const bool last = index + 1 == starts.size();
  return last ? position : std::min(position, starts[index + 1].start);
}

}  // namespace

std::uint64_t group_log::Term() const {
  std::uint64_t term = 0;
  for (const term_start& each : starts_) {
    if (each.start <= Position()) {
      term = each.term;
    }
  }
  return term;
}

void group_log::BeginTerm(std::uint64_t term) {
  std::erase_if(starts_, [this](const term_start& each) {
    return each.start > Position();
  });
  assert((starts_.empty() || starts_.back().term < term) &&
         "terms must begin in ascending order");
  starts_.push_back({term, Position()});
}

void group_log::Truncate(std::uint64_t position) {
  assert(position <= Position() && "a log can only be cut shorter");
  entries_.resize(position);
}

std::uint64_t group_log::CommonPrefix(const std::vector<term_start>& starts,
                                      std::uint64_t position) const {
  std::uint64_t common = 0;
  for (std::size_t index = 0; index < starts.size(); ++index) {
    if (index >= starts_.size() || !(starts[index] == starts_[index])) {
      return common;
    }
    const std::uint64_t theirs = EndOf(starts, index, position);
    const std::uint64_t ours = EndOf(starts_, index, Position());
    common = std::min(theirs, ours);
    if (theirs != ours) {
      return common;
    }
  }
  return common;
}

}  // namespace standin
