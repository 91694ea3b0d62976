// Sends statements to an endpoint and handles its answers.

#include "line_link.h"

#include <cstddef>
#include <utility>
#include <variant>

#include "framing.h"

namespace marjoramslip::lines {
namespace {

/// Rounds of markers that confirm an answer that may be a repetition. Each of
/// them makes it less likely that repeated answers to markers do so.
constexpr int kConfirmingRounds = 2;

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
  rows_passed_on_ = false;
  outgoing_statement statement;
  if (!socket_.IsOpen() ||
      !context_.exchange.FindStatement(request_, statement)) {
    FailConnection();
    return;
  }
  std::string& out = socket_.Output();
  const std::size_t begin = out.size();
  const int own = memory_.ApplySession(*statement.session, statement.prepared,
                                       context_.codec, out);
  if (statement.prepared != nullptr) {
    context_.codec.AppendExecute(statement.id, command.required_point,
                                 statement.prepared->SharedName(),
                                 statement.arguments, out);
  } else {
    context_.codec.AppendStatement(statement.id, command.required_point,
                                   statement.text, out);
  }
  // The success of a BEGIN is not signed, so it could always be a repetition.
  const bool begins = statement.kind == statement_kind::kBegin ||
                      statement.kind == statement_kind::kBeginRead;
  const int markers = begins ? context_.codec.AppendMarkers(out) : 0;
  if (CountLines(std::string_view(out).substr(begin)) != own + 1 + markers) {
    // A field holds a line end; what follows it would be another message.
    out.resize(begin);
    FailConnection();
    return;
  }
  matcher_.OnSent(statement.kind, own, markers);
  context_.exchange.OnAttempt(request_);
  sent_ = true;
  socket_.Send();
}

void line_link::OnLine(const endpoint_line& line) {
  if (!std::exchange(incoming_.begun, true)) {
    incoming_.began_unrequested = !matcher_.IsDue();
  }
  std::visit([this](const auto& message) { Handle(message); }, line);
}

void line_link::Handle(const row_line& row) {
  if (incoming_.end != answer_end::kNone) {
    Reject(shell::answer_mismatch::kOutOfStep);
    return;
  }
  incoming_.has_rows = true;
  if (!incoming_.began_unrequested && matcher_.IsStatementDue()) {
    rows_passed_on_ = true;
    context_.exchange.OnRow(request_, row.line);
  }
}

void line_link::Handle(const done_line& done) {
  if (incoming_.end != answer_end::kNone) {
    Reject(shell::answer_mismatch::kOutOfStep);
    return;
  }
  incoming_.end =
      done.signature.empty() ? answer_end::kUnsigned : answer_end::kSigned;
  incoming_.text = done.signature;
}

void line_link::Handle(const error_line& error) {
  if (incoming_.end != answer_end::kNone) {
    Reject(shell::answer_mismatch::kOutOfStep);
    return;
  }
  incoming_.end = answer_end::kError;
  incoming_.text = error.line;
  incoming_.reason = error.reason;
}

void line_link::Handle(const malformed_line& /*line*/) {
  Reject(shell::answer_mismatch::kMalformed);
}

void line_link::Handle(const ready_line& ready) {
  const answer_use use =
      matcher_.Match({.end = incoming_.end,
                      .text = incoming_.text,
                      .has_rows = incoming_.has_rows,
                      .transaction = ready.transaction,
                      .began_unrequested = incoming_.began_unrequested});
  Apply(use, ready);
}

void line_link::Apply(answer_use use, const ready_line& ready) {
  switch (use) {
    case answer_use::kOutOfStep:
      Reject(request_ == request_id{} ? shell::answer_mismatch::kUnrequested
                                      : shell::answer_mismatch::kOutOfStep);
      return;
    case answer_use::kIgnored:
      Report(incoming_.end == answer_end::kUnsigned
                 ? shell::answer_mismatch::kUnsigned
                 : shell::answer_mismatch::kRepeated,
             false);
      DiscardRows();
      break;
    case answer_use::kKept:
      Take(ready);
      DiscardRows();
      break;
    case answer_use::kOwn:
      break;
    case answer_use::kFinal:
      Take(ready);
      incoming_ = {};
      Finish();
      return;
    case answer_use::kKeptIsFinal:
      incoming_ = {};
      Finish();
      return;
  }
  incoming_ = {};
  if (matcher_.NeedsMarkers()) {
    SendMarkers();
  }
}

void line_link::Take(const ready_line& ready) {
  const bool failed = incoming_.end == answer_end::kError;
  outcome_ = failed ? OutcomeOf(incoming_.reason) : answer_outcome::kSucceeded;
  if (failed && incoming_.reason == endpoint_refusal::kUnknownStatement) {
    memory_.ClearPreparedStatements();
  }
  end_text_ = std::move(incoming_.text);
  ready_ = ready;
}

void line_link::DiscardRows() {
  if (std::exchange(rows_passed_on_, false)) {
    context_.exchange.DiscardRows(request_);
  }
}

void line_link::SendMarkers() {
  int markers = 0;
  for (int i = 0; i < kConfirmingRounds; ++i) {
    markers += context_.codec.AppendMarkers(socket_.Output());
  }
  matcher_.OnMarkersSent(markers);
  socket_.Send();
}

void line_link::Finish() {
  const request_id request = std::exchange(request_, request_id{});
  if (outcome_ == answer_outcome::kSucceeded) {
    context_.exchange.OnDone(request, end_text_, ready_.transaction);
  } else {
    context_.exchange.OnError(request, end_text_, ready_.transaction);
  }
  context_.loop.Post(statement_answered{.connection = id_,
                                        .request = request,
                                        .outcome = outcome_,
                                        .transaction = ready_.transaction,
                                        .state = StateOf(ready_)});
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
