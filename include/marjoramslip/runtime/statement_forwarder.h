// Sends statements to the instances that carry their groups.

#ifndef MARJORAMSLIP_RUNTIME_STATEMENT_FORWARDER_H_
#define MARJORAMSLIP_RUNTIME_STATEMENT_FORWARDER_H_

#include <span>

#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"

namespace marjoramslip::shell {

/// Carries out effects addressed to carriers. Posts forward_answered,
/// forward_failed, carrier_silent and carrier_link_lost. Lives on the loop's
/// thread.
class statement_forwarder {
 public:
  virtual ~statement_forwarder() = default;

  virtual void Forward(const forward_statement& command) = 0;
  virtual void EndCaller(const end_forwarded_caller& command) = 0;
  /// Learns the addresses of the other instances.
  virtual void SetMembers(std::span<const member> members) = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_STATEMENT_FORWARDER_H_
