// Carries an endpoint's answer to the caller that asked, without copying it
// whole.

#ifndef MARJORAMSLIP_POSTGRES_ANSWER_SINK_H_
#define MARJORAMSLIP_POSTGRES_ANSWER_SINK_H_

#include <span>
#include <string_view>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/wire/messages.h"

namespace marjoramslip::shell {

/// Receives answers as they arrive. Rows go to the caller as they come, a few
/// together; from the first command tag or error on, everything is kept until
/// the core releases the answer or fails the request.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  /// The statement is about to be sent, for the first time or again. What an
  /// earlier attempt delivered is forgotten; if some of it has already left
  /// for the caller, the request ends with an error when it is released.
  virtual void OnAttempt(request_id request) = 0;
  virtual void OnColumns(request_id request,
                         std::span<const wire::column> columns) = 0;
  virtual void OnRow(request_id request, std::span<const wire::cell> cells) = 0;
  virtual void OnCommandTag(request_id request, std::string_view tag) = 0;
  virtual void OnServerError(request_id request,
                             const wire::error_fields& fields) = 0;
  virtual void OnNotice(request_id request,
                        const wire::error_fields& fields) = 0;

  /// False while the caller's buffer is full; nothing more may be delivered
  /// until `resume` of the statement's link is called.
  virtual bool Accepting(request_id request) const = 0;
};

/// Gives the text of a caller's statement to whoever sends it.
class statement_source {
 public:
  virtual ~statement_source() = default;

  /// Empty if the caller has gone.
  virtual std::string_view TextOf(request_id request) const = 0;
};

/// Told when a caller's buffer has room again.
class flow_listener {
 public:
  virtual ~flow_listener() = default;
  virtual void OnCallerReady(request_id request) = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_POSTGRES_ANSWER_SINK_H_
