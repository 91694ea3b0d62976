// Tokens of JSON.

#include "json_tokens.h"

#include <algorithm>
#include <charconv>

namespace marjoramslip::sql {
namespace {

constexpr std::string_view kBetween = " \t\r\n,:";
constexpr std::string_view kAfterScalar = " \t\r\n,]}";
constexpr std::size_t kHexDigits = 4;
constexpr int kHexBase = 16;

char UnescapeOne(char code) {
  switch (code) {
    case 'b':
      return '\b';
    case 'f':
      return '\f';
    case 'n':
      return '\n';
    case 'r':
      return '\r';
    case 't':
      return '\t';
    default:
      return code;
  }
}

}  // namespace

json_token json_tokens::Next() {
  at_ = text_.find_first_not_of(kBetween, at_);
  if (at_ == std::string_view::npos) {
    at_ = text_.size();
    return {json_kind::kEnd, {}, depth_};
  }
  const char first = text_[at_];
  if (first == '"') {
    return NextString();
  }
  if (first == '{' || first == '[') {
    return {json_kind::kOpen, text_.substr(at_++, 1), depth_++};
  }
  if (first == '}' || first == ']') {
    depth_ -= depth_ > 0 ? 1 : 0;
    return {json_kind::kClose, text_.substr(at_++, 1), depth_};
  }
  const std::size_t start = at_;
  at_ = std::min(text_.find_first_of(kAfterScalar, at_), text_.size());
  return {json_kind::kScalar, text_.substr(start, at_ - start), depth_};
}

json_token json_tokens::NextString() {
  const std::size_t start = at_ + 1;
  std::size_t end = text_.find_first_of("\"\\", start);
  while (end < text_.size() && text_[end] == '\\') {
    end = text_.find_first_of("\"\\", end + 2);
  }
  end = std::min(end, text_.size());
  at_ = std::min(end + 1, text_.size());
  const bool key = at_ < text_.size() && text_[at_] == ':';
  return {key ? json_kind::kKey : json_kind::kString,
          text_.substr(start, end - start), depth_};
}

std::string Unescape(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out.push_back(text[i]);
      continue;
    }
    ++i;
    if (text[i] != 'u') {
      out.push_back(UnescapeOne(text[i]));
      continue;
    }
    // The tree escapes single bytes only.
    const std::string_view digits = text.substr(i + 1, kHexDigits);
    unsigned value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value,
                    kHexBase);
    out.push_back(static_cast<char>(value));
    i += digits.size();
  }
  return out;
}

}  // namespace marjoramslip::sql
