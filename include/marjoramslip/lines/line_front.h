// Front end for callers that use a line protocol.

#ifndef MARJORAMSLIP_LINES_LINE_FRONT_H_
#define MARJORAMSLIP_LINES_LINE_FRONT_H_

#include <memory>
#include <string>
#include <string_view>

#include "marjoramslip/base/result.h"
#include "marjoramslip/lines/line_codec.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::lines {

struct session_state;
struct prepared_statement;

/// A statement to send to an endpoint. Views and pointers are valid until
/// control returns to the event loop.
struct outgoing_statement {
  std::string_view id;
  statement_kind kind = statement_kind::kRead;
  std::string_view text;
  /// The prepared statement to run with `arguments`; if null, `text` is sent.
  const prepared_statement* prepared = nullptr;
  std::string_view arguments;
  const session_state* session = nullptr;
};

/// Gives links the statements to send and takes the answers from them.
class statement_exchange {
 public:
  virtual ~statement_exchange() = default;

  /// Fills in `statement`. Returns false if the caller has disconnected.
  virtual bool FindStatement(request_id request,
                             outgoing_statement& statement) = 0;
  /// Called when the statement is about to be sent. Discards the partial answer
  /// of an earlier attempt.
  virtual void OnAttempt(request_id request) = 0;
  virtual void OnRow(request_id request, std::string_view line) = 0;
  /// The rows so far belong to another answer.
  virtual void DiscardRows(request_id request) = 0;
  /// Ends a successful answer.
  virtual void OnDone(request_id request, std::string_view signature,
                      transaction_status status) = 0;
  /// Ends an answer with an error that the endpoint reports.
  virtual void OnError(request_id request, std::string_view line,
                       transaction_status status) = 0;
};

/// Caller front whose answers come from links.
class line_front : public shell::caller_front, public statement_exchange {};

/// Starts to listen for callers. Returns kUnavailable if the address cannot be
/// bound. `loop` and `codec` must outlive the front.
result<std::unique_ptr<line_front>> MakeLineFront(
    const instance_settings& settings, shell::event_loop& loop,
    const line_codec& codec);

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LINES_LINE_FRONT_H_
