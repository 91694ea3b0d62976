// Classifies any text: the cache must agree with the parser, and a statement
// that is refused must be found behind any text that parses.

#include "marjoramslip/sql/classify.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace marjoramslip::sql;  // NOLINT(google-build-using-namespace)
  const std::string text(reinterpret_cast<const char*>(data), size);
  const classification direct = Classify(text);
  static classifier cache(16);
  if (cache.Get(text).kind != direct.kind) {
    std::abort();
  }
  if (direct.kind == statement_class::kInvalid) {
    return 0;
  }
  const classification longer = Classify(text + "\n;listen x");
  if (longer.kind != statement_class::kUnsupported &&
      longer.kind != statement_class::kInvalid) {
    std::abort();
  }
  return 0;
}
