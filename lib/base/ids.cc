// Hashing of names to ids.

#include "marjoramslip/base/ids.h"

#include <xxhash.h>

namespace marjoramslip {

std::uint64_t HashName(std::string_view name) {
  return XXH64(name.data(), name.size(), 0);
}

}  // namespace marjoramslip
