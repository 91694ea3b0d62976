// Reading and writing of single values.

#include "marjoramslip/json/fields.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <cmath>

namespace marjoramslip::json {
namespace {

constexpr std::size_t kMaxNameBytes = 63;
constexpr int kHexBase = 16;

struct unit {
  std::string_view suffix;
  duration length;
};

/// From the greatest to the least.
constexpr std::array<unit, 4> kUnits{{{"min", std::chrono::minutes(1)},
                                      {"s", std::chrono::seconds(1)},
                                      {"ms", std::chrono::milliseconds(1)},
                                      {"us", std::chrono::microseconds(1)}}};

/// The length of time that `text` states; negative if malformed.
duration ParseDuration(std::string_view text) {
  constexpr duration kMalformed{-1};
  constexpr std::int64_t kMaxCount = 1'000'000'000;
  const char* const end = text.data() + text.size();
  std::int64_t amount = 0;
  const auto [rest, status] = std::from_chars(text.data(), end, amount);
  if (status != std::errc{} || amount < 0 || amount > kMaxCount) {
    return kMalformed;
  }
  const std::string_view suffix(rest, static_cast<std::size_t>(end - rest));
  for (const unit& one : kUnits) {
    if (one.suffix == suffix) {
      return one.length * amount;
    }
  }
  return kMalformed;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

std::string NameFault(const std::string& text) {
  const bool sound = !text.empty() && text.size() <= kMaxNameBytes &&
                     std::all_of(text.begin(), text.end(), IsNameCharacter);
  return sound ? "" : "must be 1 to 63 of a-z, A-Z, 0-9, '.', '_' and '-'";
}

/// The text in `var`; null, with a fault, if it is none.
const std::string* AsText(const Var& var, const place& at) {
  if (var.isEmpty() || !var.isString()) {
    at.Fault("must be a text");
    return nullptr;
  }
  return &var.extract<std::string>();
}

}  // namespace

Poco::JSON::Object::Ptr AsObject(const Var& var, const place& at) {
  if (var.type() == typeid(Poco::JSON::Object::Ptr)) {
    return var.extract<Poco::JSON::Object::Ptr>();
  }
  at.Fault("must be an object");
  return {};
}

Poco::JSON::Array::Ptr AsArray(const Var& var, const place& at) {
  if (var.type() == typeid(Poco::JSON::Array::Ptr)) {
    return var.extract<Poco::JSON::Array::Ptr>();
  }
  at.Fault("must be a list");
  return {};
}

void RefuseUnknown(const Poco::JSON::Object& object,
                   const std::vector<std::string_view>& known,
                   const place& at) {
  for (const auto& [key, value] : object) {
    if (std::find(known.begin(), known.end(), key) != known.end()) {
      continue;
    }
    const std::string_view nearest = Nearest(key, known);
    at.Member(key).Fault(nearest.empty() ? "is not a known key"
                                         : "is not a known key; did you mean " +
                                               std::string(nearest) + "?");
  }
}

void ReadInteger(const Var& var, const place& at, std::uint64_t min,
                 std::uint64_t max, std::uint64_t& into) {
  const std::string allowed = "must be a whole number from " +
                              std::to_string(min) + " to " +
                              std::to_string(max);
  if (var.isEmpty() || !var.isInteger() || var.isBoolean()) {
    at.Fault(allowed);
    return;
  }
  try {
    const auto number = var.convert<Poco::UInt64>();
    if (number >= min && number <= max) {
      into = number;
      return;
    }
  } catch (const Poco::Exception&) {
    // Out of the type's range: said below.
  }
  at.Fault(allowed);
}

void ReadDuration(const Var& var, const place& at, duration min, duration max,
                  duration unit, duration& into) {
  const std::string allowed = "must be a time from \"" + FormatDuration(min) +
                              "\" to \"" + FormatDuration(max) +
                              "\" (units us, ms, s, min)";
  const bool text = !var.isEmpty() && var.isString();
  const duration value =
      text ? ParseDuration(var.extract<std::string>()) : duration(-1);
  if (value < min || value > max) {
    at.Fault(allowed);
    return;
  }
  if (value % unit != duration::zero()) {
    at.Fault("must be a whole multiple of " + FormatDuration(unit));
    return;
  }
  into = value;
}

std::string FormatDuration(duration value) {
  for (const unit& one : kUnits) {
    if (value.count() != 0 && value % one.length == duration::zero()) {
      return std::to_string(value / one.length) + std::string(one.suffix);
    }
  }
  return "0s";
}

int ReadChoice(const Var& var, const place& at,
               const std::vector<std::string_view>& names) {
  std::string allowed;
  for (const std::string_view name : names) {
    allowed += (allowed.empty() ? "\"" : ", \"") + std::string(name) + "\"";
  }
  if (!var.isEmpty() && var.isString()) {
    const auto& text = var.extract<std::string>();
    const auto found = std::find(names.begin(), names.end(), text);
    if (found != names.end()) {
      return static_cast<int>(found - names.begin());
    }
  }
  at.Fault("must be one of " + allowed);
  return -1;
}

codec<std::string> CheckedText(
    std::function<std::string(const std::string&)> fault) {
  auto read = [fault = std::move(fault)](const Var& var, const place& at,
                                         std::string& into) {
    const std::string* text = AsText(var, at);
    if (text == nullptr) {
      return;
    }
    std::string found = fault(*text);
    if (!found.empty()) {
      at.Fault(std::move(found));
      return;
    }
    into = *text;
  };
  return {read, [](const std::string& from) { return Var(from); }};
}

codec<std::string> Text(std::size_t min, std::size_t max) {
  return CheckedText([min, max](const std::string& text) -> std::string {
    if (text.size() >= min && text.size() <= max) {
      return "";
    }
    return "must be a text of " + std::to_string(min) + " to " +
           std::to_string(max) + " bytes";
  });
}

codec<std::string> Name() { return CheckedText(NameFault); }

codec<std::string> AnyText() {
  return CheckedText([](const std::string&) { return std::string(); });
}

codec<double> Amount() {
  auto read = [](const Var& var, const place& at, double& into) {
    const bool number = !var.isEmpty() && var.isNumeric() && !var.isBoolean();
    const double value = number ? var.convert<double>() : -1;
    if (!std::isfinite(value) || value < 0) {
      at.Fault("must be a number that is not negative");
      return;
    }
    into = value;
  };
  return {read, [](const double& from) { return Var(from); }};
}

codec<duration> Milliseconds(std::chrono::milliseconds max) {
  auto read = [max](const Var& var, const place& at, duration& into) {
    auto number = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(into).count());
    ReadInteger(var, at, 0, static_cast<std::uint64_t>(max.count()), number);
    into = std::chrono::milliseconds(number);
  };
  auto write = [](const duration& from) {
    return Var(static_cast<Poco::Int64>(
        std::chrono::duration_cast<std::chrono::milliseconds>(from).count()));
  };
  return {read, write};
}

codec<bool> Boolean() {
  auto read = [](const Var& var, const place& at, bool& into) {
    if (var.isEmpty() || !var.isBoolean()) {
      at.Fault("must be true or false");
      return;
    }
    into = var.extract<bool>();
  };
  return {read, [](const bool& from) { return Var(from); }};
}

codec<std::uint64_t> Hexadecimal() {
  constexpr std::size_t kDigits = 16;
  auto read = [](const Var& var, const place& at, std::uint64_t& into) {
    const std::string* text = AsText(var, at);
    if (text == nullptr) {
      return;
    }
    std::uint64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value, kHexBase);
    if (text->size() != kDigits || parsed.ec != std::errc{} ||
        parsed.ptr != end) {
      at.Fault("must be 16 hexadecimal digits");
      return;
    }
    into = value;
  };
  auto write = [](const std::uint64_t& from) {
    std::array<char, kDigits> digits{};
    const auto written = std::to_chars(
        digits.data(), digits.data() + digits.size(), from, kHexBase);
    assert(written.ec == std::errc{} && "64 bits fit in 16 digits");
    const auto used = static_cast<std::size_t>(written.ptr - digits.data());
    return Var(std::string(kDigits - used, '0') +
               std::string(digits.data(), used));
  };
  return {read, write};
}

codec<std::map<std::string, std::string, std::less<>>> NameMap() {
  using name_map = std::map<std::string, std::string, std::less<>>;
  auto read = [](const Var& var, const place& at, name_map& into) {
    const Poco::JSON::Object::Ptr source = AsObject(var, at);
    if (!source) {
      return;
    }
    into.clear();
    const codec<std::string> name = Name();
    for (const auto& [key, value] : *source) {
      name.read(value, at.Member(key), into[key]);
    }
  };
  auto write = [](const name_map& from) {
    Poco::JSON::Object::Ptr target = new Poco::JSON::Object;
    for (const auto& [key, value] : from) {
      target->set(key, value);
    }
    return Var(target);
  };
  return {read, write};
}

}  // namespace marjoramslip::json
