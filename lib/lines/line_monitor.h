// The monitoring connection to one endpoint.

#ifndef MARJORAMSLIP_LIB_LINES_LINE_MONITOR_H_
#define MARJORAMSLIP_LIB_LINES_LINE_MONITOR_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "endpoint_socket.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/runtime/endpoint_links.h"

namespace marjoramslip::lines {

/// Posts probe_answered or probe_failed for each probe, and endpoint_moved for
/// each answered move. Several tasks may be outstanding; if one times out, the
/// connection is closed and all of them fail.
///
/// An endpoint may send an answer again at any later time. Markers behind each
/// task tell: with one answer too many before they are answered, it is unknown
/// which one is the task's, and the task is sent again.
class line_monitor final : private endpoint_listener {
 public:
  line_monitor(shell::event_loop& loop, const line_codec& codec,
               shell::answer_observer& observer, endpoint_id endpoint,
               std::string instance)
      : loop_(loop),
        codec_(codec),
        observer_(observer),
        endpoint_(endpoint),
        instance_(std::move(instance)) {}
  ~line_monitor() override { CloseConnection(); }
  line_monitor(const line_monitor&) = delete;
  line_monitor& operator=(const line_monitor&) = delete;

  /// Sets the address of the endpoint. A change closes the connection.
  void SetTarget(const endpoint_target& target);

  void Probe(const probe_endpoint& command);
  void Move(const move_endpoint& command);
  void Resume();

 private:
  enum class task_kind : std::uint8_t { kProbe, kMove, kStepDown, kResume };
  /// Why probes failed while the endpoint was up.
  struct probe_failure {
    bool full = false;        ///< It accepts no more connections.
    bool unanswered = false;  ///< It accepted the connection and hangs.
  };
  struct task {
    task_kind kind = task_kind::kProbe;
    term_number term = 0;
    std::uint64_t number = 0;
    instant started_at;  ///< Time of issue, replaced by the time of sending.
    bool on_new_connection = false;
    bool sent = false;
    bool refused_full = false;
    int answers = 1;  ///< Answers to come; the last one is reported.
    int markers = 0;  ///< Answers to markers to come behind them.
    /// One of the answers repeats an earlier one.
    bool doubtful = false;
    std::optional<endpoint_state> state;
  };

  /// The answer that is being received.
  struct incoming_answer {
    bool begun = false;
    bool began_unrequested = false;
    bool done = false;
    bool refused = false;
    bool refused_full = false;
    bool has_row = false;
    std::optional<endpoint_state> state;
  };

  // endpoint_listener.
  void OnOpen(const ready_line& ready) override;
  void OnRefused(bool full, std::string_view reason) override;
  void OnLine(const endpoint_line& line) override;
  void OnLost() override { FailAllTasks({}); }

  void Enqueue(task_kind kind, term_number term, duration timeout,
               bool new_connection);
  void SendQueued();
  void AppendCommand(task& queued, std::string& out);
  void OnAnswer(const ready_line& ready);
  void OnMarkerAnswered();
  void Report(shell::answer_mismatch mismatch);
  void FinishFront();
  void SendFrontAgain();
  void CloseWhenIdle();
  void TimeOut(std::uint64_t number);
  /// Fails all tasks and closes the connection.
  void FailAllTasks(probe_failure failure);
  /// True while the startup on an accepted connection may still be answered.
  bool IsStarting() const;
  void CloseConnection();

  shell::event_loop& loop_;
  const line_codec& codec_;
  shell::answer_observer& observer_;
  endpoint_id endpoint_;
  std::string instance_;
  endpoint_target target_;
  std::unique_ptr<endpoint_socket> socket_;
  std::deque<task> tasks_;
  incoming_answer incoming_;
  std::uint64_t last_number_ = 0;
  instant connected_at_{};  ///< When the connection was requested.
  instant idle_since_{};
  /// Expires with the monitor. Timers hold weak references to it.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_LINE_MONITOR_H_
