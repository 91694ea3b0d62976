// Session values and prepared statements of a caller, which are carried over
// from one endpoint connection to the next.

#ifndef MARJORAMSLIP_LINES_SESSION_STATE_H_
#define MARJORAMSLIP_LINES_SESSION_STATE_H_

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "marjoramslip/lines/line_codec.h"

namespace marjoramslip::lines {

/// Session values by name, of a session or of a connection.
using value_map = std::map<std::string, std::string, std::less<>>;

/// A statement that a caller has prepared.
struct prepared_statement {
  bool writes = false;
  std::string shape;

  /// The name of the statement on connections to endpoints. Statements of the
  /// same shape and kind share it across callers.
  std::string SharedName() const;
};

/// The values and prepared statements of one caller's session.
struct session_state {
  value_map values;
  std::map<std::string, prepared_statement, std::less<>> statements;
};

/// Tracks the session values and prepared statements that are present on one
/// connection to an endpoint.
class connection_session_state {
 public:
  /// Appends the statements that give the connection the values of the session
  /// and, unless `needed` is null or already prepared, prepare it. Returns the
  /// number of statements appended; the endpoint answers each of them.
  int ApplySession(const session_state& session,
                   const prepared_statement* needed, const line_codec& codec,
                   std::string& out);

  /// Called when the endpoint reports that a prepared statement is missing.
  void ClearPreparedStatements() { prepared_.clear(); }

 private:
  value_map values_;
  std::set<std::string, std::less<>> prepared_;
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LINES_SESSION_STATE_H_
