// Writes lines to a descriptor without waiting for its reader.

#ifndef MARJORAMSLIP_LIB_RUNTIME_LINE_OUTPUT_H_
#define MARJORAMSLIP_LIB_RUNTIME_LINE_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace marjoramslip::shell {

/// Writes whole lines to a pipe, a terminal or a file. What the reader does not
/// take is kept up to a limit; further lines are dropped and counted. No call
/// but the destructor waits for the reader. Thread-safe.
class line_output {
 public:
  /// Limit of the bytes that are kept for a reader that does not read.
  static constexpr std::size_t kMaxPendingBytes = std::size_t{64} << 10U;

  /// Writes to `descriptor`, which stays open and is not changed: other
  /// processes may share it.
  explicit line_output(int descriptor);
  /// Waits for a short time for the reader to take what was kept.
  ~line_output();
  line_output(const line_output&) = delete;
  line_output& operator=(const line_output&) = delete;

  /// Writes or keeps the line, which gets its line end here. Returns false if
  /// it was dropped.
  bool Write(std::string_view line);
  /// Writes what was kept, as far as the reader takes it.
  void Flush();
  /// Returns the number of lines dropped since the last call.
  std::uint64_t TakeDropped();

 private:
  void FlushLocked();

  std::mutex mutex_;
  int descriptor_;
  bool owned_ = false;  ///< `descriptor_` was opened here, and never blocks.
  std::string pending_;
  std::uint64_t dropped_ = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_LINE_OUTPUT_H_
