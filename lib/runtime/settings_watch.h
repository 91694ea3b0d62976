// Notices a changed settings file, with and without a signal.

#ifndef MARJORAMSLIP_LIB_RUNTIME_SETTINGS_WATCH_H_
#define MARJORAMSLIP_LIB_RUNTIME_SETTINGS_WATCH_H_

#include <functional>
#include <memory>
#include <string>

#include "log_writer.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// Reads the file on request and now and then. A changed file is checked
/// whole: with a fault in it the settings in force stay. Lives on the loop's
/// thread.
class settings_watch {
 public:
  /// An empty path: there is no file, and nothing is watched.
  settings_watch(event_loop& loop, log_writer& log, std::string path,
                 std::function<void(const instance_settings&)> on_change);

  /// Reads the file now; `why` goes to the log.
  void Reload(const std::string& why);

 private:
  void LookLater();
  /// The file's text; empty if it cannot be read, which is logged.
  std::string Read();

  event_loop& loop_;
  log_writer& log_;
  std::string path_;
  std::function<void(const instance_settings&)> on_change_;
  std::string text_;
  /// Expires with the watch; timers hold it weakly.
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_SETTINGS_WATCH_H_
