// Reads startup parameters.

#include "caller_startup.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace marjoramslip::shell {
namespace {

constexpr std::string_view kOwnPrefix = "marjoramslip.";
constexpr std::string_view kExtensionPrefix = "_pq_.";

using parameter = std::pair<std::string, std::string>;

setting_refusal Malformed(std::string message) {
  return {"22023", std::move(message), "Write -c name=value or --name=value."};
}

/// Splits at white space; a backslash takes the next character as it stands.
std::vector<std::string> SplitOptions(std::string_view text) {
  std::vector<std::string> words;
  bool within = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const std::string_view space = " \t\r\n";
    if (space.find(text[i]) != std::string_view::npos) {
      within = false;
      continue;
    }
    if (!within) {
      words.emplace_back();
      within = true;
    }
    if (text[i] == '\\' && i + 1 < text.size()) {
      ++i;
    }
    words.back().push_back(text[i]);
  }
  return words;
}

/// Applies one parameter that is not about who the caller is.
setting_outcome Apply(startup_outcome& out, const parameter& what) {
  const std::string name = LowerCase(what.first);
  const std::string& value = what.second;
  if (!name.starts_with(kOwnPrefix)) {
    return out.settings.SetOther(name, value);
  }
  const std::string own = name.substr(kOwnPrefix.size());
  if (own == "tenant") {
    return SetName(out.tenant, value);
  }
  return out.settings.SetOwn(own, value);
}

bool IsAboutConnection(std::string_view name) {
  return name == "user" || name == "database" || name == "options" ||
         name.starts_with(kExtensionPrefix);
}

std::string Find(const wire::startup& message, std::string_view name) {
  const auto found = message.parameters.find(name);
  return found == message.parameters.end() ? std::string() : found->second;
}

}  // namespace

std::optional<std::vector<parameter>> ParseOptions(std::string_view text) {
  std::vector<parameter> out;
  const std::vector<std::string> words = SplitOptions(text);
  for (std::size_t i = 0; i < words.size(); ++i) {
    std::string word = words[i];
    const bool joined = word.starts_with("-c") && word.size() > 2;
    if (word == "-c" && i + 1 < words.size()) {
      word = words[++i];
    } else if (joined || word.starts_with("--")) {
      word.erase(0, 2);
    } else {
      return std::nullopt;
    }
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos || equals == 0) {
      return std::nullopt;
    }
    std::string name = word.substr(0, equals);
    std::replace(name.begin(), name.end(), '-', '_');
    out.emplace_back(std::move(name), word.substr(equals + 1));
  }
  return out;
}

startup_outcome ReadStartup(const wire::startup& message,
                            const std::string& instance) {
  startup_outcome out;
  const std::string user = Find(message, "user");
  if (user.empty()) {
    out.refusal = setting_refusal{"28000", "the startup names no user", ""};
    return out;
  }
  const std::string database = Find(message, "database");
  out.refusal = SetName(out.service, database.empty() ? user : database);
  if (out.refusal) {
    return out;
  }
  auto parameters = ParseOptions(Find(message, "options"));
  if (!parameters) {
    out.refusal = Malformed("the startup options are malformed");
    return out;
  }
  for (const auto& each : message.parameters) {
    if (!IsAboutConnection(each.first)) {
      parameters->emplace_back(each);
    }
  }
  for (const parameter& each : *parameters) {
    out.refusal = Apply(out, each);
    if (out.refusal) {
      out.refusal->message = each.first + ": " + out.refusal->message;
      return out;
    }
  }
  if (out.tenant.empty()) {
    out.refusal = SetName(out.tenant, user);
  }
  out.settings.SetFixed(out.tenant, instance);
  return out;
}

}  // namespace marjoramslip::shell
