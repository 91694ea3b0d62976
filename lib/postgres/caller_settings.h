// The settings of one caller's session.

#ifndef MARJORAMSLIP_LIB_POSTGRES_CALLER_SETTINGS_H_
#define MARJORAMSLIP_LIB_POSTGRES_CALLER_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/core/statement.h"

namespace marjoramslip::shell {

/// Why a setting is refused.
struct setting_refusal {
  std::string sqlstate;
  std::string message;
  std::string hint;
};

/// Empty: done.
using setting_outcome = std::optional<setting_refusal>;

/// Reads "500ms", "2s", "1min", "1h" or "20us"; a number alone counts
/// milliseconds. Empty if malformed or above a day.
std::optional<duration> ParseLength(std::string_view text);

/// `text` in lower case, for names of settings.
std::string LowerCase(std::string_view text);

/// Sets a name that a caller chose: at most 200 bytes without control
/// characters.
setting_outcome SetName(std::string& target, std::string_view value);

/// Settings that begin with `marjoramslip.`, and those of PostgreSQL that can
/// be accepted because they change nothing here.
class caller_settings {
 public:
  /// What the session is and cannot change.
  void SetFixed(std::string tenant, std::string instance);

  /// Sets one of our own; `name` without prefix, an empty value resets.
  setting_outcome SetOwn(std::string_view name, std::string_view value);
  /// The value of one of our own; empty if there is no such setting.
  std::optional<std::string> ShowOwn(std::string_view name) const;

  /// Sets one of PostgreSQL's; an empty value resets.
  setting_outcome SetOther(std::string_view name, std::string_view value);
  std::optional<std::string> ShowOther(std::string_view name) const;

  /// Back to the defaults, but for what is fixed.
  void ResetAll();

  /// Memory of the values, in bytes.
  std::size_t Bytes() const;

  /// Notes the session's floor; true if it is new to the caller.
  bool NoteFloor(log_point floor);

  /// The settings of a statement. With `takes_key`, the request id is used up
  /// by it.
  statement_settings ForStatement(bool takes_key);

 private:
  setting_outcome SetToken(std::string_view value);
  setting_outcome SetStaleness(std::string_view value);

  std::string tenant_;
  std::string instance_;
  std::string session_;
  std::string staleness_text_;
  std::string request_id_;
  std::optional<log_point> token_;
  std::optional<duration> max_staleness_;
  log_point floor_;
  std::map<std::string, std::string, std::less<>> others_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_CALLER_SETTINGS_H_
