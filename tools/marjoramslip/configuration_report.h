// What a check of a configuration found, as text and as JSON.

#ifndef MARJORAMSLIP_TOOLS_MARJORAMSLIP_CONFIGURATION_REPORT_H_
#define MARJORAMSLIP_TOOLS_MARJORAMSLIP_CONFIGURATION_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "marjoramslip/catalogue/differences.h"
#include "marjoramslip/json/document.h"

namespace marjoramslip::cli {

/// The result of a check. No text in it contains a key of an account.
struct configuration_report {
  std::string file;
  std::string form;  ///< "release note", "configuration", or empty: unknown.
  std::vector<json::problem> findings;
  /// The file or address of the version in force; empty if none was named.
  std::string in_force;
  /// Empty if there was none to compare with, or one of them cannot be used.
  std::optional<std::vector<catalogue_difference>> differences;
};

/// Returns the report in lines, errors first.
std::string FormatText(const configuration_report& report);
/// Returns the report as one JSON object.
std::string FormatJson(const configuration_report& report);

/// Returns the exit code: kDone, 1 with warnings, or 2 with errors.
int ExitCodeOf(const configuration_report& report);

}  // namespace marjoramslip::cli

#endif  // MARJORAMSLIP_TOOLS_MARJORAMSLIP_CONFIGURATION_REPORT_H_
