// Reads a command's options with popt.

#ifndef MARJORAMSLIP_TOOLS_MARJORAMSLIP_ARGUMENTS_H_
#define MARJORAMSLIP_TOOLS_MARJORAMSLIP_ARGUMENTS_H_

#include <string>
#include <vector>

namespace marjoramslip::cli {

/// What a command ends with.
enum exit_code : int {
  kDone = 0,
  kRefused = 1,   ///< Refused, or a conflict: nothing was changed.
  kBadInput = 2,  ///< Bad input or usage.
  kUnknown = 3,   ///< What was asked for may have happened.
};

/// An option: a flag, or a text, or a text that may be given several times.
struct option {
  const char* name = nullptr;
  const char* help = nullptr;
  bool* flag = nullptr;
  std::string* text = nullptr;
  std::vector<std::string>* texts = nullptr;
};

/// A command's words without its options.
struct arguments {
  bool sound = false;  ///< False after a usage error, which has been told.
  std::vector<std::string> words;
};

/// Reads the options of `words`, the first of which is the command's name.
arguments ReadArguments(const std::vector<std::string>& words,
                        const std::vector<option>& options);

/// Tells of an error on the standard error stream; returns `code`.
int Complain(exit_code code, const std::string& message);

}  // namespace marjoramslip::cli

#endif  // MARJORAMSLIP_TOOLS_MARJORAMSLIP_ARGUMENTS_H_
