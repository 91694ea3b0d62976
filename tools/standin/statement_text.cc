// Recognition of statements by their text.

#include "statement_text.h"

#include <regex>

namespace standin {

namespace {

constexpr auto kFlags =
    std::regex::icase | std::regex::ECMAScript | std::regex::optimize;

/// Reads past quoted text; `at` is at the opening quote.
std::size_t SkipQuoted(std::string_view query, std::size_t at) {
  const std::size_t end = query.find(query[at], at + 1);
  return end == std::string_view::npos ? query.size() : end + 1;
}

/// Reads past a comment that starts at `at`; `at` itself if none does.
std::size_t SkipComment(std::string_view query, std::size_t at) {
  const std::string_view rest = query.substr(at);
  if (rest.starts_with("--")) {
    const std::size_t end = query.find('\n', at);
    return end == std::string_view::npos ? query.size() : end + 1;
  }
  if (rest.starts_with("/*")) {
    const std::size_t end = query.find("*/", at + 2);
    return end == std::string_view::npos ? query.size() : end + 2;
  }
  return at;
}

std::string Trim(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n\f\v";
  const std::size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return "";
  }
  const std::size_t last = text.find_last_not_of(kSpace);
  return std::string(text.substr(first, last - first + 1));
}

/// The texts between semicolons, comments replaced by a space.
std::vector<std::string> Split(std::string_view query) {
  std::vector<std::string> parts(1);
  std::size_t at = 0;
  while (at < query.size()) {
    const std::size_t comment = SkipComment(query, at);
    if (comment != at) {
      parts.back() += ' ';
      at = comment;
      continue;
    }
    if (query[at] == '\'' || query[at] == '"') {
      const std::size_t end = SkipQuoted(query, at);
      parts.back() += query.substr(at, end - at);
      at = end;
      continue;
    }
    if (query[at] == ';') {
      parts.emplace_back();
    } else {
      parts.back() += query[at];
    }
    ++at;
  }
  return parts;
}

struct pattern {
  std::regex text;
  statement_kind kind;
};

const std::vector<pattern>& Patterns() {
  static const std::vector<pattern> kPatterns = {
      {std::regex(R"((begin|start\s+transaction)\b.*)", kFlags),
       statement_kind::kBegin},
      {std::regex(R"((commit|end)(\s+(work|transaction))?)", kFlags),
       statement_kind::kCommit},
      {std::regex(R"((rollback|abort)(\s+(work|transaction))?)", kFlags),
       statement_kind::kRollback},
      {std::regex(R"((savepoint|release|rollback\s+to)\s+.*)", kFlags),
       statement_kind::kSavepoint},
      {std::regex(
           R"(set\s+(?:session\s+)?group\.expected_term\s*(?:=|\sto\s)\s*'?(\d+)'?)",
           kFlags),
       statement_kind::kSetTerm},
      {std::regex(R"((set|reset|discard)\s[^]*)", kFlags),
       statement_kind::kSet},
      {std::regex(R"(show\s+(\S+))", kFlags), statement_kind::kShow},
      {std::regex(R"(select\s+group_status\s*\(\s*\))", kFlags),
       statement_kind::kGroupStatus},
      {std::regex(R"(select\s+group_move\s*\(\s*(\d+)\s*\))", kFlags),
       statement_kind::kGroupMove},
      {std::regex(R"(select\s+group_promote\s*\(\s*(\d+)\s*\))", kFlags),
       statement_kind::kGroupPromote},
      {std::regex(R"(select\s+pg_sleep\s*\(\s*([0-9.]+)\s*\))", kFlags),
       statement_kind::kSleep},
  };
  return kPatterns;
}

statement ReadLockingSelect(const std::string& text) {
  static const std::regex kLock(
      R"(\s+for\s+(no\s+key\s+update|update|key\s+share|share)(\s+nowait|\s+skip\s+locked)?$)",
      kFlags);
  std::smatch match;
  if (std::regex_search(text, match, kLock)) {
    return {statement_kind::kLockingSelect, match.prefix().str(), 0, 0};
  }
  return {statement_kind::kSql, text, 0, 0};
}

statement Read(const std::string& text) {
  // The patterns are for short control statements; long texts are SQL.
  constexpr std::size_t kLongestControl = 200;
  if (text.size() > kLongestControl) {
    return ReadLockingSelect(text);
  }
  std::smatch match;
  for (const pattern& each : Patterns()) {
    if (!std::regex_match(text, match, each.text)) {
      continue;
    }
    statement found{each.kind, text, 0, 0};
    if (each.kind == statement_kind::kSleep) {
      found.seconds = std::stod(match[1].str());
    } else if (each.kind == statement_kind::kShow) {
      found.text = match[1].str();
    } else if (each.kind == statement_kind::kSetTerm ||
               each.kind == statement_kind::kGroupMove ||
               each.kind == statement_kind::kGroupPromote) {
      found.number = std::stoull(match[1].str());
    }
    return found;
  }
  return ReadLockingSelect(text);
}

}  // namespace

std::vector<statement> ReadStatements(std::string_view query) {
  std::vector<statement> statements;
  for (const std::string& part : Split(query)) {
    const std::string text = Trim(part);
    if (!text.empty()) {
      statements.push_back(Read(text));
    }
  }
  return statements;
}

}  // namespace standin
