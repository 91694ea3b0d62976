// The instance's log on standard output: one line an event.

#ifndef MARJORAMSLIP_LIB_RUNTIME_LOG_WRITER_H_
#define MARJORAMSLIP_LIB_RUNTIME_LOG_WRITER_H_

#include <log4cxx/logger.h>

#include <string>
#include <string_view>

#include "line_output.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/settings/settings.h"
#include "name_table.h"

namespace marjoramslip::shell {

/// A log line as text: fields that are empty or 0 are left out. `time` is
/// already formatted.
/// `request` is what the caller calls the request; empty: its number is given.
std::string FormatTextLine(std::string_view time, std::string_view instance,
                           const log_line& line, const name_table& names,
                           std::string_view request = {});

/// The same as one JSON object.
std::string FormatJsonLine(std::string_view time, std::string_view instance,
                           const log_line& line, const name_table& names,
                           std::string_view request = {});

/// Writes the lines that log4cxx's levels let through. Never waits for whoever
/// reads them: lines are dropped instead, and counted by a line `log.dropped`.
class log_writer {
 public:
  explicit log_writer(const instance_settings& settings);

  /// Lines below the level are dropped from now on.
  void SetLevel(const std::string& level);

  void Write(const log_line& line, const name_table& names,
             std::string_view request = {});

  /// A line of the shell itself.
  void Write(log_level level, std::string event, std::string text);

  /// Writes lines that were kept for the reader.
  void Flush() { output_.Flush(); }

 private:
  std::string Format(const log_line& line, const name_table& names,
                     std::string_view request) const;
  void ReportDropped();

  std::string instance_;
  log_format format_;
  log4cxx::LoggerPtr logger_;
  line_output output_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_LOG_WRITER_H_
