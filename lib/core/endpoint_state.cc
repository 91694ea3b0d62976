// Conversion of endpoint states to and from the text that databases report.

#include "marjoramslip/core/endpoint_state.h"

#include <charconv>

namespace marjoramslip {

namespace {

// Reads a number that ends in `delimiter` and removes both from `text`.
bool ConsumeNumber(std::string_view& text, char delimiter,
                   std::uint64_t& value) {
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr == end ||
      *parsed.ptr != delimiter) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
  return true;
}

}  // namespace

std::string FormatEndpointState(const endpoint_state& state) {
  const char* const role =
      state.role == endpoint_role::kPrimary ? "primary" : "replica";
  return std::to_string(state.term) + "/" + std::to_string(state.log_term) +
         "/" + std::to_string(state.position) + "/" + role;
}

std::optional<endpoint_state> ParseEndpointState(std::string_view text) {
  endpoint_state state;
  if (!ConsumeNumber(text, '/', state.term) ||
      !ConsumeNumber(text, '/', state.log_term) ||
      !ConsumeNumber(text, '/', state.position)) {
    return std::nullopt;
  }
  if (text == "primary") {
    state.role = endpoint_role::kPrimary;
    return state;
  }
  if (text == "replica") {
    return state;
  }
  return std::nullopt;
}

}  // namespace marjoramslip
