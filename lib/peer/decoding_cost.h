// The memory that the decoding of a message takes.

#ifndef MARJORAMSLIP_LIB_PEER_DECODING_COST_H_
#define MARJORAMSLIP_LIB_PEER_DECODING_COST_H_

#include <cstddef>
#include <optional>
#include <span>

namespace marjoramslip::peer {

/// Estimates the bytes that a received message takes once decoded, without
/// decoding it. Returns nothing if it is malformed, or if that is above 16 MiB
/// and out of proportion to its length: a stranger can send fields that are
/// empty, each of which takes a hundred times the two bytes that it arrives in.
std::optional<std::size_t> DecodingCost(std::span<const char> bytes);

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_LIB_PEER_DECODING_COST_H_
