// Comparison of log positions through the ancestry of a group's log.

#include "marjoramslip/base/log_point.h"

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

namespace marjoramslip {

fork_history::fork_history(std::vector<fork_point> forks)
    : forks_(std::move(forks)) {
  assert(std::is_sorted(forks_.begin(), forks_.end()) &&
         "forks must ascend by term");
}

void fork_history::Append(fork_point fork) {
  assert((forks_.empty() || forks_.back().term < fork.term) &&
         "a new term must exceed all known ones");
  forks_.push_back(fork);
}

const fork_point* fork_history::Find(term_number term) const {
  const auto at = std::lower_bound(
      forks_.begin(), forks_.end(), term,
      [](const fork_point& fork, term_number t) { return fork.term < t; });
  if (at == forks_.end() || at->term != term) {
    return nullptr;
  }
  return &*at;
}

log_point fork_history::Normalize(log_point point) const {
  // A position at or below a term's start belongs to the term's ancestor.
  for (const fork_point* fork = Find(point.term);
       fork != nullptr && point.position <= fork->start;
       fork = Find(point.term)) {
    point.term = fork->parent;
  }
  return point;
}

bool fork_history::Contains(log_point reached, log_point wanted) const {
  if (wanted.position == 0) {
    return true;
  }
  if (reached.position < wanted.position) {
    return false;
  }
  const log_point entry = Normalize(wanted);
  term_number term = reached.term;
  while (term > entry.term) {
    const fork_point* fork = Find(term);
    if (fork == nullptr || entry.position > fork->start) {
      return false;
    }
    term = fork->parent;
  }
  return term == entry.term;
}

bool fork_history::Lost(term_number current, log_point wanted) const {
  if (wanted.term > current) {
    return false;
  }
  return !Contains({current, wanted.position}, wanted);
}

log_point fork_history::Surviving(term_number current, log_point wanted) const {
  if (wanted.term > current) {
    return wanted;
  }
  log_point entry = Normalize(wanted);
  while (!Contains({current, entry.position}, entry)) {
    // Step to where the entry's log left its parent, or to where the current
    // one left the entry's log.
    log_position left = entry.position;
    for (const fork_point& fork : forks_) {
      if (fork.parent == entry.term && fork.term <= current &&
          Contains({current, fork.start + 1}, {fork.term, fork.start + 1})) {
        left = std::min(left, fork.start);
      }
    }
    if (left < entry.position) {
      return Normalize({entry.term, left});
    }
    const fork_point* const own = Find(entry.term);
    if (own == nullptr) {
      return {};
    }
    entry = Normalize({own->parent, std::min(entry.position, own->start)});
  }
  return entry;
}

log_point fork_history::Later(term_number current, log_point a,
                              log_point b) const {
  if (Lost(current, a)) {
    return a;
  }
  if (Lost(current, b)) {
    return b;
  }
  if (a.position != b.position) {
    return a.position > b.position ? a : b;
  }
  return std::max(a, b);
}

std::string FormatLogPoint(log_point point) {
  return std::to_string(point.term) + ":" + std::to_string(point.position);
}

std::optional<log_point> ParseLogPoint(std::string_view text) {
  const char* const end = text.data() + text.size();
  log_point point;
  const auto term = std::from_chars(text.data(), end, point.term);
  if (term.ec != std::errc{} || term.ptr == end || *term.ptr != ':') {
    return std::nullopt;
  }
  const auto position = std::from_chars(term.ptr + 1, end, point.position);
  if (position.ec != std::errc{} || position.ptr != end) {
    return std::nullopt;
  }
  return point;
}

}  // namespace marjoramslip
