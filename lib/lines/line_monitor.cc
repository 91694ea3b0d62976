// Probes and moves of one endpoint over one connection.

#include "line_monitor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "marjoramslip/lines/startup_limits.h"

namespace marjoramslip::lines {
namespace {

/// Time-out of a command other than a probe.
constexpr duration kCommandTimeout = std::chrono::milliseconds(500);
/// An idle connection is closed after this time. It exceeds the interval
/// between probes during a change of primary (100 ms).
constexpr duration kIdleTimeout = std::chrono::milliseconds(400);

}  // namespace

void line_monitor::SetTarget(const endpoint_target& target) {
  if (target == target_) {
    return;
  }
  target_ = target;
  if (socket_ != nullptr) {
    FailAllTasks({});
  }
}

void line_monitor::Probe(const probe_endpoint& command) {
  Enqueue(task_kind::kProbe, 0, command.timeout, command.new_connection);
}

void line_monitor::Move(const move_endpoint& command) {
  Enqueue(command.stop_replication ? task_kind::kMove : task_kind::kStepDown,
          command.term, kCommandTimeout, false);
}

void line_monitor::Resume() {
  Enqueue(task_kind::kResume, 0, kCommandTimeout, false);
}

void line_monitor::Enqueue(task_kind kind, term_number term, duration timeout,
                           bool new_connection) {
  // A connection that is being opened is a new one.
  if (new_connection && !IsStarting()) {
    FailAllTasks({});
  }
  task added;
  added.kind = kind;
  added.term = term;
  added.number = ++last_number_;
  added.started_at = loop_.Now();
  tasks_.push_back(added);
  const std::uint64_t number = added.number;
  loop_.After(timeout, [this, number, alive = std::weak_ptr<int>(lifetime_)] {
    if (!alive.expired()) {
      TimeOut(number);
    }
  });
  if (socket_ == nullptr) {
    tasks_.back().on_new_connection = true;
    connected_at_ = loop_.Now();
    socket_ = std::make_unique<endpoint_socket>(
        loop_, codec_, static_cast<endpoint_listener&>(*this));
    if (target_.host.empty() || !socket_->Connect(target_, instance_)) {
      FailAllTasks({});
    }
    return;
  }
  if (socket_->IsOpen()) {
    SendQueued();
  } else {
    tasks_.back().on_new_connection = true;
  }
}

void line_monitor::OnOpen(const ready_line& /*ready*/) {
  // The endpoint is reachable, even if its answers are lost later.
  for (task& queued : tasks_) {
    queued.on_new_connection = false;
  }
  if (tasks_.empty()) {
    idle_since_ = loop_.Now();
    CloseWhenIdle();
    return;
  }
  SendQueued();
}

void line_monitor::OnRefused(bool full, std::string_view /*reason*/) {
  FailAllTasks(probe_failure{.full = full});
}

void line_monitor::SendQueued() {
  std::string& out = socket_->Output();
  for (task& queued : tasks_) {
    if (!queued.sent) {
      queued.sent = true;
      queued.started_at = loop_.Now();
      AppendCommand(queued, out);
    }
  }
  socket_->Send();
}

void line_monitor::AppendCommand(task& queued, std::string& out) {
  queued.answers = 1;
  switch (queued.kind) {
    case task_kind::kProbe:
      codec_.AppendStatus(out);
      break;
    case task_kind::kMove:
      // Works for either role: a primary steps down first, and then, like a
      // replica, receives no records of older terms.
      codec_.AppendStepDown(queued.term, out);
      codec_.AppendHold(queued.term, out);
      queued.answers = 2;
      break;
    case task_kind::kStepDown:
      codec_.AppendStepDown(queued.term, out);
      break;
    case task_kind::kResume:
      codec_.AppendResume(out);
      break;
  }
  queued.markers = codec_.AppendMarkers(out);
}

void line_monitor::OnLine(const endpoint_line& line) {
  if (!std::exchange(incoming_.begun, true)) {
    incoming_.began_unrequested = tasks_.empty() || !tasks_.front().sent;
  }
  if (const auto* row = std::get_if<row_line>(&line)) {
    incoming_.has_row = true;
    incoming_.state = codec_.ParseState(row->line);
  } else if (const auto* refused = std::get_if<error_line>(&line)) {
    incoming_.refused = true;
    incoming_.refused_full = refused->reason == endpoint_refusal::kBusy;
  } else if (std::holds_alternative<done_line>(line)) {
    incoming_.done = true;
  } else if (const auto* ready = std::get_if<ready_line>(&line)) {
    OnAnswer(*ready);
    incoming_ = {};
  }
}

void line_monitor::OnAnswer(const ready_line& ready) {
  const bool answers_marker =
      incoming_.done && !incoming_.has_row && !incoming_.refused;
  const bool answers_startup =
      !incoming_.done && !incoming_.has_row && !incoming_.refused;
  if (incoming_.began_unrequested || tasks_.empty() || answers_startup) {
    Report(shell::answer_mismatch::kUnrequested);
    return;
  }
  task& front = tasks_.front();
  if (front.answers > 0) {
    if (answers_marker) {
      Report(shell::answer_mismatch::kUnsigned);
      return;
    }
    --front.answers;
    front.state = incoming_.refused ? std::nullopt : incoming_.state;
    front.refused_full = incoming_.refused_full;
    if (front.state && ready.end_of_log) {
      // The position that reads see may be behind the received one.
      front.state->position = ready.end_of_log->position;
    }
  } else if (answers_marker) {
    OnMarkerAnswered();
  } else {
    front.doubtful = true;
    Report(shell::answer_mismatch::kOutOfStep);
  }
}

void line_monitor::OnMarkerAnswered() {
  task& front = tasks_.front();
  if (--front.markers > 0) {
    return;
  }
  if (front.doubtful) {
    SendFrontAgain();
  } else {
    FinishFront();
  }
}

void line_monitor::SendFrontAgain() {
  // Its answer comes after those to the tasks that were sent meanwhile.
  task again = tasks_.front();
  tasks_.pop_front();
  again.sent = false;
  again.doubtful = false;
  again.state.reset();
  tasks_.push_back(again);
  SendQueued();
}

void line_monitor::Report(shell::answer_mismatch mismatch) {
  observer_.OnMismatchedAnswer({.endpoint = endpoint_, .mismatch = mismatch});
}

void line_monitor::FinishFront() {
  const task done = tasks_.front();
  tasks_.pop_front();
  if (tasks_.empty()) {
    idle_since_ = loop_.Now();
    CloseWhenIdle();
  }
  switch (done.kind) {
    case task_kind::kProbe:
      if (done.state) {
        loop_.Post(probe_answered{endpoint_, done.started_at, *done.state});
      } else {
        // A full endpoint reports no state; the failure shows that it answered.
        loop_.Post(probe_failed{.endpoint = endpoint_,
                                .sent_at = done.started_at,
                                .limit_reached = done.refused_full});
      }
      return;
    case task_kind::kMove:
    case task_kind::kStepDown:
      if (done.state) {
        loop_.Post(endpoint_moved{endpoint_, done.started_at, *done.state});
      }
      return;
    case task_kind::kResume:
      return;
  }
}

/// Closes the connection once idle, since connections are scarce and probes are
/// rare.
void line_monitor::CloseWhenIdle() {
  const instant since = idle_since_;
  loop_.After(kIdleTimeout,
              [this, since, alive = std::weak_ptr<int>(lifetime_)] {
                const bool idle =
                    !alive.expired() && tasks_.empty() && idle_since_ == since;
                if (idle) {
                  CloseConnection();
                }
              });
}

void line_monitor::TimeOut(std::uint64_t number) {
  const bool outstanding = std::any_of(
      tasks_.begin(), tasks_.end(),
      [number](const task& queued) { return queued.number == number; });
  if (outstanding) {
    const bool unanswered = socket_ != nullptr && socket_->IsEstablished();
    FailAllTasks(probe_failure{.unanswered = unanswered});
  }
}

bool line_monitor::IsStarting() const {
  return socket_ != nullptr && !socket_->IsOpen() && socket_->IsEstablished() &&
         loop_.Now() - connected_at_ < kStartupTimeout;
}

void line_monitor::FailAllTasks(probe_failure failure) {
  // A startup takes a slot even if its connection was given up, so giving up
  // and trying again keeps an overloaded endpoint overloaded.
  if (!failure.unanswered || !IsStarting()) {
    CloseConnection();
  }
  const std::deque<task> failed = std::exchange(tasks_, {});
  for (const task& abandoned : failed) {
    if (abandoned.kind == task_kind::kProbe) {
      loop_.Post(probe_failed{
          .endpoint = endpoint_,
          .sent_at = abandoned.started_at,
          .new_connection = abandoned.on_new_connection && !failure.full,
          .limit_reached = failure.full,
          .unanswered = failure.unanswered});
    }
  }
}

void line_monitor::CloseConnection() {
  if (socket_ == nullptr) {
    return;
  }
  incoming_ = {};
  socket_->Close();
  // The socket may be on the call stack; it is destroyed in the next turn.
  loop_.After(duration{0},
              [old = std::shared_ptr<endpoint_socket>(std::move(socket_))] {});
}

}  // namespace marjoramslip::lines
