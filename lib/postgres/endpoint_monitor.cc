// Works through the queue of one endpoint's monitoring commands.

#include "endpoint_monitor.h"

#include <algorithm>
#include <utility>

namespace marjoramslip::shell {

namespace {

std::string SqlOf(const monitor_command& command) {
  const std::string term = std::to_string(command.term);
  switch (command.task) {
    case monitor_task::kMove:
      return "SELECT group_move(" + term + ")";
    case monitor_task::kPromote:
      return "SELECT group_promote(" + term + ")";
    case monitor_task::kProbe:
      break;
  }
  return "SELECT group_status()";
}

}  // namespace

void endpoint_monitor::SetTarget(const pq_target& target) {
  if (target == target_) {
    return;
  }
  target_ = target;
  if (connection_ == nullptr) {
    return;
  }
  if (busy_) {
    FailFront();
    return;
  }
  Drop();
}

void endpoint_monitor::Run(const monitor_command& command) {
  const std::uint64_t number = ++last_number_;
  queue_.push_back({command, number, loop_.Now(), false});
  loop_.After(command.timeout,
              [this, number, alive = std::weak_ptr<int>(lifetime_)] {
                if (!alive.expired()) {
                  TimeOut(number);
                }
              });
  Next();
}

void endpoint_monitor::Next() {
  while (!busy_ && !queue_.empty()) {
    busy_ = true;
    if (queue_.front().command.fresh) {
      Drop();
    }
    if (ready_) {
      SendFront();
      return;
    }
    if (Connect()) {
      return;
    }
    PostFailure(queue_.front());
    queue_.pop_front();
    busy_ = false;
  }
}

/// Opens a connection for the front of the queue.
bool endpoint_monitor::Connect() {
  Drop();
  queue_.front().on_new_connection = true;
  if (target_.host.empty()) {
    return false;
  }
  connection_ = std::make_unique<pq_connection>(loop_, *this);
  if (connection_->Start(target_)) {
    return true;
  }
  Drop();
  return false;
}

void endpoint_monitor::OnConnected() {
  ready_ = true;
  SendFront();
}

void endpoint_monitor::OnConnectFailed(const std::string& /*reason*/) {
  FailFront();
}

void endpoint_monitor::SendFront() {
  pending& front = queue_.front();
  answer_ = {};
  front.asked = loop_.Now();
  const query_start started = connection_->Query(SqlOf(front.command));
  if (started == query_start::kSent) {
    return;
  }
  // An old connection that has ended says nothing of the endpoint.
  if (started == query_start::kNotSent && !front.on_new_connection &&
      Connect()) {
    return;
  }
  FailFront();
}

void endpoint_monitor::OnInput() {
  while (!connection_->Busy()) {
    const pq_result value = connection_->Next();
    if (connection_->Broken()) {
      OnLost();
      return;
    }
    if (!value) {
      break;
    }
    if (PQresultStatus(value.get()) == PGRES_FATAL_ERROR) {
      answer_.failed = true;
    } else if (PQntuples(value.get()) == 1 && PQnfields(value.get()) == 1) {
      answer_.cell = PQgetvalue(value.get(), 0, 0);
    }
  }
  if (busy_ && !connection_->Busy()) {
    FinishFront();
  }
}

void endpoint_monitor::OnLost() {
  if (busy_) {
    FailFront();
    return;
  }
  Drop();
}

void endpoint_monitor::OnNotice(const wire::error_fields& /*fields*/) {}

void endpoint_monitor::FinishFront() {
  const pending done = queue_.front();
  queue_.pop_front();
  busy_ = false;
  PostAnswer(done);
  Next();
}

void endpoint_monitor::PostAnswer(const pending& done) {
  const std::optional<endpoint_state> state = ParseEndpointState(answer_.cell);
  const bool accepted = state && !answer_.failed;
  switch (done.command.task) {
    case monitor_task::kProbe:
      if (!accepted) {
        PostFailure(done);
        return;
      }
      loop_.Post(probe_answered{endpoint_, done.asked, *state});
      return;
    case monitor_task::kMove:
      if (accepted) {
        loop_.Post(endpoint_moved{endpoint_, done.asked, *state});
      }
      return;
    case monitor_task::kPromote:
      loop_.Post(endpoint_promoted{
          endpoint_,
          accepted ? *state : connection_->State().value_or(endpoint_state{}),
          accepted});
      return;
  }
}

void endpoint_monitor::TimeOut(std::uint64_t number) {
  if (busy_ && queue_.front().number == number) {
    FailFront();
    return;
  }
  const auto found =
      std::find_if(queue_.begin(), queue_.end(),
                   [&](const pending& p) { return p.number == number; });
  if (found == queue_.end()) {
    return;
  }
  PostFailure(*found);
  queue_.erase(found);
}

/// Gives the front of the queue up together with the connection.
void endpoint_monitor::FailFront() {
  Drop();
  PostFailure(queue_.front());
  queue_.pop_front();
  busy_ = false;
  Next();
}

void endpoint_monitor::PostFailure(const pending& failed) {
  if (failed.command.task == monitor_task::kProbe) {
    loop_.Post(probe_failed{endpoint_, failed.asked, failed.on_new_connection});
  }
}

void endpoint_monitor::Drop() {
  ready_ = false;
  if (connection_ != nullptr) {
    Retire(loop_, std::move(connection_));
  }
}

}  // namespace marjoramslip::shell
