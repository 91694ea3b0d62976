// Checks and keeps a caller's settings.

#include "caller_settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <numeric>
#include <utility>

#include "marjoramslip/runtime/caller_limits.h"

namespace marjoramslip::shell {
namespace {

constexpr std::size_t kLongestName = 200;
constexpr duration kLongestStaleness = std::chrono::hours(24);

/// A unit of time and how many microseconds it has.
struct time_unit {
  std::string_view name;
  duration length;
};

constexpr std::array<time_unit, 6> kUnits{{
    {"", std::chrono::milliseconds(1)},
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"min", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
}};

/// A setting of PostgreSQL with its default and the values that change
/// nothing here; none means any.
struct other_setting {
  std::string_view name;
  std::string_view initial;
  std::array<std::string_view, 4> allowed;
  bool changeable = true;
};

constexpr std::array<other_setting, 14> kOthers{{
    {"application_name", "", {}},
    {"bytea_output", "hex", {"hex"}},
    {"client_encoding", "UTF8", {"utf8", "utf-8", "unicode"}},
    {"client_min_messages", "notice", {}},
    {"datestyle", "ISO, MDY", {"iso", "iso, mdy", "iso,mdy"}},
    {"extra_float_digits", "1", {}},
    {"integer_datetimes", "on", {}, false},
    {"intervalstyle", "postgres", {"postgres"}},
    {"lock_timeout", "0", {"0"}},
    {"server_encoding", "UTF8", {}, false},
    {"server_version", "15.0", {}, false},
    {"standard_conforming_strings", "on", {"on", "true", "1"}},
    {"statement_timeout", "0", {"0"}},
    {"timezone", "UTC", {"utc", "etc/utc", "gmt"}},
}};

const other_setting* FindOther(std::string_view name) {
  const std::string lower = LowerCase(name);
  const auto* found =
      std::find_if(kOthers.begin(), kOthers.end(),
                   [&](const other_setting& s) { return s.name == lower; });
  return found == kOthers.end() ? nullptr : found;
}

bool Allows(const other_setting& setting, std::string_view value) {
  const auto& allowed = setting.allowed;
  return allowed.front().empty() || value.empty() ||
         std::find(allowed.begin(), allowed.end(), LowerCase(value)) !=
             allowed.end();
}

bool IsName(std::string_view text) {
  return text.size() <= kLongestName &&
         std::none_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
         });
}

setting_outcome Invalid(std::string message, std::string hint = {}) {
  return setting_refusal{"22023", std::move(message), std::move(hint)};
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return out;
}

setting_outcome SetName(std::string& target, std::string_view value) {
  if (!IsName(value)) {
    return Invalid("the value is too long or has control characters",
                   "At most 200 bytes are allowed.");
  }
  target = value;
  return std::nullopt;
}

std::optional<duration> ParseLength(std::string_view text) {
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  const std::string_view name(parsed.ptr, end);
  for (const time_unit& unit : kUnits) {
    if (unit.name != name) {
      continue;
    }
    const duration value = unit.length * number;
    return value <= kLongestStaleness ? std::optional(value) : std::nullopt;
  }
  return std::nullopt;
}

void caller_settings::SetFixed(std::string tenant, std::string instance) {
  tenant_ = std::move(tenant);
  instance_ = std::move(instance);
}

setting_outcome caller_settings::SetOwn(std::string_view name,
                                        std::string_view value) {
  if (name == "session") {
    return SetName(session_, value);
  }
  if (name == "request_id") {
    return SetName(request_id_, value);
  }
  if (name == "session_token") {
    return SetToken(value);
  }
  if (name == "max_staleness") {
    return SetStaleness(value);
  }
  if (name == "tenant" || name == "instance") {
    return setting_refusal{"55P02", "the setting cannot be changed now", ""};
  }
  return setting_refusal{
      "42704", "there is no such setting",
      "Known are session, session_token, max_staleness and request_id."};
}

setting_outcome caller_settings::SetToken(std::string_view value) {
  if (value.empty()) {
    token_.reset();
    return std::nullopt;
  }
  const auto token = ParseLogPoint(value);
  if (!token) {
    return Invalid("the token is malformed",
                   "A token is \"term:position\", as reported to callers.");
  }
  token_ = token;
  return std::nullopt;
}

setting_outcome caller_settings::SetStaleness(std::string_view value) {
  if (value.empty() || value == "off") {
    max_staleness_.reset();
    staleness_text_.clear();
    return std::nullopt;
  }
  const auto length = ParseLength(value);
  if (!length) {
    return Invalid("the length of time is malformed or above one day",
                   "Use a number with us, ms, s, min or h, or off.");
  }
  max_staleness_ = length;
  staleness_text_ = value;
  return std::nullopt;
}

std::optional<std::string> caller_settings::ShowOwn(
    std::string_view name) const {
  if (name == "session") {
    return session_;
  }
  if (name == "request_id") {
    return request_id_;
  }
  if (name == "max_staleness") {
    return max_staleness_ ? staleness_text_ : "off";
  }
  if (name == "tenant") {
    return tenant_;
  }
  if (name == "instance") {
    return instance_;
  }
  if (name != "session_token") {
    return std::nullopt;
  }
  if (floor_ != log_point{}) {
    return FormatLogPoint(floor_);
  }
  return token_ ? FormatLogPoint(*token_) : std::string();
}

setting_outcome caller_settings::SetOther(std::string_view name,
                                          std::string_view value) {
  const other_setting* setting = FindOther(name);
  if (setting == nullptr || !setting->changeable || !Allows(*setting, value)) {
    return setting_refusal{
        "0A000", "the setting cannot be changed through a shared connection",
        "Set it on the databases, for a role or for all."};
  }
  if (value.empty()) {
    others_.erase(std::string(setting->name));
  } else {
    others_.insert_or_assign(std::string(setting->name), std::string(value));
  }
  return std::nullopt;
}

std::optional<std::string> caller_settings::ShowOther(
    std::string_view name) const {
  const other_setting* setting = FindOther(name);
  if (setting == nullptr) {
    return std::nullopt;
  }
  const auto found = others_.find(setting->name);
  return found == others_.end() ? std::string(setting->initial) : found->second;
}

void caller_settings::ResetAll() {
  session_.clear();
  request_id_.clear();
  staleness_text_.clear();
  token_.reset();
  max_staleness_.reset();
  others_.clear();
}

std::size_t caller_settings::Bytes() const {
  return std::accumulate(
      others_.begin(), others_.end(),
      session_.size() + request_id_.size() + staleness_text_.size(),
      [](std::size_t sum, const auto& entry) {
        return sum + kStoredEntryBytes + entry.first.size() +
               entry.second.size();
      });
}

bool caller_settings::NoteFloor(log_point floor) {
  if (floor == log_point{} || floor == floor_) {
    return false;
  }
  floor_ = floor;
  return true;
}

statement_settings caller_settings::ForStatement(bool takes_key) {
  statement_settings out;
  out.session = session_;
  out.token = token_;
  out.max_staleness = max_staleness_;
  if (takes_key) {
    out.idempotency_key = std::exchange(request_id_, {});
  }
  return out;
}

}  // namespace marjoramslip::shell
