// Reads a command's options with popt.

#include "arguments.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace marjoramslip::cli {
namespace {

struct context_deleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_ptr = std::unique_ptr<poptContext_s, context_deleter>;

/// popt's table; an option's value is its index plus one.
std::vector<poptOption> MakeTable(const std::vector<option>& options) {
  std::vector<poptOption> table;
  table.reserve(options.size() + 1);
  for (const option& one : options) {
    const unsigned kind = one.flag != nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back({one.name, '\0', kind, nullptr,
                     static_cast<int>(table.size()) + 1, one.help, nullptr});
  }
  table.push_back(POPT_TABLEEND);
  return table;
}

void Store(const option& target, poptContext context) {
  if (target.flag != nullptr) {
    *target.flag = true;
    return;
  }
  char* const value = poptGetOptArg(context);
  const std::string text = value == nullptr ? "" : value;
  std::free(value);  // NOLINT: popt allocates it with malloc.
  if (target.text != nullptr) {
    *target.text = text;
  } else {
    target.texts->push_back(text);
  }
}

}  // namespace

arguments ReadArguments(const std::vector<std::string>& words,
                        const std::vector<option>& options) {
  std::vector<const char*> raw;
  raw.reserve(words.size());
  for (const std::string& word : words) {
    raw.push_back(word.c_str());
  }
  const std::vector<poptOption> table = MakeTable(options);
  const context_ptr context(poptGetContext("marjoramslip",
                                           static_cast<int>(raw.size()),
                                           raw.data(), table.data(), 0));
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    Store(options[static_cast<std::size_t>(code) - 1], context.get());
  }
  if (code < -1) {
    Complain(kBadInput, std::string(poptBadOption(context.get(), 0)) + ": " +
                            poptStrerror(code));
    return {};
  }
  arguments read{true, {}};
  while (const char* word = poptGetArg(context.get())) {
    read.words.emplace_back(word);
  }
  return read;
}

int Complain(exit_code code, const std::string& message) {
  std::cerr << "marjoramslip: " << message << "\n";
  return code;
}

}  // namespace marjoramslip::cli
