// What a caller says of itself at startup.

#ifndef MARJORAMSLIP_LIB_POSTGRES_CALLER_STARTUP_H_
#define MARJORAMSLIP_LIB_POSTGRES_CALLER_STARTUP_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "caller_settings.h"
#include "marjoramslip/wire/messages.h"

namespace marjoramslip::shell {

/// Reads "-c name=value" and "--name=value" from startup options; a backslash
/// takes the next character as it stands. Empty if malformed.
std::optional<std::vector<std::pair<std::string, std::string>>> ParseOptions(
    std::string_view text);

/// Who the caller is, or why it is refused.
struct startup_outcome {
  std::string service;
  std::string tenant;
  caller_settings settings;
  std::optional<setting_refusal> refusal;
};

/// Reads the parameters of a startup; `instance` is this instance's name.
startup_outcome ReadStartup(const wire::startup& message,
                            const std::string& instance);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_CALLER_STARTUP_H_
