// The commands of the program.

#ifndef MARJORAMSLIP_TOOLS_MARJORAMSLIP_COMMANDS_H_
#define MARJORAMSLIP_TOOLS_MARJORAMSLIP_COMMANDS_H_

#include <string>
#include <string_view>
#include <vector>

namespace marjoramslip::cli {

/// The words of a command line from the command's name on.
using command_words = std::vector<std::string>;

// Each returns the exit code.
int RunServe(const command_words& words);
int RunCheck(const command_words& words);
int RunCheckConfiguration(const command_words& words);
int RunNote(const command_words& words);
int RunStatus(const command_words& words);
int RunPromote(const command_words& words);

/// Help for one command, or for the program if there is no such command.
std::string_view HelpFor(std::string_view command);

}  // namespace marjoramslip::cli

#endif  // MARJORAMSLIP_TOOLS_MARJORAMSLIP_COMMANDS_H_
