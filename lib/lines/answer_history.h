// The ends of the answers that arrived on a connection.

#ifndef MARJORAMSLIP_LIB_LINES_ANSWER_HISTORY_H_
#define MARJORAMSLIP_LIB_LINES_ANSWER_HISTORY_H_

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marjoramslip::lines {

/// Remembers hashes of the last kMaxEnds different ends of answers: signatures
/// and error lines. The protocol gives an answer no id, so the end is all that
/// two answers can be compared by.
class answer_history {
 public:
  /// A connection answers one statement at a time, so a repeated answer is
  /// recognised for some seconds at least.
  static constexpr std::size_t kMaxEnds = 2048;

  /// Remembers the end as the newest. Returns true if it was remembered before.
  bool Add(std::string_view end);

 private:
  boost::circular_buffer_space_optimized<std::uint64_t> hashes_{kMaxEnds};
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_ANSWER_HISTORY_H_
