// Reads the files that commands name, and tells of their faults.

#include "files.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "arguments.h"

namespace marjoramslip::cli {
namespace {

/// One line a fault: "FILE: path: what is wrong".
template <typename faults>
void Tell(const std::string& file, const faults& found) {
  for (const auto& one : found) {
    std::cerr << file << ": " << one.path << (one.path.empty() ? "" : ": ")
              << one.message << "\n";
  }
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return std::nullopt;
  }
  return text.str();
}

std::optional<release_note> ReadNoteFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    Complain(kBadInput, "cannot read " + path);
    return std::nullopt;
  }
  checked_note checked = ParseNote(*text);
  Tell(path, checked.faults);
  if (!checked.faults.empty()) {
    return std::nullopt;
  }
  return std::move(checked.value);
}

std::optional<instance_settings> ReadSettingsFile(const std::string& path) {
  checked_settings checked = LoadSettings(path);
  Tell(path, checked.faults);
  if (!checked.faults.empty()) {
    return std::nullopt;
  }
  return std::move(checked.value);
}

}  // namespace marjoramslip::cli
