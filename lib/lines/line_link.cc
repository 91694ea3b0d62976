// Sends statements to an endpoint and handles its answers.

#include "line_link.h"

#include <utility>
#include <variant>

namespace marjoramslip::lines {
namespace {

/// Returns the endpoint state in an answer, which holds only the end of the
/// log.
endpoint_state StateOf(const ready_line& ready) {
  endpoint_state state;
  state.complete = false;
  if (ready.end_of_log) {
    state.log_term = ready.end_of_log->term;
    state.position = ready.end_of_log->position;
  }
  return state;
}

answer_outcome OutcomeOf(endpoint_refusal reason) {
  switch (reason) {
    case endpoint_refusal::kBusy:
    case endpoint_refusal::kUnknownStatement:
      return answer_outcome::kBusy;
    case endpoint_refusal::kBehind:
      return answer_outcome::kLogBehind;
    case endpoint_refusal::kNotWritable:
    case endpoint_refusal::kWrongEndpoint:
      return answer_outcome::kNotWritable;
    case endpoint_refusal::kTooManyConnections:
    case endpoint_refusal::kFailed:
      break;
  }
  return answer_outcome::kFailed;
}

}  // namespace

void line_link::Open(const endpoint_target& target, std::string_view client) {
  if (!socket_.Connect(target, client)) {
    OnRefused(false, "invalid endpoint address");
  }
}

bool line_link::TimeOut(bool final) {
  if (socket_.IsOpen()) {
    return false;
  }
  const bool established = socket_.IsEstablished();
  if (established && !final) {
    return true;
  }
  socket_.Close();
  context_.loop.Post(connection_refused{.connection = id_,
                                        .limit_reached = false,
                                        .reason = "startup timed out",
                                        .unanswered = established});
  context_.owner.OnLinkEnded(id_);
  return false;
}

void line_link::OnOpen(const ready_line& ready) {
  context_.loop.Post(connection_opened{id_, StateOf(ready)});
}

void line_link::OnRefused(bool full, std::string_view reason) {
  context_.loop.Post(connection_refused{
      .connection = id_, .limit_reached = full, .reason = std::string(reason)});
  context_.owner.OnLinkEnded(id_);
}

void line_link::Send(const send_statement& command) {
  request_ = command.request;
  sent_ = false;
  ended_ = false;
  outcome_ = answer_outcome::kSucceeded;
  outgoing_statement statement;
  if (!socket_.IsOpen() ||
      !context_.exchange.FindStatement(request_, statement)) {
    FailConnection();
    return;
  }
  std::string& out = socket_.Output();
  preceding_answers_ = memory_.ApplySession(
      *statement.session, statement.prepared, context_.codec, out);
  if (statement.prepared != nullptr) {
    context_.codec.AppendExecute(statement.id, command.required_point,
                                 statement.prepared->SharedName(),
                                 statement.arguments, out);
  } else {
    context_.codec.AppendStatement(statement.id, command.required_point,
                                   statement.text, out);
  }
  context_.exchange.OnAttempt(request_);
  sent_ = true;
  socket_.Send();
}

void line_link::OnLine(const endpoint_line& line) {
  std::visit([this](const auto& message) { Handle(message); }, line);
}

void line_link::Handle(const row_line& row) {
  if (preceding_answers_ > 0 || request_ == request_id{}) {
    Reject(request_ == request_id{} ? shell::answer_mismatch::kUnrequested
                                    : shell::answer_mismatch::kOutOfStep);
    return;
  }
  context_.exchange.OnRow(request_, row.line);
}

void line_link::Handle(const done_line& done) {
  if (!done.signature.empty() && history_.Add(done.signature)) {
    Report(shell::answer_mismatch::kRepeated, false);
  }
  if (preceding_answers_ > 0) {
    return;
  }
  ended_ = true;
  end_text_ = done.signature;
}

void line_link::Handle(const error_line& error) {
  if (preceding_answers_ > 0) {
    // The session's state was not applied, so the statement runs without it.
    Reject(shell::answer_mismatch::kOutOfStep);
    return;
  }
  ended_ = true;
  outcome_ = OutcomeOf(error.reason);
  if (error.reason == endpoint_refusal::kUnknownStatement) {
    memory_.ClearPreparedStatements();
  }
  end_text_ = error.line;
}

void line_link::Handle(const ready_line& ready) {
  if (preceding_answers_ > 0) {
    --preceding_answers_;
    return;
  }
  if (!ended_ || request_ == request_id{}) {
    Reject(request_ == request_id{} ? shell::answer_mismatch::kUnrequested
                                    : shell::answer_mismatch::kOutOfStep);
    return;
  }
  Finish(ready);
}

void line_link::Handle(const malformed_line& /*line*/) {
  Reject(shell::answer_mismatch::kMalformed);
}

void line_link::Finish(const ready_line& ready) {
  const request_id request = std::exchange(request_, request_id{});
  if (outcome_ == answer_outcome::kSucceeded) {
    context_.exchange.OnDone(request, end_text_, ready.transaction);
  } else {
    context_.exchange.OnError(request, end_text_, ready.transaction);
  }
  context_.loop.Post(statement_answered{.connection = id_,
                                        .request = request,
                                        .outcome = outcome_,
                                        .transaction = ready.transaction,
                                        .state = StateOf(ready)});
}

void line_link::Report(shell::answer_mismatch mismatch,
                       bool connection_closed) {
  context_.observer.OnMismatchedAnswer(
      {.endpoint = endpoint_,
       .connection = id_,
       .request = request_,
       .mismatch = mismatch,
       .connection_closed = connection_closed});
}

void line_link::Reject(shell::answer_mismatch mismatch) {
  Report(mismatch, true);
  FailConnection();
}

void line_link::FailConnection() {
  socket_.Close();
  OnLost();
}

void line_link::OnLost() {
  // Only complete answers are forwarded, so no part of one was delivered.
  context_.loop.Post(connection_lost{id_, sent_, false});
  context_.owner.OnLinkEnded(id_);
}

}  // namespace marjoramslip::lines
