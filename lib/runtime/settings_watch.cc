// Reads, compares, checks and hands on.

#include "settings_watch.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace marjoramslip::shell {
namespace {

/// How soon a change without a signal is noticed.
constexpr duration kLookInterval = std::chrono::seconds(2);

}  // namespace

settings_watch::settings_watch(
    event_loop& loop, log_writer& log, std::string path,
    std::function<void(const instance_settings&)> on_change)
    : loop_(loop),
      log_(log),
      path_(std::move(path)),
      on_change_(std::move(on_change)) {
  if (!path_.empty()) {
    text_ = Read();
    LookLater();
  }
}

std::string settings_watch::Read() {
  std::ifstream file(path_);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    log_.Write(log_level::kError, "settings.unreadable", path_);
    return {};
  }
  return text.str();
}

void settings_watch::LookLater() {
  loop_.After(kLookInterval, [this, alive = std::weak_ptr<int>(lifetime_)] {
    if (!alive.expired()) {
      Reload("the file changed");
      // Lines that were kept go out also if no further one is written.
      log_.Flush();
      LookLater();
    }
  });
}

void settings_watch::Reload(const std::string& why) {
  if (path_.empty()) {
    return;
  }
  std::string text = Read();
  if (text.empty() || text == text_) {
    return;
  }
  text_ = std::move(text);
  const checked_settings checked = ParseSettings(text_);
  for (const fault& one : checked.faults) {
    log_.Write(log_level::kError, "settings.fault",
               one.path + ": " + one.message);
  }
  if (!checked.faults.empty()) {
    log_.Write(log_level::kError, "settings.kept",
               "the file has faults; the settings in force stay");
    return;
  }
  log_.Write(log_level::kInfo, "settings.reloaded", why);
  on_change_(checked.value);
}

}  // namespace marjoramslip::shell
