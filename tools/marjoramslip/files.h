// Reads the files that commands name, and tells of their faults.

#ifndef MARJORAMSLIP_TOOLS_MARJORAMSLIP_FILES_H_
#define MARJORAMSLIP_TOOLS_MARJORAMSLIP_FILES_H_

#include <optional>
#include <string>

#include "marjoramslip/catalogue/release_note.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::cli {

/// Reads a file whole; empty if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads and checks a release note; empty after its faults have been told.
std::optional<release_note> ReadNoteFile(const std::string& path);

/// Reads and checks settings; empty after their faults have been told.
std::optional<instance_settings> ReadSettingsFile(const std::string& path);

}  // namespace marjoramslip::cli

#endif  // MARJORAMSLIP_TOOLS_MARJORAMSLIP_FILES_H_
