// Strongly typed identifiers: an id of one kind never passes for another.

#ifndef MARJORAMSLIP_BASE_IDS_H_
#define MARJORAMSLIP_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace marjoramslip {

/// A 64-bit identifier whose kind is part of its type.
template <typename tag>
struct typed_id {
  std::uint64_t value = 0;

  auto operator<=>(const typed_id&) const = default;
};

/// A caller's connection to this instance. Numbered from 1 by the shell.
using caller_id = typed_id<struct caller_id_tag>;
/// One statement of one caller. Numbered from 1 by the shell.
using request_id = typed_id<struct request_id_tag>;
/// A connection from this instance to an endpoint. Numbered by the core.
using connection_id = typed_id<struct connection_id_tag>;
/// A compare-and-swap in flight. Numbered by the core.
using operation_id = typed_id<struct operation_id_tag>;
/// A service, by the hash of its name.
using service_id = typed_id<struct service_id_tag>;
/// A client account, by the hash of its name; 0 stands for none.
using account_id = typed_id<struct account_id_tag>;
/// A group of databases, by the hash of its name.
using group_id = typed_id<struct group_id_tag>;
/// A database, by the hash of its name.
using endpoint_id = typed_id<struct endpoint_id_tag>;
/// An instance of marjoramslip, by the hash of its name.
using instance_id = typed_id<struct instance_id_tag>;

/// Hashes a name to 64 bits; the same on every instance and release.
std::uint64_t HashName(std::string_view name);

/// The id of the object called `name`; equal on every instance.
template <typename id>
id IdOf(std::string_view name) {
  return id{HashName(name)};
}

}  // namespace marjoramslip

template <typename tag>
struct std::hash<marjoramslip::typed_id<tag>> {
  std::size_t operator()(const marjoramslip::typed_id<tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // MARJORAMSLIP_BASE_IDS_H_
