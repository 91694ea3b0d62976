// Checks release notes and the platform's configurations for operators.

#ifndef MARJORAMSLIP_TOOLS_MARJORAMSLIP_CONFIGURATION_CHECKS_H_
#define MARJORAMSLIP_TOOLS_MARJORAMSLIP_CONFIGURATION_CHECKS_H_

#include <string>
#include <string_view>

#include "configuration_report.h"

namespace marjoramslip::cli {

/// Where the version in force is.
struct in_force_source {
  std::string place;   ///< A file, or "http://host:port"; empty: none.
  std::string prefix;  ///< Of the release notes' keys in the store.
};

/// Checks a document of either form, and compares it with the version in force
/// if there is one. What cannot be read is an error in the report.
configuration_report CheckDocument(const std::string& file,
                                   std::string_view text,
                                   const in_force_source& in_force);

}  // namespace marjoramslip::cli

#endif  // MARJORAMSLIP_TOOLS_MARJORAMSLIP_CONFIGURATION_CHECKS_H_
