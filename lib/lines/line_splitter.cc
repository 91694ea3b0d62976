// Splitting of bytes into lines.

#include "line_splitter.h"

#include <algorithm>

#include "framing.h"

namespace marjoramslip::lines {
namespace {

/// A buffer up to this size is kept once it is empty; messages of usual size
/// stay below it.
constexpr std::size_t kKeptBytes = 64U << 10U;

}  // namespace

void line_splitter::Add(std::span<const char> bytes) {
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
    searched_ = 0;
  } else if (consumed_ > buffer_.size() / 2) {
    buffer_.erase(0, consumed_);
    searched_ -= consumed_;
    consumed_ = 0;
  }
  buffer_.append(bytes.data(), bytes.size());
}

void line_splitter::Release() {
  if (consumed_ == buffer_.size()) {
    Clear();
  } else if (consumed_ > kKeptBytes) {
    buffer_.erase(0, consumed_);
    searched_ -= consumed_;
    consumed_ = 0;
    if (buffer_.capacity() > kKeptBytes + 2 * buffer_.size()) {
      buffer_.shrink_to_fit();
    }
  }
}

void line_splitter::Clear() {
  buffer_.clear();
  consumed_ = 0;
  searched_ = 0;
  if (buffer_.capacity() > kKeptBytes) {
    buffer_.shrink_to_fit();
  }
}

std::optional<std::string_view> line_splitter::Next() {
  if (overflowed_) {
    return std::nullopt;
  }
  const std::size_t end =
      buffer_.find(kLineEnd, std::max(searched_, consumed_));
  if (end == std::string::npos) {
    // A CR at the end may be the first half of a line end.
    const bool half_end = BufferedBytes() > 0 && buffer_.back() == kLineEnd[0];
    searched_ = buffer_.size() - (half_end ? 1 : 0);
    overflowed_ = searched_ - consumed_ > max_line_bytes_;
    return std::nullopt;
  }
  const std::string_view line =
      std::string_view(buffer_).substr(consumed_, end - consumed_);
  consumed_ = end + kLineEnd.size();
  searched_ = consumed_;
  if (line.size() > max_line_bytes_) {
    overflowed_ = true;
    return std::nullopt;
  }
  return line;
}

}  // namespace marjoramslip::lines
