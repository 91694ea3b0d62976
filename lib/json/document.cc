// Parsing, comments, duplicated keys and the naming of faults.

#include "marjoramslip/json/document.h"

#include <Poco/Exception.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <sstream>
#include <utility>

namespace marjoramslip::json {
namespace {

constexpr std::size_t kMaxDepth = 32;

/// Builds the document and notices keys that occur twice.
class strict_handler : public Poco::JSON::ParseHandler {
 public:
  explicit strict_handler(std::vector<problem>& problems)
      : ParseHandler(true), problems_(problems) {}

  void startObject() override {  // NOLINT(readability-identifier-naming)
    Enter(false);
    ParseHandler::startObject();
  }
  void endObject() override {  // NOLINT(readability-identifier-naming)
    frames_.pop_back();
    ParseHandler::endObject();
  }
  void startArray() override {  // NOLINT(readability-identifier-naming)
    Enter(true);
    ParseHandler::startArray();
  }
  void endArray() override {  // NOLINT(readability-identifier-naming)
    frames_.pop_back();
    ParseHandler::endArray();
  }
  void key(
      const std::string& k) override {  // NOLINT(readability-identifier-naming)
    frame& top = frames_.back();
    top.key = k;
    if (!top.seen.insert(k).second) {
      Where().Fault("occurs twice");
    }
    ParseHandler::key(k);
  }

  /// The last key or item that was begun, for faults of syntax.
  place Reached() const {
    place at(problems_);
    for (const frame& one : frames_) {
      if (one.array ? one.items == 0 : one.key.empty()) {
        break;
      }
      at = one.array ? at.Item(one.items - 1) : at.Member(one.key);
    }
    return at;
  }

 private:
  struct frame {
    bool array = false;
    std::size_t items = 0;
    std::string key;
    std::set<std::string> seen;
  };

  void Enter(bool array) {
    if (!frames_.empty()) {
      ++frames_.back().items;
    }
    frames_.push_back({array, 0, {}, {}});
  }

  place Where() const {
    place at(problems_);
    for (const frame& one : frames_) {
      at = one.array ? at.Item(one.items - 1) : at.Member(one.key);
    }
    return at;
  }

  std::vector<problem>& problems_;
  std::vector<frame> frames_;
};

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

/// Blanks the comment that starts at `at`; returns where it ends.
std::size_t BlankComment(std::string& text, std::size_t at) {
  const bool line = text[at + 1] == '/';
  const std::string_view closing = line ? "\n" : "*/";
  std::size_t stop = text.find(closing, at + 2);
  if (stop == std::string::npos) {
    // An unfinished block is left, so that the parser refuses it.
    if (!line) {
      return text.size();
    }
    stop = text.size();
  } else if (!line) {
    stop += closing.size();
  }
  for (std::size_t i = at; i < stop; ++i) {
    if (text[i] != '\n') {
      text[i] = ' ';
    }
  }
  return stop;
}

}  // namespace

place::place(std::string path, std::vector<problem>* problems)
    : path_(std::move(path)), problems_(problems) {}

place place::Member(std::string_view key) const {
  return {path_ + (path_.empty() ? "" : ".") + std::string(key), problems_};
}

place place::Item(std::size_t index) const {
  return {path_ + "[" + std::to_string(index) + "]", problems_};
}

void place::Fault(std::string message) const {
  problems_->push_back({path_, std::move(message)});
}

void place::Warn(std::string message) const {
  problems_->push_back({path_, std::move(message), severity::kWarning});
}

std::string BlankComments(std::string_view text) {
  std::string result(text);
  bool quoted = false;
  for (std::size_t at = 0; at < result.size(); ++at) {
    const char c = result[at];
    if (quoted && c == '\\') {
      ++at;
    } else if (c == '"') {
      quoted = !quoted;
    } else if (!quoted && c == '/' && at + 1 < result.size() &&
               (result[at + 1] == '/' || result[at + 1] == '*')) {
      at = BlankComment(result, at) - 1;
    }
  }
  return result;
}

Poco::Dynamic::Var ParseDocument(std::string_view text,
                                 std::vector<problem>& problems) {
  const Poco::SharedPtr<strict_handler> handler = new strict_handler(problems);
  try {
    Poco::JSON::Parser parser(handler);
    parser.setDepth(kMaxDepth);
    parser.parse(BlankComments(text));
    return handler->asVar();
  } catch (const Poco::Exception& caught) {
    const place at = handler->Reached();
    at.Fault(
        (at.Path().empty() ? "is not JSON: " : "is not JSON from here on: ") +
        caught.displayText());
  }
  return {};
}

void WarnOfRepeatedKeys(std::string_view text, std::vector<problem>& problems) {
  std::vector<problem> found;
  if (ParseDocument(text, found).isEmpty()) {
    return;
  }
  for (problem& repeated : found) {
    repeated.message += "; the last one counts, remove the others";
    repeated.level = severity::kWarning;
    problems.push_back(std::move(repeated));
  }
}

std::string FormatDocument(const Poco::Dynamic::Var& document,
                           unsigned indent) {
  std::ostringstream out;
  Poco::JSON::Stringifier::stringify(document, out, indent);
  return out.str();
}

std::string_view Nearest(std::string_view word,
                         std::span<const std::string_view> candidates) {
  std::string_view best;
  // More than half of the letters wrong is no resemblance.
  std::size_t least = std::max<std::size_t>(word.size() / 2, 1) + 1;
  for (const std::string_view candidate : candidates) {
    const std::size_t distance = EditDistance(word, candidate);
    if (distance < least) {
      least = distance;
      best = candidate;
    }
  }
  return best;
}

std::string Summarize(const std::vector<problem>& problems) {
  std::string text;
  for (const problem& one : problems) {
    text += text.empty() ? "" : "; ";
    text += one.path + (one.path.empty() ? "" : " ") + one.message;
  }
  return text;
}

}  // namespace marjoramslip::json
