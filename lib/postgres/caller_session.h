// One caller: its protocol, its transaction and the statement it waits for.

#ifndef MARJORAMSLIP_LIB_POSTGRES_CALLER_SESSION_H_
#define MARJORAMSLIP_LIB_POSTGRES_CALLER_SESSION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "caller_answer.h"
#include "caller_cancel.h"
#include "caller_settings.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/stream_connection.h"
#include "marjoramslip/settings/settings.h"
#include "marjoramslip/sql/classify.h"
#include "marjoramslip/wire/messages.h"

namespace marjoramslip::shell {

class caller_session;

/// What a session needs of those around it.
class session_host {
 public:
  virtual ~session_host() = default;
  virtual event_loop& Loop() = 0;
  virtual const instance_settings& Settings() const = 0;
  virtual sql::classifier& Classifier() = 0;
  /// A key for a caller that may come in; empty if there are too many.
  virtual std::optional<cancel_key> Admit(caller_session& session) = 0;
  virtual void CancelBy(cancel_key key) = 0;
  /// The memory that the session holds has changed.
  virtual void OnMemory(caller_session& session) = 0;
  /// Reports that the session was refused or closed at a limit.
  virtual void OnLimit(const caller_session& session, caller_limit limit) = 0;
  /// Calls CheckMessageTime after `delay`, if the session still exists.
  virtual void ScheduleMessageCheck(caller_session& session,
                                    duration delay) = 0;
  /// Numbers a statement and remembers whose it is.
  virtual request_id Begin(caller_session& session) = 0;
  virtual void End(request_id request) = 0;
  /// Reports a statement that is refused because the session is closed.
  virtual void OnRefusal(const session_refusal& refusal) = 0;
  /// There is room for more of the answer.
  virtual void Ready(request_id request) = 0;
  /// The session is over; it is destroyed later.
  virtual void Gone(caller_session& session) = 0;
};

/// Serves one caller's connection.
class caller_session : public connection_user {
 public:
  caller_session(session_host& host, caller_id caller,
                 const Poco::Net::StreamSocket& socket);

  caller_id Caller() const { return caller_; }
  std::string_view Tenant() const { return tenant_; }
  std::string_view Service() const { return service_; }
  std::optional<cancel_key> Key() const { return key_; }
  /// The core has been told that the caller is gone.
  bool Left() const { return left_; }
  std::string_view Text() const { return text_; }
  caller_answer& Answer() { return answer_; }
  void CountInto(session_counts& counts) const;
  /// What the end of the session left undone; empty if nothing.
  std::optional<session_cut> Cut() const;
  bool Accepting() const;
  /// A row was added to the answer.
  void NoteRow() {
    full_ = full_ || !Accepting();
    host_.OnMemory(*this);
  }
  /// The statement in progress is about to be sent to an endpoint.
  void OnAttempt() {
    attempted_ = true;
    answer_.Restart();
    host_.OnMemory(*this);
  }
  /// The memory of the session's buffers, settings and unsent answers.
  memory_use MemoryUse() const;
  /// Frees the session's memory and closes the connection; the caller is told
  /// why unless it has answers to read. A statement that may have been sent is
  /// reported as of unknown effect.
  void EndAtLimit(caller_limit limit, std::string_view text);
  /// Closes the connection if the rest of a message has not come in time.
  void CheckMessageTime();

  /// Effects of the core on the statement in progress.
  void Release(const release_answer& what);
  void Fail(const fail_request& what);
  void Close(const failure& reason);
  /// Closes the connection with `reason` as its last message.
  void Dismiss(const failure& reason) { Close(reason); }
  /// Closes the connection at once.
  void Abort() { connection_.Close(); }
  /// Gives up a caller that has not finished its startup.
  void EndStartup();

  void OnBytes(std::span<const char> bytes) override;
  void OnRoom() override;
  void OnGone() override;

 private:
  using status = wire::ready_status;

  std::string& Output() { return connection_.Output(); }
  bool Running() const { return request_.value != 0; }

  // Messages; caller_session.cc.
  void Process();
  /// Limits the time of a message that has arrived half.
  void WatchMessage();
  bool TakeNext();
  void Take(const wire::frontend_message& message);
  void TakeStartup(const wire::startup& message);
  void Welcome();
  void TakeUnsupported(char type);
  void Refuse(wire::error_fields fields);
  void FailLocally(wire::error_fields fields);
  void SendReady() { wire::AppendReadyForQuery(Output(), status_); }

  // Statements; caller_statement.cc.
  void TakeQuery(const std::string& text);
  void TakeInFailed(const sql::classification& what, std::string_view text);
  bool TakeLocally(const sql::classification& what);
  bool TakeNeedless(statement_kind kind);
  void TakeSet(const sql::classification& what, bool own);
  void TakeShow(const std::string& name,
                const std::optional<std::string>& value);
  void Send(statement_kind kind, std::string_view text, bool atomic);
  void AppendEnd();
  void EndRequest();
  void Follow(bool failed);

  session_host& host_;
  caller_id caller_;
  wire::frontend_decoder decoder_;
  stream_connection connection_;
  caller_answer answer_;
  caller_settings settings_;
  std::optional<cancel_key> key_;
  std::string service_;
  std::string tenant_;
  status status_ = status::kIdle;
  bool left_ = false;
  bool skipping_ = false;    ///< Until Sync.
  bool processing_ = false;  ///< Process is on the stack.
  /// When the session last completed a message or had sent all answers.
  instant progress_{};
  /// When the first part of an incomplete message was seen; empty: none.
  std::optional<instant> half_since_;
  bool half_watched_ = false;  ///< A timer runs.
  bool attempted_ = false;     ///< It may have been sent to an endpoint.
  request_id request_;
  instant read_at_{};
  statement_kind kind_ = statement_kind::kRead;
  std::string text_;
  bool full_ = false;  ///< Rows were stopped for want of room.
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_CALLER_SESSION_H_
