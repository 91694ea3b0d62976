// Each seat is a key named by its number, with the claim as its value.

#include "seats.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "marjoramslip/kv/key_space.h"

namespace marjoramslip::shell {
namespace {

template <typename number>
std::optional<number> ParseNumber(std::string_view text) {
  number value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(value)
                                                       : std::nullopt;
}

}  // namespace

std::string FormatClaim(const seat_claim& claim) {
  return claim.name + " " + std::to_string(claim.lease);
}

std::optional<seat_claim> ParseClaim(std::string_view text) {
  const std::size_t separator = text.rfind(' ');
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const auto lease = ParseNumber<std::uint64_t>(text.substr(separator + 1));
  if (!lease) {
    return std::nullopt;
  }
  return seat_claim{std::string(text.substr(0, separator)), *lease};
}

seat_map ReadSeats(std::string_view directory, const kv::range_result& range,
                   const seat_claim& self) {
  seat_map seats;
  for (const kv::entry& entry : range.entries) {
    const auto digits = kv::key_space::StripDirectory(directory, entry.key);
    const auto number =
        digits ? ParseNumber<std::uint32_t>(*digits) : std::nullopt;
    if (!number) {
      continue;
    }
    seats.taken.insert(*number);
    const std::optional<seat_claim> claim = ParseClaim(entry.value);
    if (!claim || claim->name != self.name) {
      continue;
    }
    if (claim->lease == self.lease) {
      seats.own = number;
    } else {
      seats.former_leases.insert(claim->lease);
      seats.former_seats.emplace(*number, entry.mod_revision);
    }
  }
  return seats;
}

std::uint32_t ChooseSeat(const std::set<std::uint32_t>& taken,
                         const std::optional<std::uint32_t>& preferred,
                         std::uint32_t limit, std::uint64_t draw) {
  if (preferred && !taken.contains(*preferred)) {
    return *preferred;
  }
  const std::uint32_t first_above = std::min(limit, kMaxSeat);
  std::vector<std::uint32_t> free;
  for (std::uint32_t seat = 0; seat < first_above; ++seat) {
    if (!taken.contains(seat)) {
      free.push_back(seat);
    }
  }
  if (!free.empty()) {
    return free[draw % free.size()];
  }
  const std::uint32_t count_above = kMaxSeat - first_above + 1;
  auto offset = static_cast<std::uint32_t>(draw % count_above);
  for (std::uint32_t tried = 0; tried < count_above; ++tried) {
    if (!taken.contains(first_above + offset)) {
      return first_above + offset;
    }
    offset = (offset + 1) % count_above;
  }
  return kMaxSeat + 1;
}

}  // namespace marjoramslip::shell
