// Samples of the primary's log position, ordered by sampling time.

#ifndef MARJORAMSLIP_LIB_CORE_POSITION_SAMPLES_H_
#define MARJORAMSLIP_LIB_CORE_POSITION_SAMPLES_H_

#include <deque>
#include <optional>

#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// A bounded list of samples, each taken at the time its request was sent. A
/// sample is used once it is confirmed: a permit that held at or after that
/// time shows that no later term was open then. That stays true, so a confirmed
/// sample remains valid after the permit and the term end.
class position_samples {
 public:
  /// Adds a position that was read at or after `sent_at`.
  void Add(instant sent_at, log_point point);

  /// Confirms all samples taken up to `now`. Call while a permit for the newest
  /// sample's term holds.
  void Confirm(instant now);

  /// Returns the earliest sample taken at or after `since`, if it is confirmed.
  /// Its position covers every write acknowledged before `since`.
  std::optional<log_point> EarliestConfirmed(instant since) const;

  /// Returns the newest sample's position; 0 if there is none.
  log_position NewestPosition() const;

  /// Drops samples that can't be confirmed any more because the term is over.
  void DropUnconfirmed();
  void Clear() { samples_.clear(); }

 private:
  struct sample {
    instant sent_at;
    log_point point;
  };

  std::deque<sample> samples_;
  instant confirmed_until_{};
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_POSITION_SAMPLES_H_
