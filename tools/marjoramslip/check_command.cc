// Checks settings and release notes.

#include <iostream>

#include "arguments.h"
#include "commands.h"
#include "files.h"

namespace marjoramslip::cli {

int RunCheck(const command_words& words) {
  std::string config;
  std::string note;
  const arguments read =
      ReadArguments(words, {{.name = "config", .help = "FILE", .text = &config},
                            {.name = "note", .help = "FILE", .text = &note}});
  if (!read.sound) {
    return kBadInput;
  }
  if (config.empty() == note.empty() || !read.words.empty()) {
    return Complain(kBadInput, "check needs either --config or --note");
  }
  const bool sound = note.empty() ? ReadSettingsFile(config).has_value()
                                  : ReadNoteFile(note).has_value();
  if (!sound) {
    return kBadInput;
  }
  std::cout << (note.empty() ? config : note) << " is sound\n";
  return kDone;
}

}  // namespace marjoramslip::cli
