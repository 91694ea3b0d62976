// Serves /metrics and /status over HTTP. It only reads: whoever reaches its
// address changes nothing.

#ifndef MARJORAMSLIP_LIB_RUNTIME_STATUS_SERVER_H_
#define MARJORAMSLIP_LIB_RUNTIME_STATUS_SERVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "marjoramslip/base/result.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// Where the answers come from. Callable from any thread.
class status_source {
 public:
  virtual ~status_source() = default;

  /// Empty if the instance is too busy to answer.
  virtual std::optional<std::string> Metrics() = 0;
  virtual std::optional<std::string> Status() = 0;
  /// Whether callers are to be sent here.
  virtual bool Ready() = 0;
};

/// Serves on threads of its own until destroyed.
class status_server {
 public:
  virtual ~status_server() = default;

  /// The port that it listens on.
  virtual std::uint16_t Port() const = 0;
};

/// GET /metrics, GET /status, and GET `ready_path`, which is answered with 200
/// or 503.
/// kUnavailable if the address cannot be had.
result<std::unique_ptr<status_server>> MakeStatusServer(
    const listen_address& address, const std::string& ready_path,
    status_source& source);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_STATUS_SERVER_H_
