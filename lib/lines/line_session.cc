// Startup, statements and answers of one caller's session.

#include "line_session.h"

#include <optional>
#include <utility>
#include <variant>

#include "marjoramslip/core/sqlstates.h"

namespace marjoramslip::lines {
namespace {

/// While a statement is in progress, reading pauses once this many bytes of
/// further input are buffered.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;

/// Maps a verb to the kind of the core; empty for verbs that are not sent to
/// an endpoint under their own kind.
std::optional<statement_kind> KindOf(statement_verb verb) {
  switch (verb) {
    case statement_verb::kBegin:
      return statement_kind::kBegin;
    case statement_verb::kBeginRead:
      return statement_kind::kBeginRead;
    case statement_verb::kCommit:
      return statement_kind::kCommit;
    case statement_verb::kRollback:
      return statement_kind::kRollback;
    case statement_verb::kRead:
      return statement_kind::kRead;
    case statement_verb::kWrite:
      return statement_kind::kWrite;
    default:
      return std::nullopt;
  }
}

/// True for statements that change the session only and need no endpoint.
bool ChangesSession(statement_verb verb) {
  return verb == statement_verb::kSet || verb == statement_verb::kPrepare ||
         verb == statement_verb::kDeallocate;
}

std::size_t EntryBytes(std::string_view name, std::string_view value) {
  return shell::kStoredEntryBytes + name.size() + value.size();
}

/// Empties a text and frees a large buffer.
void Free(std::string& text) {
  text.clear();
  if (text.capacity() > shell::kKeptBufferBytes) {
    text.shrink_to_fit();
  }
}

bool EndsTransaction(statement_verb verb) {
  return verb == statement_verb::kCommit || verb == statement_verb::kRollback;
}

/// Maps a failure to the refusal that the caller receives.
caller_refusal RefusalOf(const failure& reason, bool in_transaction) {
  if (reason.effect != verdict::kNotRun) {
    return caller_refusal::kOutcomeUnknown;
  }
  if (reason.sqlstate == sqlstate::kUnknownService) {
    return caller_refusal::kUnknownDatabase;
  }
  if (reason.sqlstate == sqlstate::kUnknownKey) {
    return caller_refusal::kUnknownKey;
  }
  return in_transaction ? caller_refusal::kTransactionLost
                        : caller_refusal::kBusy;
}

}  // namespace

line_session::line_session(session_owner& owner, caller_id caller,
                           const Poco::Net::StreamSocket& socket)
    : owner_(owner),
      caller_(caller),
      input_(owner.Settings().max_message_bytes),
      connection_(owner.Loop(), socket, owner.Settings().write_stall_timeout,
                  *this),
      progress_(owner.Loop().Now()) {}

void line_session::EndStartup() {
  if (!started_) {
    connection_.Close();
  }
}

void line_session::Dismiss(const failure& reason) {
  if (connection_.Closing()) {
    return;
  }
  if (started_) {
    Close(reason);
    connection_.ReadAvailable();
    if (!ended_ && !connection_.Closing()) {
      connection_.LingerAfterFlush();
    }
    return;
  }
  owner_.Codec().AppendError(RefusalOf(reason, false), reason.message,
                             connection_.Output());
  connection_.LingerAfterFlush();
}

void line_session::EndRefusalPeriod() {
  if (connection_.Closing()) {
    return;
  }
  last_answer_ = true;
  connection_.ReadAvailable();
  if (!ended_ && !connection_.Closing()) {
    owner_.ScheduleLastStatementEnd(*this);
  }
}

void line_session::EndAwaitingStatement() {
  if (connection_.Closing()) {
    return;
  }
  if (!AllIsAnswered()) {
    owner_.ScheduleLastStatementEnd(*this);
    return;
  }
  connection_.LingerAfterFlush();
}

void line_session::OnBytes(std::span<const char> bytes) {
  input_.Add(bytes);
  ProcessInput();
  if (closing_) {
    ContinueClosing();
  }
  if (!ended_) {
    owner_.OnMemory(*this);
  }
}

void line_session::OnRoom() {
  if (connection_.Pending() == 0) {
    progress_ = owner_.Loop().Now();
  }
  if (connection_.Pending() <= owner_.Settings().answer_buffer_bytes / 2) {
    ProcessInput();
  }
  if (closing_ && answered_) {
    ContinueClosing();
  }
  if (!ended_) {
    owner_.OnMemory(*this);
  }
}

bool line_session::Accepting() const {
  return connection_.Pending() < owner_.Settings().answer_buffer_bytes;
}

void line_session::WatchMessage() {
  const bool half = started_ && request_ == request_id{} && Accepting() &&
                    input_.BufferedBytes() > 0;
  if (!half) {
    half_since_.reset();
    return;
  }
  if (!half_since_) {
    half_since_ = owner_.Loop().Now();
  }
  if (!std::exchange(half_watched_, true)) {
    owner_.ScheduleMessageCheck(*this, owner_.Settings().message_timeout);
  }
}

void line_session::CheckMessageTime() {
  half_watched_ = false;
  if (ended_ || connection_.Closing() || !half_since_) {
    return;
  }
  const duration waited = owner_.Loop().Now() - *half_since_;
  const duration limit = owner_.Settings().message_timeout;
  if (waited >= limit) {
    EndAtLimit(shell::caller_limit::kMessageTime,
               "the rest of the message did not arrive in time");
    return;
  }
  half_watched_ = true;
  owner_.ScheduleMessageCheck(*this, limit - waited);
}

void line_session::WatchIdleTransaction() {
  const duration limit = owner_.IdleTransactionLimit();
  if (status_ == transaction_status::kIdle || limit == duration{}) {
    return;
  }
  idle_since_ = owner_.Loop().Now();
  if (!std::exchange(idle_watched_, true)) {
    owner_.ScheduleIdleCheck(*this, limit);
  }
}

void line_session::CheckIdleTransaction() {
  idle_watched_ = false;
  const duration limit = owner_.IdleTransactionLimit();
  if (ended_ || connection_.Closing() || limit == duration{} ||
      status_ == transaction_status::kIdle) {
    return;
  }
  const instant now = owner_.Loop().Now();
  const bool resting = request_ == request_id{};
  if (resting && now - idle_since_ >= limit) {
    EndAtLimit(shell::caller_limit::kIdleTransaction,
               "the transaction rested for too long and is rolled back");
    return;
  }
  idle_watched_ = true;
  owner_.ScheduleIdleCheck(*this,
                           resting ? limit - (now - idle_since_) : limit);
}

shell::memory_use line_session::MemoryUse() const {
  // A statement that is being sent is copied to the endpoint's connection.
  const std::size_t copies = attempted_ && request_ != request_id{} ? 2 : 1;
  return {.bytes = sizeof(*this) + input_.HeldBytes() + state_bytes_ +
                   copies * (text_.size() + arguments_.size()) +
                   answer_.size() + connection_.Pending(),
          .progress = progress_};
}

void line_session::EndAtLimit(shell::caller_limit limit,
                              std::string_view text) {
  if (ended_ || connection_.Closing()) {
    return;
  }
  owner_.OnLimit(*this, limit);
  const failure reason{attempted_ && request_ != request_id{}
                           ? verdict::kMayHaveRun
                           : verdict::kNotRun,
                       sqlstate::kOverloaded, std::string(text)};
  if (request_ != request_id{}) {
    owner_.OnRefusal({.request = request_, .statement = id_, .reason = reason});
    owner_.EndRequest(std::exchange(request_, request_id{}));
  }
  if (started_) {
    // Nothing more is sent to an endpoint for this caller.
    left_ = true;
    owner_.Loop().Post(caller_closed{caller_});
  }
  input_.Clear();
  prepared_ = nullptr;
  state_ = {};
  state_bytes_ = 0;
  Free(text_);
  Free(arguments_);
  Free(answer_);
  if (connection_.Pending() > 0) {
    // An error behind answers that the caller does not read would hold them.
    connection_.Close();
    return;
  }
  owner_.Codec().AppendError(
      RefusalOf(reason, status_ != transaction_status::kIdle), text,
      connection_.Output());
  connection_.LingerAfterFlush();
  if (!ended_) {
    owner_.OnMemory(*this);
  }
}

void line_session::ContinueClosing() {
  // A caller that waits for its answer sends nothing that could cross the end.
  const bool answered = std::exchange(answered_, false);
  if (last_answer_ && answered && AllIsAnswered()) {
    connection_.LingerAfterFlush();
    return;
  }
  RefuseAhead();
}

bool line_session::AllIsAnswered() const {
  return input_.BufferedBytes() == 0 && !connection_.MayHaveMore() &&
         connection_.Pending() == 0;
}

void line_session::OnGone() {
  if (ended_) {
    return;
  }
  ended_ = true;
  if (request_ != request_id{}) {
    owner_.EndRequest(request_);
  }
  owner_.OnSessionEnded(*this);
}

void line_session::CountInto(shell::session_counts& counts) const {
  ++(!started_ ? counts.starting : closing_ ? counts.closing : counts.open);
  counts.in_progress += request_ != request_id{} ? 1 : 0;
  counts.unsent_bytes += connection_.Pending();
}

std::optional<shell::session_cut> line_session::Cut() const {
  const bool in_progress = request_ != request_id{};
  if (!in_progress && connection_.Pending() == 0) {
    return std::nullopt;
  }
  return shell::session_cut{
      .request = request_,
      .statement = id_,
      .age = in_progress ? owner_.Loop().Now() - read_at_ : duration{},
      .unsent_bytes = connection_.Pending(),
      .cause = connection_.Cause()};
}

/// Handles lines until a statement waits for its answer.
void line_session::ProcessInput() {
  if (processing_) {
    return;
  }
  processing_ = true;
  while (!ended_ && request_ == request_id{} && !connection_.Closing() &&
         Accepting()) {
    const auto line = input_.Next();
    if (!line) {
      break;
    }
    progress_ = owner_.Loop().Now();
    half_since_.reset();
    HandleLine(*line);
  }
  processing_ = false;
  if (ended_ || connection_.Closing()) {
    return;
  }
  input_.Release();
  if (input_.Overflowed()) {
    input_.Clear();
    owner_.Codec().AppendError(caller_refusal::kBadMessage,
                               "message exceeds the maximum length",
                               connection_.Output());
    connection_.LingerAfterFlush();
    return;
  }
  WatchMessage();
  // With no statement in progress and no answers unsent, the buffer holds only
  // part of one line, and the splitter bounds its length.
  connection_.SetReading((request_ == request_id{} && Accepting()) ||
                         input_.BufferedBytes() < kMaxReadAheadBytes);
}

void line_session::HandleLine(std::string_view line) {
  const caller_line message = owner_.Codec().ParseCaller(line);
  if (std::holds_alternative<quit_line>(message)) {
    connection_.CloseAfterFlush();
    return;
  }
  if (const auto* startup = std::get_if<startup_line>(&message)) {
    if (!started_) {
      Start(*startup);
      return;
    }
  } else if (const auto* statement = std::get_if<statement_line>(&message)) {
    if (started_) {
      HandleStatement(*statement);
      return;
    }
  }
  owner_.Codec().AppendError(caller_refusal::kBadMessage,
                             "invalid message, or not allowed at this point",
                             connection_.Output());
  connection_.LingerAfterFlush();
}

void line_session::Start(const startup_line& startup) {
  if (!owner_.Admit(*this)) {
    owner_.OnLimit(*this, shell::caller_limit::kCallers);
    owner_.Codec().AppendError(caller_refusal::kBusy,
                               "this instance serves as many callers as it may",
                               connection_.Output());
    connection_.LingerAfterFlush();
    return;
  }
  started_ = true;
  database_ = startup.database;
  owner_.Codec().AppendReady(status_, connection_.Output());
  owner_.Loop().Post(caller_opened{.caller = caller_,
                                   .service = database_,
                                   .tenant = {},
                                   .key = std::string(startup.key)});
  // The output is sent in the next turn, unless the core closes the caller
  // before.
  connection_.Schedule();
}

void line_session::HandleStatement(const statement_line& statement) {
  id_ = statement.id;
  if (transaction_lost_ && EndsTransaction(statement.verb)) {
    transaction_lost_ = false;
    status_ = transaction_status::kIdle;
    owner_.Loop().Post(loss_acknowledged{caller_});
    if (std::exchange(refused_ahead_, false)) {
      Finish();
      return;
    }
    if (statement.verb == statement_verb::kRollback) {
      Succeed();
    } else {
      Refuse(caller_refusal::kTransactionLost,
             "transaction was lost and has been rolled back");
    }
    return;
  }
  if (closing_) {
    RefuseWhileClosing();
    return;
  }
  const bool failed = status_ == transaction_status::kFailed;
  if (failed && !EndsTransaction(statement.verb)) {
    Refuse(caller_refusal::kBadMessage,
           "transaction has failed; commands are refused until it ends");
    return;
  }
  if (key_refusal_.has_value() && status_ == transaction_status::kIdle &&
      ChangesSession(statement.verb)) {
    RefuseForKey();
    return;
  }
  if (!AnswerLocally(statement)) {
    PostStatement(statement);
  }
}

void line_session::RefuseForKey() {
  const failure reason = *key_refusal_;
  owner_.OnRefusal({.request = {}, .statement = id_, .reason = reason});
  left_ = true;
  owner_.Loop().Post(caller_closed{caller_});
  Refuse(RefusalOf(reason, false), reason.message);
  Close(reason);
}

void line_session::RefuseWhileClosing() {
  owner_.OnRefusal(
      {.request = {}, .statement = id_, .reason = closing_reason_});
  const caller_refusal refusal = ClosingRefusal();
  if (status_ != transaction_status::kIdle) {
    status_ = transaction_status::kFailed;
  }
  if (std::exchange(refused_ahead_, false)) {
    Finish();
  } else {
    Refuse(refusal, closing_reason_.message);
  }
}

caller_refusal line_session::ClosingRefusal() const {
  return RefusalOf(closing_reason_, status_ != transaction_status::kIdle);
}

void line_session::RefuseAhead() {
  if (ended_ || refused_ahead_ || connection_.Closing()) {
    return;
  }
  refused_ahead_ = true;
  owner_.Codec().AppendError(ClosingRefusal(), closing_reason_.message,
                             connection_.Output());
  connection_.Flush();
}

bool line_session::AnswerLocally(const statement_line& statement) {
  switch (statement.verb) {
    case statement_verb::kSet: {
      const auto known = state_.values.find(statement.name);
      if (!TakeState(known == state_.values.end()
                         ? 0
                         : EntryBytes(known->first, known->second),
                     EntryBytes(statement.name, statement.value))) {
        return true;
      }
      state_.values.insert_or_assign(std::string(statement.name),
                                     std::string(statement.value));
      Succeed();
      return true;
    }
    case statement_verb::kPrepare: {
      const auto known = state_.statements.find(statement.name);
      if (!TakeState(known == state_.statements.end()
                         ? 0
                         : EntryBytes(known->first, known->second.shape),
                     EntryBytes(statement.name, statement.value))) {
        return true;
      }
      state_.statements.insert_or_assign(
          std::string(statement.name),
          prepared_statement{statement.writes, std::string(statement.value)});
      Succeed();
      return true;
    }
    case statement_verb::kDeallocate: {
      const auto known = state_.statements.find(statement.name);
      if (known == state_.statements.end()) {
        Refuse(caller_refusal::kUnknownStatement, "unknown prepared statement");
        return true;
      }
      state_bytes_ -= EntryBytes(known->first, known->second.shape);
      state_.statements.erase(known);
      Succeed();
      return true;
    }
    case statement_verb::kUnknown:
      Refuse(caller_refusal::kBadMessage, "unknown statement");
      return true;
    default:
      return false;
  }
}

bool line_session::TakeState(std::size_t old_bytes, std::size_t new_bytes) {
  const std::size_t bytes = state_bytes_ - old_bytes + new_bytes;
  if (bytes > shell::SessionStateBytes(owner_.Settings())) {
    owner_.OnLimit(*this, shell::caller_limit::kSessionState);
    Refuse(caller_refusal::kTooLarge,
           "the session's values and prepared names exceed their limit");
    return false;
  }
  state_bytes_ = bytes;
  return true;
}

void line_session::PostStatement(const statement_line& statement) {
  prepared_ = nullptr;
  if (statement.verb == statement_verb::kExecute) {
    const auto known = state_.statements.find(statement.name);
    if (known == state_.statements.end()) {
      Refuse(caller_refusal::kUnknownStatement, "unknown prepared statement");
      return;
    }
    prepared_ = &known->second;
    kind_ = prepared_->writes ? statement_kind::kWrite : statement_kind::kRead;
  } else {
    kind_ = *KindOf(statement.verb);
  }
  text_ = statement.text;
  arguments_ = statement.value;
  answer_.clear();
  attempted_ = false;
  request_ = owner_.BeginRequest(*this);
  read_at_ = owner_.Loop().Now();
  owner_.Loop().Post(statement_received{
      .caller = caller_, .request = request_, .kind = kind_, .settings = {}});
}

void line_session::Describe(outgoing_statement& statement) const {
  statement.id = id_;
  statement.kind = kind_;
  statement.text = text_;
  statement.prepared = prepared_;
  statement.arguments = arguments_;
  statement.session = &state_;
}

void line_session::OnAttempt() {
  attempted_ = true;
  answer_.clear();
  owner_.OnMemory(*this);
}

void line_session::OnRow(std::string_view line) {
  owner_.Codec().AppendUnchanged(line, answer_);
  owner_.OnMemory(*this);
}

void line_session::DiscardRows() {
  Free(answer_);
  owner_.OnMemory(*this);
}

void line_session::OnDone(std::string_view signature,
                          transaction_status status) {
  owner_.Codec().AppendDone(signature, answer_);
  answered_status_ = status;
}

void line_session::OnError(std::string_view line, transaction_status status) {
  // Rows before an error are discarded.
  answer_.clear();
  owner_.Codec().AppendUnchanged(line, answer_);
  answered_status_ = status;
}

void line_session::Release() {
  connection_.Output().append(answer_);
  Free(answer_);
  status_ = answered_status_;
  Finish();
}

transaction_status line_session::StatusAfterFailure() const {
  const bool ends =
      kind_ == statement_kind::kCommit || kind_ == statement_kind::kRollback;
  return status_ == transaction_status::kIdle || ends
             ? transaction_status::kIdle
             : transaction_status::kFailed;
}

void line_session::Fail(const failure& reason) {
  const bool in_transaction = status_ != transaction_status::kIdle;
  owner_.Codec().AppendError(RefusalOf(reason, in_transaction), reason.message,
                             connection_.Output());
  status_ = StatusAfterFailure();
  transaction_lost_ = status_ == transaction_status::kFailed;
  Finish();
}

void line_session::Succeed() {
  owner_.Codec().AppendDone({}, connection_.Output());
  Finish();
}

void line_session::Refuse(caller_refusal reason, std::string_view text) {
  owner_.Codec().AppendError(reason, text, connection_.Output());
  Finish();
}

/// Ends the statement in progress; its result is already in the output.
void line_session::Finish() {
  if (request_ != request_id{}) {
    owner_.EndRequest(request_);
    request_ = {};
    Free(text_);
    Free(arguments_);
    Free(answer_);
  }
  answered_ = true;
  owner_.Codec().AppendReady(status_, connection_.Output());
  WatchIdleTransaction();
  connection_.Flush();
  ProcessInput();
}

void line_session::Close(const failure& reason) {
  if (closing_ || connection_.Closing()) {
    return;
  }
  if (reason.sqlstate == sqlstate::kUnknownKey && NothingSent()) {
    // The READY answer to the startup is not sent yet: replaces it by an error,
    // which answers a statement that came with it too.
    if (request_ != request_id{}) {
      owner_.EndRequest(request_);
      request_ = {};
    }
    connection_.TakeBack(0);
    owner_.Codec().AppendError(RefusalOf(reason, false), reason.message,
                               connection_.Output());
    connection_.LingerAfterFlush();
    return;
  }
  if (request_ != request_id{}) {
    owner_.OnRefusal({.request = request_, .statement = id_, .reason = reason});
    owner_.Codec().AppendError(
        RefusalOf(reason, status_ != transaction_status::kIdle), reason.message,
        connection_.Output());
    status_ = StatusAfterFailure();
    owner_.Codec().AppendReady(status_, connection_.Output());
    owner_.EndRequest(request_);
    request_ = {};
  } else if (connection_.Pending() > 0 &&
             reason.sqlstate == sqlstate::kUnknownService) {
    // The READY answer to the startup is not sent yet: replaces it by an error.
    connection_.TakeBack(connection_.Position() - connection_.Pending());
    owner_.Codec().AppendError(RefusalOf(reason, false), reason.message,
                               connection_.Output());
    connection_.LingerAfterFlush();
    return;
  }
  // A statement may already be in transit. It is refused, so that the caller
  // knows that it did not run.
  closing_ = true;
  closing_reason_ = reason;
  transaction_lost_ = status_ != transaction_status::kIdle;
  owner_.ScheduleRefusalEnd(*this);
  connection_.Flush();
  // Statements that the caller sent behind the one in progress.
  ProcessInput();
  RefuseAhead();
}

}  // namespace marjoramslip::lines
