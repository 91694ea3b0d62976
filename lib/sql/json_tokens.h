// Reads the JSON of a parse tree token by token, without copying it and
// without recursion, so that the depth of a statement does not matter.

#ifndef MARJORAMSLIP_SQL_JSON_TOKENS_H_
#define MARJORAMSLIP_SQL_JSON_TOKENS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramslip::sql {

/// What a token is.
enum class json_kind : std::uint8_t {
  kOpen,    ///< `{` or `[`.
  kClose,   ///< `}` or `]`.
  kKey,     ///< A member's name.
  kString,  ///< A string as a value.
  kScalar,  ///< A number, true, false or null.
  kEnd,     ///< No more tokens.
};

/// A token. `text` holds escapes as they stand; for kOpen and kClose it is
/// the bracket.
struct json_token {
  json_kind kind = json_kind::kEnd;
  std::string_view text;
  /// Objects and lists open around the token, those it opens or closes not
  /// counted.
  std::size_t depth = 0;
};

/// Splits well-formed JSON into tokens.
class json_tokens {
 public:
  explicit json_tokens(std::string_view text) : text_(text) {}

  json_token Next();

 private:
  json_token NextString();

  std::string_view text_;
  std::size_t at_ = 0;
  std::size_t depth_ = 0;
};

/// The string that `text`, with its escapes, stands for.
std::string Unescape(std::string_view text);

}  // namespace marjoramslip::sql

#endif  // MARJORAMSLIP_SQL_JSON_TOKENS_H_
