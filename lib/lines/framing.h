// The end of a line on the wire.

#ifndef MARJORAMSLIP_LIB_LINES_FRAMING_H_
#define MARJORAMSLIP_LIB_LINES_FRAMING_H_

#include <string_view>

namespace marjoramslip::lines {

inline constexpr std::string_view kLineEnd = "\r\n";

/// Returns how many lines a receiver reads in `text`.
int CountLines(std::string_view text);

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_FRAMING_H_
