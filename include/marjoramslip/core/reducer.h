// The reducer: the deterministic state machine that takes all decisions of an
// instance.

#ifndef MARJORAMSLIP_CORE_REDUCER_H_
#define MARJORAMSLIP_CORE_REDUCER_H_

#include <memory>
#include <string>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/core/options.h"

namespace marjoramslip {

struct status_report;

/// Holds the whole state of an instance. It performs no input or output and has
/// no clock, thread or source of randomness of its own: the same events at the
/// same instants produce the same effects.
class reducer {
 public:
  explicit reducer(const core_options& options);
  ~reducer();
  reducer(const reducer&) = delete;
  reducer& operator=(const reducer&) = delete;

  /// Applies one event that occurred at `now` and appends its effects to
  /// `effects`. `now` must not decrease between calls.
  void Apply(const event& incoming, instant now, effect_list& effects);

  /// Returns the catalogue in force. The reference is valid until the next
  /// event.
  const catalogue& InForce() const;

  /// Returns a snapshot of the instance, for `status` and tests.
  status_report Report(instant now) const;

 private:
  class state;
  std::unique_ptr<state> state_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_REDUCER_H_
