// Names of the keys in the key-value service.

#ifndef MARJORAMSLIP_KV_KEY_SPACE_H_
#define MARJORAMSLIP_KV_KEY_SPACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramslip::kv {

/// Builds and parses keys below a common prefix.
class key_space {
 public:
  /// `prefix` ends with '/'.
  explicit key_space(std::string prefix);

  const std::string& Prefix() const { return prefix_; }

  /// Directory of the accepted release notes, one per revision.
  std::string Log() const { return prefix_ + "notes/log/"; }
  std::string LogEntry(std::uint64_t revision) const;
  /// Key of the newest revision of the release notes.
  std::string Head() const { return prefix_ + "notes/head"; }
  std::string Services() const { return prefix_ + "services/"; }
  std::string Service(std::string_view name) const;
  std::string Groups() const { return prefix_ + "groups/"; }
  std::string Group(std::string_view name) const;
  std::string Instances() const { return prefix_ + "instances/"; }
  std::string Instance(std::string_view name) const;
  /// Directory of the seats, numbered from 0; at most one instance holds each.
  std::string Seats() const { return prefix_ + "seats/"; }
  std::string Seat(std::uint32_t number) const;
  /// Key held by the instance that is responsible for promotions.
  std::string Duty() const { return prefix_ + "duty"; }
  /// Key of the newest fence of that duty, which outlasts its holders.
  std::string Fence() const { return prefix_ + "fence"; }

  /// Returns the part of `key` after `directory`, or nothing if the key is not
  /// below it.
  static std::optional<std::string_view> StripDirectory(
      std::string_view directory, std::string_view key);

 private:
  std::string prefix_;
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_KEY_SPACE_H_
