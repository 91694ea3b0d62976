// A connection to an endpoint that runs callers' statements.

#ifndef MARJORAMSLIP_LIB_LINES_LINE_LINK_H_
#define MARJORAMSLIP_LIB_LINES_LINE_LINK_H_

#include <string>
#include <string_view>

#include "answer_matcher.h"
#include "endpoint_socket.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/lines/line_front.h"
#include "marjoramslip/lines/session_state.h"
#include "marjoramslip/runtime/endpoint_links.h"

namespace marjoramslip::lines {

/// Owns links and releases them once they have ended.
class link_owner {
 public:
  virtual ~link_owner() = default;
  /// Called by a link as its last action; the link is destroyed later.
  virtual void OnLinkEnded(connection_id connection) = 0;
};

/// Dependencies shared by all links.
struct link_context {
  shell::event_loop& loop;
  const line_codec& codec;
  statement_exchange& exchange;
  link_owner& owner;
  shell::answer_observer& observer;
};

/// Posts connection_opened or connection_refused; after connection_opened,
/// statement_answered for each statement and connection_lost at most once.
class line_link final : private endpoint_listener {
 public:
  line_link(const link_context& context, connection_id id, endpoint_id endpoint)
      : context_(context),
        id_(id),
        endpoint_(endpoint),
        socket_(context.loop, context.codec, *this) {}

  /// `client` is the name in which the connection is opened: that of an account
  /// or of the instance.
  void Open(const endpoint_target& target, std::string_view client);
  /// Reports connection_refused if the connection is not open yet. Returns true
  /// if the endpoint accepted the connection and may still answer: to be called
  /// again with `final`.
  bool TimeOut(bool final);
  void Send(const send_statement& command);
  /// Closes the connection without posting an event.
  void Close() { socket_.Close(); }

 private:
  // endpoint_listener.
  void OnOpen(const ready_line& ready) override;
  void OnRefused(bool full, std::string_view reason) override;
  void OnLine(const endpoint_line& line) override;
  void OnLost() override;

  void Handle(const row_line& row);
  void Handle(const done_line& done);
  void Handle(const error_line& error);
  void Handle(const ready_line& ready);
  void Handle(const malformed_line& line);
  void Apply(answer_use use, const ready_line& ready);
  /// Takes the answer as that of the statement, unless it has to be kept until
  /// markers are answered.
  void Take(const ready_line& ready);
  void DiscardRows();
  void SendMarkers();
  void Report(shell::answer_mismatch mismatch, bool connection_closed);
  /// Gives up the connection because of an answer that does not fit.
  void Reject(shell::answer_mismatch mismatch);
  void FailConnection();
  void Finish();

  /// The answer that is being received.
  struct incoming_answer {
    bool begun = false;
    bool began_unrequested = false;
    bool has_rows = false;
    answer_end end = answer_end::kNone;
    std::string text;  ///< The signature, or the error line unchanged.
    endpoint_refusal reason = endpoint_refusal::kFailed;
  };

  link_context context_;
  connection_id id_;
  endpoint_id endpoint_;
  endpoint_socket socket_;
  connection_session_state memory_;
  answer_matcher matcher_;
  incoming_answer incoming_;

  // The statement in progress.
  request_id request_;
  bool sent_ = false;
  bool rows_passed_on_ = false;
  // Its answer, final or kept.
  answer_outcome outcome_ = answer_outcome::kSucceeded;
  std::string end_text_;
  ready_line ready_;
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_LINE_LINK_H_
