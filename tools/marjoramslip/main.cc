// Entry point of marjoramslip: picks the command.

#include <algorithm>
#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "arguments.h"
#include "commands.h"

namespace {

using marjoramslip::cli::command_words;
using command = int (*)(const command_words&);

constexpr std::string_view kVersion = MARJORAMSLIP_VERSION;

int Run(const command_words& words) {
  namespace cli = marjoramslip::cli;
  static const std::map<std::string, command, std::less<>> kCommands = {
      {"serve", cli::RunServe},
      {"check", cli::RunCheck},
      {"check-configuration", cli::RunCheckConfiguration},
      {"note", cli::RunNote},
      {"status", cli::RunStatus},
      {"promote", cli::RunPromote}};
  const std::string name = words.empty() ? "" : words[0];
  if (name == "--version") {
    std::cout << "marjoramslip " << kVersion << "\n";
    return cli::kDone;
  }
  const auto found = kCommands.find(name);
  const bool wants_help =
      name == "help" ||
      std::find(words.begin(), words.end(), "--help") != words.end();
  if (wants_help) {
    const bool named = name == "help" && words.size() > 1;
    std::cout << cli::HelpFor(named ? words[1] : name);
    return cli::kDone;
  }
  if (found == kCommands.end()) {
    std::cerr << cli::HelpFor("");
    return cli::kBadInput;
  }
  return found->second(words);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run(command_words(argv + 1, argv + argc));
  } catch (const std::exception& caught) {
    std::cerr << "marjoramslip: " << caught.what() << "\n";
    return marjoramslip::cli::kUnknown;
  }
}
