// Checks what is to be put in force before it is.

#include <iostream>

#include "arguments.h"
#include "commands.h"
#include "configuration_checks.h"
#include "configuration_report.h"
#include "files.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::cli {

int RunCheckConfiguration(const command_words& words) {
  in_force_source in_force{.place = "",
                           .prefix = instance_settings().key_prefix};
  bool json = false;
  const arguments read = ReadArguments(
      words, {{.name = "in-force", .help = "FILE|URL", .text = &in_force.place},
              {.name = "prefix", .help = "PREFIX", .text = &in_force.prefix},
              {.name = "json", .help = "as JSON", .flag = &json}});
  if (!read.sound) {
    return kBadInput;
  }
  if (read.words.size() != 1) {
    return Complain(kBadInput, "check-configuration needs one FILE");
  }
  const std::string& file = read.words[0];
  const auto text = ReadFile(file);
  if (!text) {
    return Complain(kBadInput, "cannot read " + file);
  }
  const configuration_report report = CheckDocument(file, *text, in_force);
  std::cout << (json ? FormatJson(report) : FormatText(report));
  return ExitCodeOf(report);
}

}  // namespace marjoramslip::cli
