// The instance's use of the platform's key-value service: release notes,
// group records, membership.

#ifndef MARJORAMSLIP_RUNTIME_PLATFORM_LINK_H_
#define MARJORAMSLIP_RUNTIME_PLATFORM_LINK_H_

#include "marjoramslip/core/effects.h"

namespace marjoramslip::shell {

/// Posts catalogue_seen, record_seen, record_written, members_seen,
/// membership_renewed, records_read, membership_ended, duty_seen and
/// store_reachability.
class platform_link {
 public:
  virtual ~platform_link() = default;

  /// Answers with record_written, after reading back if the answer was lost.
  virtual void Write(const write_record& what) = 0;
  virtual void Read(const read_record& what) = 0;
  /// Answers with members_seen.
  virtual void ReadMembers() = 0;
  /// Answers with membership_ended once the lease has ended.
  virtual void EndMembership(const end_membership& what) = 0;
  /// Tells a catalogue that did not come from the service, so that records of
  /// its groups can be read and written.
  virtual void Learn(const catalogue& value) = 0;
  /// Gives up this instance's membership. Blocks for one call at most.
  virtual void Leave() = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_PLATFORM_LINK_H_
