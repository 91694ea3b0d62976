// Feeds any bytes to the decoders of the line protocol: cut in pieces they
// must give the same lines as whole, and every line is understood or refused.

#include "line_words.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>
#include <vector>

#include "line_splitter.h"

namespace marjoramslip::platform {
namespace {

constexpr std::size_t kLongest = 512;

std::vector<std::string> Lines(std::span<const char> bytes, std::size_t piece) {
  lines::line_splitter splitter(kLongest);
  std::vector<std::string> all;
  while (!bytes.empty() && !splitter.Overflowed()) {
    const std::size_t count = std::min(piece, bytes.size());
    splitter.Add(bytes.first(count));
    bytes = bytes.subspan(count);
    while (const auto line = splitter.Next()) {
      all.emplace_back(*line);
    }
  }
  return all;
}

void Understand(const std::string& line) {
  static const auto kWords = MakePlatformLineCodec();
  static_cast<void>(kWords->ParseCaller(line));
  static_cast<void>(kWords->ParseEndpoint(line));
  static_cast<void>(kWords->ParseState(line));
}

}  // namespace
}  // namespace marjoramslip::platform

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace platform = marjoramslip::platform;
  const std::span<const char> bytes(reinterpret_cast<const char*>(data), size);
  const auto whole = platform::Lines(bytes, std::max<std::size_t>(1, size));
  if (platform::Lines(bytes, 1) != whole) {
    std::abort();
  }
  for (const std::string& line : whole) {
    platform::Understand(line);
  }
  return 0;
}
