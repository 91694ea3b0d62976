// Feeds any bytes to the decoder of callers' messages: cut in pieces they must
// give as many messages, of the same kinds, as whole.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

#include "marjoramslip/wire/messages.h"

namespace marjoramslip::wire {
namespace {

constexpr std::size_t kLimit = 4096;
constexpr std::size_t kRefused = 1000;

/// Takes all whole messages; false once the stream is refused.
bool Drain(frontend_decoder& decoder, std::vector<std::size_t>& kinds) {
  while (true) {
    const std::size_t before = kinds.size();
    const bool sound = leaf::try_handle_all(
        [&]() -> result<bool> {
          BOOST_LEAF_AUTO(message, decoder.Next());
          if (message) {
            kinds.push_back(message->index());
          }
          return true;
        },
        [] { return false; });
    if (!sound) {
      kinds.push_back(kRefused);
      return false;
    }
    if (kinds.size() == before) {
      return true;
    }
  }
}

/// The kinds of messages in `bytes`, fed in pieces of `step`.
std::vector<std::size_t> Kinds(std::span<const char> bytes, std::size_t step) {
  frontend_decoder decoder(kLimit);
  std::vector<std::size_t> kinds;
  while (!bytes.empty()) {
    const std::size_t count = std::min(step, bytes.size());
    decoder.Feed(bytes.first(count));
    bytes = bytes.subspan(count);
    if (!Drain(decoder, kinds)) {
      break;
    }
  }
  return kinds;
}

}  // namespace
}  // namespace marjoramslip::wire

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using marjoramslip::wire::Kinds;
  if (size < 2) {
    return 0;
  }
  const std::span<const char> bytes(reinterpret_cast<const char*>(data) + 1,
                                    size - 1);
  if (Kinds(bytes, bytes.size()) != Kinds(bytes, 1U + data[0])) {
    std::abort();
  }
  return 0;
}
