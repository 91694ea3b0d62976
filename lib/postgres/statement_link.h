// A connection to an endpoint that runs callers' statements.

#ifndef MARJORAMSLIP_LIB_POSTGRES_STATEMENT_LINK_H_
#define MARJORAMSLIP_LIB_POSTGRES_STATEMENT_LINK_H_

#include <optional>
#include <string>
#include <vector>

#include "idempotent_script.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/postgres/answer_sink.h"
#include "marjoramslip/runtime/event_loop.h"
#include "pq_connection.h"

namespace marjoramslip::shell {

class statement_link;

/// Forgets a link that has ended.
class link_owner {
 public:
  virtual ~link_owner() = default;
  /// Called last by a link that has closed; it is destroyed later.
  virtual void OnLinkEnded(connection_id connection) = 0;
};

/// What all links use.
struct link_context {
  event_loop& loop;
  answer_sink& sink;
  statement_source& source;
  link_owner& owner;
};

/// Posts connection_opened or connection_refused, then statement_answered for
/// each statement, or connection_lost once.
class statement_link final : public pq_listener {
 public:
  statement_link(const link_context& context, connection_id id)
      : context_(context), id_(id), connection_(context.loop, *this) {}

  void Open(const pq_target& target);

  /// Refuses the connection if it is not open yet.
  void TimeOut();

  void Send(const send_statement& what);

  /// Goes on after a pause for the caller's buffer.
  void Resume();

  /// Ends it without an event.
  void Close() { connection_.Close(); }

  /// The request in progress; 0 if there is none.
  request_id Request() const { return request_; }

  /// For a cancel request. It may arrive late: the connection then serves its
  /// transaction to the end, but no other caller.
  PGcancel* TakeCancelHandle();

  void OnConnected() override;
  void OnConnectFailed(const std::string& reason) override;
  void OnInput() override;
  void OnLost() override;
  void OnNotice(const wire::error_fields& fields) override;

 private:
  void PrepareScript(const std::string& key);
  void StartQuery(const std::string& text);
  bool AtCallersStatement() const { return !script_ || script_->AtStatement(); }
  bool Pump();
  bool Take(const PGresult* value);
  void TakeRows(const PGresult* value);
  void TellProgress(bool held);
  void TakeTag(const std::string& tag);
  bool TakeError(const PGresult* value);
  void FlushTag();
  void FinishQuery();
  void Complete();
  answer_outcome DeliverEnd();
  answer_outcome DeliverError();
  void Refuse(const std::string& reason);
  void Lose();

  link_context context_;
  connection_id id_;
  pq_connection connection_;
  bool open_ = false;
  bool cancelled_ = false;  ///< A cancel request may be on its way.

  // The statement in progress.
  request_id request_;
  std::string text_;
  std::optional<idempotent_script> script_;
  step_result answer_;
  std::vector<wire::cell> cells_;  ///< Of one row; kept for its memory.
  wire::error_fields error_;
  /// A command tag that is delivered once it is certain.
  std::optional<std::string> tag_;
  /// The tag of the prefix that makes a read read-only is still to come.
  bool prefixed_ = false;
  bool columns_sent_ = false;
  bool forwarded_ = false;
  instant told_at_{};
  bool told_held_ = false;
  bool sent_ = false;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_STATEMENT_LINK_H_
