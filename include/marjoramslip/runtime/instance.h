// A running instance: the core, its edges and their life cycle.

#ifndef MARJORAMSLIP_RUNTIME_INSTANCE_H_
#define MARJORAMSLIP_RUNTIME_INSTANCE_H_

#include <memory>
#include <string>

#include "marjoramslip/base/result.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/endpoint_links.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/platform_link.h"
#include "marjoramslip/runtime/statement_forwarder.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// What an instance speaks with: callers, endpoints and the platform.
class instance_edges {
 public:
  virtual ~instance_edges() = default;
  virtual caller_front& Front() = 0;
  virtual endpoint_links& Links() = 0;
  virtual platform_link& Platform() = 0;
  /// Forwards statements to other instances; null if the edges cannot.
  virtual statement_forwarder* Forwarder() { return nullptr; }
};

/// Makes the edges for one protocol and one platform.
class edge_maker {
 public:
  virtual ~edge_maker() = default;

  /// The settings file, to be read again when it changes; empty: none.
  virtual std::string SettingsPath() const { return {}; }
  /// The path under which a balancer asks for readiness.
  virtual std::string ReadyPath() const { return "/ready"; }

  /// `peer_address` is where other instances reach this one. kUnavailable if
  /// an address cannot be had.
  virtual result<std::unique_ptr<instance_edges>> Make(
      event_loop& loop, const std::string& peer_address) = 0;
};

/// Serves until SIGTERM or SIGINT, then finishes what is in progress. Fails
/// with kUnavailable if an address cannot be had.
result<void> RunInstance(const instance_settings& settings, edge_maker& maker);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_INSTANCE_H_
