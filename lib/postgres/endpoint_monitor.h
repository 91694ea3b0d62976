// The monitoring connection to one endpoint: probes, moves and promotions, one
// at a time and in order.

#ifndef MARJORAMSLIP_LIB_POSTGRES_ENDPOINT_MONITOR_H_
#define MARJORAMSLIP_LIB_POSTGRES_ENDPOINT_MONITOR_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/runtime/event_loop.h"
#include "pq_connection.h"

namespace marjoramslip::shell {

/// What is asked of an endpoint.
enum class monitor_task : std::uint8_t { kProbe, kMove, kPromote };

/// One task with its limits.
struct monitor_command {
  monitor_task task = monitor_task::kProbe;
  term_number term = 0;
  duration timeout{};
  bool fresh = false;  ///< Opens a new connection for it.
};

/// Posts probe_answered or probe_failed for each probe, endpoint_moved and
/// endpoint_promoted for tasks that were answered. A connection that does not
/// answer in time is dropped.
class endpoint_monitor final : public pq_listener {
 public:
  endpoint_monitor(event_loop& loop, endpoint_id endpoint)
      : loop_(loop), endpoint_(endpoint) {}
  ~endpoint_monitor() override = default;
  endpoint_monitor(const endpoint_monitor&) = delete;
  endpoint_monitor& operator=(const endpoint_monitor&) = delete;

  /// Where the endpoint is. A change drops the connection.
  void SetTarget(const pq_target& target);

  void Run(const monitor_command& command);

  void OnConnected() override;
  void OnConnectFailed(const std::string& reason) override;
  void OnInput() override;
  void OnLost() override;
  void OnNotice(const wire::error_fields& fields) override;

 private:
  struct pending {
    monitor_command command;
    std::uint64_t number = 0;
    instant asked;  ///< Of issuing, then of sending.
    bool on_new_connection = false;
  };
  /// An answer while it arrives.
  struct answer {
    std::string cell;
    bool failed = false;
  };

  void Next();
  bool Connect();
  void SendFront();
  void FailFront();
  void TimeOut(std::uint64_t number);
  void PostFailure(const pending& failed);
  void FinishFront();
  void PostAnswer(const pending& done);
  void Drop();

  event_loop& loop_;
  endpoint_id endpoint_;
  pq_target target_;
  std::unique_ptr<pq_connection> connection_;
  bool ready_ = false;  ///< The connection is open.
  bool busy_ = false;   ///< The front of the queue is being worked on.
  std::deque<pending> queue_;
  answer answer_;
  std::uint64_t last_number_ = 0;
  /// Expires with the monitor; timers hold it weakly.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_ENDPOINT_MONITOR_H_
