// Chooses the carrier of a statement among those of a failure domain.
//
// Load addressed: carriers of unlike speed. Each origin sends a few statements
// a second, so it has hardly any outstanding when it chooses. By its own
// statements alone it takes turns, and the slower carrier builds up a queue.

#ifndef MARJORAMSLIP_LIB_CORE_LOAD_CARRIER_CHOICE_H_
#define MARJORAMSLIP_LIB_CORE_LOAD_CARRIER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// What an instance knows of a carrier's load by one group.
struct carrier_load {
  /// Requests in progress there, as last reported with an answer.
  std::uint32_t reported = 0;
  /// Time since that report; empty if there was none.
  std::optional<duration> age;
  /// Statements of this instance that it has not answered.
  std::uint32_t own = 0;
  std::uint64_t last_used = 0;  ///< Increases with each statement.
};

/// Returns the index of the carrier to use. Reports count less with their age:
/// they approach the mean of all carriers. Own statements are added. If the
/// carriers are about equal, it is the one with the fewest own statements, of
/// these the least recently used; otherwise a carrier's probability falls with
/// its load. `carriers` must not be empty; `random` is uniformly distributed
/// over its type. The same input gives the same choice.
std::size_t ChooseCarrier(std::span<const carrier_load> carriers,
                          std::uint64_t random);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LOAD_CARRIER_CHOICE_H_
