// Feeds arbitrary bytes to the readers of settings, release notes, group
// records and messages between instances.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "marjoramslip/catalogue/release_note.h"
#include "marjoramslip/core/record_codec.h"
#include "marjoramslip/peer/peer_codec.h"
#include "marjoramslip/settings/settings.h"

namespace {

using marjoramslip::leaf::try_handle_all;

/// Reads a value whose errors are of no interest.
template <typename reader>
void Ignore(const reader& read) {
  try_handle_all(
      [&]() -> marjoramslip::result<void> {
        BOOST_LEAF_CHECK(read());
        return {};
      },
      [] {});
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto* const bytes = reinterpret_cast<const char*>(data);
  const std::string_view text(bytes, size);
  marjoramslip::ParseSettings(text);
  marjoramslip::ParseNote(text);
  Ignore([&] { return marjoramslip::ParseService(text); });
  Ignore([&] { return marjoramslip::ParseRecord(text); });
  Ignore([&] { return marjoramslip::peer::Decode({bytes, size}); });
  return 0;
}
