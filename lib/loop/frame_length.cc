// Lengths in network byte order.

#include "marjoramslip/runtime/frame_length.h"

namespace marjoramslip::shell {
namespace {

constexpr unsigned kByteBits = 8;

}  // namespace

void AppendFrameLength(std::size_t length, std::string& out) {
  for (std::size_t i = kFrameLengthBytes; i > 0; --i) {
    out.push_back(static_cast<char>((length >> (kByteBits * (i - 1))) & 0xFFU));
  }
}

std::size_t ReadFrameLength(std::string_view bytes) {
  std::size_t length = 0;
  for (const char byte : bytes.substr(0, kFrameLengthBytes)) {
    length = (length << kByteBits) | static_cast<unsigned char>(byte);
  }
  return length;
}

}  // namespace marjoramslip::shell
