// Forwarding of statements between instances over stream connections.

#ifndef MARJORAMSLIP_FORWARDING_FORWARDER_H_
#define MARJORAMSLIP_FORWARDING_FORWARDER_H_

#include <memory>

#include "marjoramslip/base/result.h"
#include "marjoramslip/lines/line_front.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/statement_forwarder.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::forwarding {

/// Sends statements of the callers of a front to carriers, and accepts the
/// statements that other instances forward to this one.
class forwarder : public shell::statement_forwarder {
 public:
  /// Returns the front of all callers: those of the given front, and the
  /// callers of other instances. Lives as long as the forwarder.
  virtual lines::line_front& Front() = 0;
};

/// Starts to listen at the setting `forwarding`. Returns kUnavailable if the
/// address cannot be bound. `loop` and `front` must outlive the forwarder.
result<std::unique_ptr<forwarder>> MakeForwarder(
    const instance_settings& settings, shell::event_loop& loop,
    lines::line_front& front);

}  // namespace marjoramslip::forwarding

#endif  // MARJORAMSLIP_FORWARDING_FORWARDER_H_
