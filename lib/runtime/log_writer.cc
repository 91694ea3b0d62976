// Formats the lines here and leaves the levels to log4cxx. Its appenders wait
// for the reader of the output, or for a thread that does.

#include "log_writer.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Object.h>
#include <Poco/Timestamp.h>
#include <log4cxx/level.h>
#include <unistd.h>

#include <sstream>
#include <utility>

namespace marjoramslip::shell {

namespace {

constexpr const char* kTimeFormat = "%Y-%m-%dT%H:%M:%s";
constexpr const char* kLoggerName = "marjoramslip";

std::string TimeNow() {
  return Poco::DateTimeFormatter::format(Poco::Timestamp(), kTimeFormat) + "Z";
}

std::string_view NameOf(log_level level) {
  switch (level) {
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "info";
}

std::string RequestName(const log_line& line, std::string_view given) {
  return given.empty() ? std::to_string(line.request.value)
                       : std::string(given);
}

log4cxx::LevelPtr LevelOf(log_level level) {
  switch (level) {
    case log_level::kInfo:
      return log4cxx::Level::getInfo();
    case log_level::kWarning:
      return log4cxx::Level::getWarn();
    case log_level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LevelPtr ThresholdOf(std::string_view name) {
  if (name == "error") {
    return log4cxx::Level::getError();
  }
  if (name == "warning" || name == "warn") {
    return log4cxx::Level::getWarn();
  }
  if (name == "debug") {
    return log4cxx::Level::getDebug();
  }
  return log4cxx::Level::getInfo();
}

/// A line feed inside a text would forge a line of its own.
std::string OneLine(std::string text) {
  for (char& c : text) {
    if (static_cast<unsigned char>(c) < ' ') {
      c = ' ';
    }
  }
  return text;
}

}  // namespace

std::string FormatTextLine(std::string_view time, std::string_view instance,
                           const log_line& line, const name_table& names,
                           std::string_view request) {
  std::ostringstream out;
  out << time << ' ' << NameOf(line.level) << ' ' << line.event
      << " instance=" << instance;
  if (line.group != group_id{}) {
    out << " group=" << names.NameOf(line.group);
  }
  if (line.endpoint != endpoint_id{}) {
    out << " endpoint=" << names.NameOf(line.endpoint);
  }
  if (line.term != 0) {
    out << " term=" << line.term;
  }
  if (line.request != request_id{} || !request.empty()) {
    out << " request=" << RequestName(line, request);
  }
  if (!line.text.empty()) {
    out << ": " << line.text;
  }
  return OneLine(out.str());
}

std::string FormatJsonLine(std::string_view time, std::string_view instance,
                           const log_line& line, const name_table& names,
                           std::string_view request) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("time", std::string(time));
  object.set("level", std::string(NameOf(line.level)));
  object.set("event", line.event);
  object.set("instance", std::string(instance));
  if (line.group != group_id{}) {
    object.set("group", names.NameOf(line.group));
  }
  if (line.endpoint != endpoint_id{}) {
    object.set("endpoint", names.NameOf(line.endpoint));
  }
  if (line.term != 0) {
    object.set("term", line.term);
  }
  if (line.request != request_id{} || !request.empty()) {
    object.set("request", RequestName(line, request));
  }
  if (!line.text.empty()) {
    object.set("text", line.text);
  }
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

log_writer::log_writer(const instance_settings& settings)
    : instance_(settings.name),
      format_(settings.logs),
      logger_(log4cxx::Logger::getLogger(kLoggerName)),
      output_(STDOUT_FILENO) {
  logger_->setLevel(ThresholdOf(settings.log_level));
}

void log_writer::SetLevel(const std::string& level) {
  logger_->setLevel(ThresholdOf(level));
}

void log_writer::Write(const log_line& line, const name_table& names,
                       std::string_view request) {
  const log4cxx::LevelPtr level = LevelOf(line.level);
  if (!logger_->isEnabledFor(level)) {
    return;
  }
  if (output_.Write(Format(line, names, request))) {
    ReportDropped();
  }
}

std::string log_writer::Format(const log_line& line, const name_table& names,
                               std::string_view request) const {
  const std::string time = TimeNow();
  return format_ == log_format::kJson
             ? FormatJsonLine(time, instance_, line, names, request)
             : FormatTextLine(time, instance_, line, names, request);
}

void log_writer::ReportDropped() {
  const std::uint64_t dropped = output_.TakeDropped();
  if (dropped == 0) {
    return;
  }
  log_line line;
  line.level = log_level::kWarning;
  line.event = "log.dropped";
  line.text = std::to_string(dropped) +
              " lines before the last one were dropped: nobody read the output";
  output_.Write(Format(line, name_table(), {}));
}

void log_writer::Write(log_level level, std::string event, std::string text) {
  log_line line;
  line.level = level;
  line.event = std::move(event);
  line.text = std::move(text);
  Write(line, name_table());
}

}  // namespace marjoramslip::shell
