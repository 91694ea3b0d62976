// Splits a stream of bytes into lines of bounded length.

#ifndef MARJORAMSLIP_LIB_LINES_LINE_SPLITTER_H_
#define MARJORAMSLIP_LIB_LINES_LINE_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace marjoramslip::lines {

/// Buffers received bytes and returns the complete lines in them. A line ends
/// with CR LF; a CR or LF alone is part of it.
class line_splitter {
 public:
  /// `max_line_bytes` is the maximum length of a line without CR LF.
  explicit line_splitter(std::size_t max_line_bytes)
      : max_line_bytes_(max_line_bytes) {}

  void Add(std::span<const char> bytes);

  /// Returns the next complete line without CR LF, or empty if there is none
  /// yet. The view is valid until the next call of Add.
  std::optional<std::string_view> Next();

  /// Frees what Next has returned; the views that it returned end.
  void Release();
  /// Drops all bytes.
  void Clear();
  /// Bytes of memory that are in use.
  std::size_t HeldBytes() const { return buffer_.size(); }

  /// True once a line is too long; Next returns no more lines then.
  bool Overflowed() const { return overflowed_; }

  /// Bytes that were not returned by Next yet.
  std::size_t BufferedBytes() const { return buffer_.size() - consumed_; }

 private:
  std::size_t max_line_bytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::size_t searched_ = 0;  ///< There is no line end from consumed_ to here.
  bool overflowed_ = false;
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_LINE_SPLITTER_H_
