// The session of one caller of a line protocol.

#ifndef MARJORAMSLIP_LIB_LINES_LINE_SESSION_H_
#define MARJORAMSLIP_LIB_LINES_LINE_SESSION_H_

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "line_splitter.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/lines/line_front.h"
#include "marjoramslip/lines/session_state.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/stream_connection.h"

namespace marjoramslip::lines {

class line_session;

/// Interface through which a session uses its front.
class session_owner {
 public:
  virtual ~session_owner() = default;
  virtual shell::event_loop& Loop() = 0;
  virtual const line_codec& Codec() const = 0;
  virtual const instance_settings& Settings() const = 0;
  /// Reports a statement that the session refused because it is closing.
  virtual void OnRefusal(const shell::session_refusal& refusal) = 0;
  /// Registers a statement of the session and returns its new request id.
  virtual request_id BeginRequest(line_session& session) = 0;
  virtual void EndRequest(request_id request) = 0;
  /// Returns false if there are as many callers as allowed.
  virtual bool Admit(line_session& session) = 0;
  /// Called when the memory that the session holds has changed.
  virtual void OnMemory(line_session& session) = 0;
  /// Reports that the session was refused or closed at a limit.
  virtual void OnLimit(const line_session& session,
                       shell::caller_limit limit) = 0;
  /// How long a transaction may rest; 0: without limit.
  virtual duration IdleTransactionLimit() const = 0;
  /// Calls CheckIdleTransaction after `delay`, if the session still exists.
  virtual void ScheduleIdleCheck(line_session& session, duration delay) = 0;
  /// Calls CheckMessageTime after `delay`, if the session still exists.
  virtual void ScheduleMessageCheck(line_session& session, duration delay) = 0;
  /// Calls EndRefusalPeriod after the refusal period, if the session still
  /// exists.
  virtual void ScheduleRefusalEnd(line_session& session) = 0;
  /// Calls EndAwaitingStatement after the time for one more statement, if the
  /// session still exists.
  virtual void ScheduleLastStatementEnd(line_session& session) = 0;
  /// Called by an ended session as its last action; it is destroyed later.
  virtual void OnSessionEnded(line_session& session) = 0;
};

/// Turns lines of the caller into events and answers into lines. One statement
/// at a time is in progress; further ones are queued.
///
/// The end of a session, unless the caller closes it before:
/// 1. Close: the core has closed the caller. Statements are refused here, and
///    the refusal of the next one is sent ahead.
/// 2. EndRefusalPeriod: the connection closes behind the next answer.
/// 3. EndAwaitingStatement: no statement came; the connection closes.
/// Closing sends what is left, ends the output, and discards input until the
/// caller has closed its side. Dismiss goes from any state to that, Abort
/// closes the socket.
class line_session final : private shell::connection_user {
 public:
  line_session(session_owner& owner, caller_id caller,
               const Poco::Net::StreamSocket& socket);

  caller_id Caller() const { return caller_; }
  std::string_view Database() const { return database_; }
  /// The id that the caller gave the statement in progress.
  std::string_view StatementId() const { return id_; }
  bool Started() const { return started_; }
  /// The core has been told that the caller is gone.
  bool Left() const { return left_; }
  void CountInto(shell::session_counts& counts) const;
  /// What the end of the session left undone; empty if nothing.
  std::optional<shell::session_cut> Cut() const;

  /// Closes the connection if the caller has not sent its startup in time.
  void EndStartup();
  /// Closes the connection if the rest of a message has not come in time.
  void CheckMessageTime();
  /// Closes the connection if its transaction has rested for too long: it holds
  /// a connection to an endpoint.
  void CheckIdleTransaction();
  /// The memory of the session's buffers, values, names and unsent answers.
  shell::memory_use MemoryUse() const;
  /// Frees the session's memory and closes the connection; the caller is told
  /// why unless it has answers to read. A statement that may have been sent is
  /// reported as of unknown outcome.
  void EndAtLimit(shell::caller_limit limit, std::string_view text);
  /// Closes the connection at once.
  void Abort() { connection_.Close(); }
  /// Closes the connection with `reason` as its last answer.
  void Dismiss(const failure& reason);
  /// Ends the period in which statements in transit are refused: closes the
  /// connection behind the next answer.
  void EndRefusalPeriod();
  /// Closes the connection if no such answer was due.
  void EndAwaitingStatement();

