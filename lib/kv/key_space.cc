// Builds and parses keys.

#include "marjoramslip/kv/key_space.h"

#include <cassert>
#include <utility>

namespace marjoramslip::kv {

namespace {

/// Formats a number with leading zeros, so that keys sort in numeric order.
std::string ZeroPadded(std::uint64_t number, std::size_t digits) {
  const std::string text = std::to_string(number);
  assert(text.size() <= digits && "number exceeds the digits of its key");
  return std::string(digits - text.size(), '0') + text;
}

}  // namespace

key_space::key_space(std::string prefix) : prefix_(std::move(prefix)) {
  assert(prefix_.ends_with('/') && "the prefix must end with '/'");
}

std::string key_space::LogEntry(std::uint64_t revision) const {
  constexpr std::size_t kDigits = 12;
  return Log().append(ZeroPadded(revision, kDigits));
}

std::string key_space::Service(std::string_view name) const {
  return Services().append(name);
}

std::string key_space::Group(std::string_view name) const {
  return Groups().append(name);
}

std::string key_space::Instance(std::string_view name) const {
  return Instances().append(name);
}

std::string key_space::Seat(std::uint32_t number) const {
  constexpr std::size_t kDigits = 4;
  return Seats().append(ZeroPadded(number, kDigits));
}

std::optional<std::string_view> key_space::StripDirectory(
    std::string_view directory, std::string_view key) {
  if (!key.starts_with(directory)) {
    return std::nullopt;
  }
  return key.substr(directory.size());
}

}  // namespace marjoramslip::kv
