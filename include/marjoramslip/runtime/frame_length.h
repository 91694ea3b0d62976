// The length that precedes each message of a stream between instances.

#ifndef MARJORAMSLIP_RUNTIME_FRAME_LENGTH_H_
#define MARJORAMSLIP_RUNTIME_FRAME_LENGTH_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace marjoramslip::shell {

inline constexpr std::size_t kFrameLengthBytes = 4;

/// Appends `length`, at most 2^32 - 1, in network byte order.
void AppendFrameLength(std::size_t length, std::string& out);

/// Returns the length at the beginning of `bytes`, which holds at least
/// kFrameLengthBytes.
std::size_t ReadFrameLength(std::string_view bytes);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_FRAME_LENGTH_H_