  // Commands of the core.
  void Release();
  void Fail(const failure& reason);
  void Close(const failure& reason);
  /// Refuses statements that need no endpoint outside transactions; empty: not.
  void SetKeyRefusal(std::optional<failure> refusal) {
    key_refusal_ = std::move(refusal);
  }

  // Calls from links, by way of the front.
  void Describe(outgoing_statement& statement) const;
  void OnAttempt();
  void OnRow(std::string_view line);
  void DiscardRows();
  void OnDone(std::string_view signature, transaction_status status);
  void OnError(std::string_view line, transaction_status status);

 private:
  // connection_user.
  void OnBytes(std::span<const char> bytes) override;
  void OnRoom() override;
  void OnGone() override;

  void ProcessInput();
  /// False while answers to a caller that does not read are unsent.
  bool Accepting() const;
  /// Limits the time of a message that has arrived half.
  void WatchMessage();
  void WatchIdleTransaction();
  /// True if an entry of this size may replace `old_bytes` of the session's
  /// values and names; refuses the statement if not.
  bool TakeState(std::size_t old_bytes, std::size_t new_bytes);
  void HandleLine(std::string_view line);
  void Start(const startup_line& startup);
  void HandleStatement(const statement_line& statement);
  /// Answers statements that need no endpoint; returns false for all others.
  bool AnswerLocally(const statement_line& statement);
  void PostStatement(const statement_line& statement);
  /// Refuses a statement because the caller's key was withdrawn, and closes the
  /// caller.
  void RefuseForKey();
  void RefuseWhileClosing();
  /// Sends the refusal of the next statement before it comes, unless that has
  /// been done. A caller that reads it while idle closes the session; one whose
  /// statement is on its way has its answer, whatever ends first.
  void RefuseAhead();
  caller_refusal ClosingRefusal() const;
  /// Closes the connection behind the answer that was just given, if that is to
  /// be the last one; refuses the next statement ahead otherwise.
  void ContinueClosing();
  bool NothingSent() const {
    return connection_.Position() == connection_.Pending();
  }
  /// True if nothing that arrived lacks an answer, and all answers were sent.
  bool AllIsAnswered() const;
  void Succeed();
  void Refuse(caller_refusal reason, std::string_view text);
  void Finish();
  /// The transaction status after the instance failed the statement.
  transaction_status StatusAfterFailure() const;

  session_owner& owner_;
  caller_id caller_;
  line_splitter input_;
  shell::stream_connection connection_;
  std::string database_;
  session_state state_;
  std::size_t state_bytes_ = 0;
  /// When the session last completed a message or had sent all answers.
  instant progress_{};
  /// When the first part of an incomplete message was seen; empty: none.
  std::optional<instant> half_since_;
  bool half_watched_ = false;  ///< A timer runs.
  /// When the last statement of an open transaction was answered.
  instant idle_since_{};
  bool idle_watched_ = false;  ///< A timer runs.
  transaction_status status_ = transaction_status::kIdle;
  bool started_ = false;
  bool ended_ = false;
  bool left_ = false;
  /// The core has closed the caller; further statements are refused.
  bool closing_ = false;
  /// The connection closes behind the next answer.
  bool last_answer_ = false;
  /// A statement was answered since ContinueClosing was last called.
  bool answered_ = false;
  /// The refusal of the next statement has been sent.
  bool refused_ahead_ = false;
  /// The reason of these refusals.
  failure closing_reason_;
  /// Why the caller's key is refused; empty: it is not.
  std::optional<failure> key_refusal_;
  bool processing_ = false;
  /// The transaction is lost; the caller has yet to end it.
  bool transaction_lost_ = false;

  // The statement in progress.
  request_id request_;
  instant read_at_{};
  std::string id_;
  std::string text_;
  std::string arguments_;
  statement_kind kind_ = statement_kind::kRead;
  bool attempted_ = false;  ///< It may have been sent to an endpoint.
  const prepared_statement* prepared_ = nullptr;
  /// The answer so far, held back until the core releases it.
  std::string answer_;
  transaction_status answered_status_ = transaction_status::kIdle;
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_LINE_SESSION_H_
