// Counting of lines.

#include "framing.h"

#include <cstddef>

namespace marjoramslip::lines {

int CountLines(std::string_view text) {
  int lines = 0;
  std::size_t at = text.find(kLineEnd);
  while (at != std::string_view::npos) {
    ++lines;
    at = text.find(kLineEnd, at + kLineEnd.size());
  }
  return lines;
}

}  // namespace marjoramslip::lines
