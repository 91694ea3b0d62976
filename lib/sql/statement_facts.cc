// One pass over the tokens of a parse tree.
//
// A statement counts as a plain read only if every node, function, operator
// and type in it is on a fixed list. What a view or a function that is called
// like a column hides cannot be seen without the catalogue of the database:
// for its sake plain reads run in read-only transactions.

#include "statement_facts.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

#include "json_tokens.h"
#include "known_names.h"

namespace marjoramslip::sql {
namespace {

/// Depths in {"stmts":[{"stmt":{"SelectStmt":{"field":...}}}]}.
constexpr std::size_t kNodeDepth = 4;
constexpr std::size_t kFieldDepth = 5;

bool StartsUpper(std::string_view text) {
  return !text.empty() && text.front() >= 'A' && text.front() <= 'Z';
}

/// An integer constant as the source has it, with its sign: the tree loses
/// negative ones.
std::string IntegerAt(std::string_view source, std::string_view location) {
  std::size_t at = 0;
  const auto parsed =
      std::from_chars(location.data(), location.data() + location.size(), at);
  if (parsed.ec != std::errc() || at >= source.size()) {
    return {};
  }
  std::string out;
  if (source[at] == '-' || source[at] == '+') {
    out = source[at] == '-' ? "-" : "";
    at = std::min(source.find_first_of("0123456789", at), source.size());
  }
  const std::size_t end =
      std::min(source.find_first_not_of("0123456789", at), source.size());
  return out.append(source.substr(at, end - at));
}

/// Gathers facts token by token.
class collector {
 public:
  explicit collector(std::string_view source) : source_(source) {}

  void Take(const json_token& token);
  std::vector<statement_facts> Finish() && { return std::move(facts_); }

 private:
  /// A list of strings that is a name: what it names.
  enum class list_of : std::uint8_t { kNothing, kFunction, kOperator, kType };

  void TakeKey(const json_token& token);
  void TakeText(const json_token& token);
  void TakeScalar(const json_token& token);
  void TakeClose(const json_token& token);
  void CheckName();
  statement_facts& Last() { return facts_.back(); }

  std::string_view source_;
  std::vector<statement_facts> facts_;
  std::string_view key_;
  list_of list_ = list_of::kNothing;
  std::size_t list_depth_ = 0;
  std::vector<std::string_view> parts_;
  bool integer_ = false;
};

void collector::Take(const json_token& token) {
  if (token.kind == json_kind::kKey && token.depth == kNodeDepth) {
    facts_.push_back({});
    facts_.back().node = token.text;
    list_ = list_of::kNothing;
    integer_ = false;
  }
  if (facts_.empty()) {
    return;
  }
  switch (token.kind) {
    case json_kind::kKey:
      TakeKey(token);
      return;
    case json_kind::kString:
      TakeText(token);
      return;
    case json_kind::kScalar:
      TakeScalar(token);
      return;
    case json_kind::kClose:
      TakeClose(token);
      return;
    case json_kind::kOpen:
    case json_kind::kEnd:
      return;
  }
}

void collector::TakeKey(const json_token& token) {
  key_ = token.text;
  if (StartsUpper(key_)) {
    Last().plain_read = Last().plain_read && IsReadNode(key_);
    return;
  }
  if (key_ == "concurrent") {
    Last().concurrent = true;
    return;
  }
  if (key_ == "lockingClause" || key_ == "intoClause") {
    Last().plain_read = false;
    return;
  }
  if (key_ == "ival") {
    integer_ = true;
    return;
  }
  list_of what = list_of::kNothing;
  if (key_ == "funcname") {
    what = list_of::kFunction;
  } else if (key_ == "name" || key_ == "operName" || key_ == "useOp") {
    what = list_of::kOperator;
  } else if (key_ == "names") {
    what = list_of::kType;
  }
  if (what != list_of::kNothing) {
    list_ = what;
    list_depth_ = token.depth;
    parts_.clear();
  }
}

void collector::TakeText(const json_token& token) {
  statement_facts& last = Last();
  if (key_ == "relpersistence" && token.text == "t") {
    last.leaves_traces = true;
    return;
  }
  if (key_ == "defname" && token.text == "analyze") {
    last.plain_read = false;
    return;
  }
  if (token.depth == kFieldDepth && key_ == "kind") {
    last.kind = token.text;
  } else if (token.depth == kFieldDepth && key_ == "name") {
    last.name = Unescape(token.text);
  }
  if (list_ != list_of::kNothing && token.depth == list_depth_) {
    list_ = list_of::kNothing;  // A name that is no list, such as an alias.
    return;
  }
  if (list_ != list_of::kNothing) {
    parts_.push_back(token.text);
    return;
  }
  const bool value = key_ == "sval" || key_ == "fval";
  if (value && last.node == "VariableSetStmt") {
    last.values.push_back(Unescape(token.text));
  }
}

void collector::TakeScalar(const json_token& token) {
  statement_facts& last = Last();
  if (token.depth == kFieldDepth && key_ == "is_local") {
    last.local = true;
  } else if (token.depth == kFieldDepth && key_ == "chain") {
    last.chain = true;
  }
  if (key_ == "location" && integer_) {
    integer_ = false;
    if (last.node == "VariableSetStmt") {
      last.values.push_back(IntegerAt(source_, token.text));
    }
  }
}

void collector::TakeClose(const json_token& token) {
  if (list_ == list_of::kNothing || token.depth != list_depth_) {
    return;
  }
  CheckName();
  list_ = list_of::kNothing;
}

void collector::CheckName() {
  statement_facts& last = Last();
  if (parts_.empty()) {
    return;
  }
  const std::string_view name = parts_.back();
  const bool ours = parts_.size() == 1 ||
                    (parts_.size() == 2 && parts_.front() == "pg_catalog");
  switch (list_) {
    case list_of::kFunction:
      last.plain_read = last.plain_read && ours && IsPureFunction(name);
      last.leaves_traces = last.leaves_traces || IsForbiddenFunction(name);
      return;
    case list_of::kOperator:
      last.plain_read = last.plain_read && ours && IsKnownOperator(name);
      return;
    case list_of::kType:
      last.plain_read = last.plain_read && ours && IsKnownType(name);
      return;
    case list_of::kNothing:
      return;
  }
}

}  // namespace

std::vector<statement_facts> ReadFacts(std::string_view tree,
                                       std::string_view source) {
  collector facts(source);
  json_tokens tokens(tree);
  for (json_token token = tokens.Next(); token.kind != json_kind::kEnd;
       token = tokens.Next()) {
    facts.Take(token);
  }
  return std::move(facts).Finish();
}

}  // namespace marjoramslip::sql
