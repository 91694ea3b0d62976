// Interface that parses and formats the messages of a line protocol.

#ifndef MARJORAMSLIP_LINES_LINE_CODEC_H_
#define MARJORAMSLIP_LINES_LINE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "marjoramslip/core/endpoint_state.h"
#include "marjoramslip/lines/messages.h"

namespace marjoramslip::lines {

/// Parses and formats lines. Implementations have no state. Parsed lines come
/// without their line ends; Append functions add the line end.
class line_codec {
 public:
  virtual ~line_codec() = default;

  virtual caller_line ParseCaller(std::string_view line) const = 0;
  virtual endpoint_line ParseEndpoint(std::string_view line) const = 0;
  /// Returns the state in the row that answers AppendStatus, AppendHold,
  /// AppendResume and AppendStepDown; empty if the row is malformed.
  virtual std::optional<endpoint_state> ParseState(
      std::string_view row) const = 0;

  // Messages to callers.
  virtual void AppendReady(transaction_status status,
                           std::string& out) const = 0;
  /// An empty `signature` means that the instance answers the statement itself.
  virtual void AppendDone(std::string_view signature,
                          std::string& out) const = 0;
  virtual void AppendError(caller_refusal reason, std::string_view text,
                           std::string& out) const = 0;
  /// Appends a row or an error of an endpoint unchanged.
  virtual void AppendUnchanged(std::string_view line,
                               std::string& out) const = 0;

  // Messages to endpoints.
  /// `client` is the name of the account in whose name the connection is
  /// opened, or that of this instance; `endpoint` is the identity expected at
  /// the address.
  virtual void AppendStartup(std::string_view service, std::string_view client,
                             std::string_view endpoint,
                             std::string& out) const = 0;
  /// Appends a caller's statement. Unless `after` is the beginning of the log,
  /// the endpoint runs it only if its log contains `after`.
  virtual void AppendStatement(std::string_view id, log_point after,
                               std::string_view text,
                               std::string& out) const = 0;
  /// Runs a prepared statement by its name on this connection. `after` is as
  /// for AppendStatement.
  virtual void AppendExecute(std::string_view id, log_point after,
                             std::string_view name, std::string_view arguments,
                             std::string& out) const = 0;

  // Statements that the instance issues itself.
  /// Clears session values and prepared statements.
  virtual void AppendReset(std::string& out) const = 0;
  virtual void AppendSet(std::string_view name, std::string_view value,
                         std::string& out) const = 0;
  virtual void AppendPrepare(std::string_view name, bool writes,
                             std::string_view shape,
                             std::string& out) const = 0;
  /// Appends statements that change nothing and are answered with unsigned
  /// successes without rows. Their answers mark a position in the stream of
  /// answers. Returns the number of statements.
  virtual int AppendMarkers(std::string& out) const = 0;
  virtual void AppendStatus(std::string& out) const = 0;
  /// Stops a replica from receiving records of terms below `term`.
  virtual void AppendHold(term_number term, std::string& out) const = 0;
  /// Lets a replica receive records again after AppendHold.
  virtual void AppendResume(std::string& out) const = 0;
  /// Demotes a primary of a term below `term` to a replica.
  virtual void AppendStepDown(term_number term, std::string& out) const = 0;
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LINES_LINE_CODEC_H_
