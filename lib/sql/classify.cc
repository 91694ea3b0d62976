// Classifies statements by the facts of their parse tree.

#include "marjoramslip/sql/classify.h"

#include <pg_query.h>

#include <algorithm>
#include <string>
#include <vector>

#include "known_names.h"
#include "statement_facts.h"

namespace marjoramslip::sql {
namespace {

constexpr std::string_view kOwnPrefix = "marjoramslip.";

/// A parse result that frees itself.
class parsed_text {
 public:
  explicit parsed_text(const std::string& text)
      : result_(pg_query_parse(text.c_str())) {}
  ~parsed_text() { pg_query_free_parse_result(result_); }
  parsed_text(const parsed_text&) = delete;
  parsed_text& operator=(const parsed_text&) = delete;

  const PgQueryParseResult& Get() const { return result_; }

 private:
  PgQueryParseResult result_;
};

std::string Lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return out;
}

classification Of(statement_class kind) {
  classification out;
  out.kind = kind;
  return out;
}

classification Refuse(statement_class kind, std::string message) {
  classification out = Of(kind);
  out.message = std::move(message);
  return out;
}

classification Unsupported(std::string message) {
  return Refuse(statement_class::kUnsupported, std::move(message));
}

std::string Join(const std::vector<std::string>& values) {
  std::string out;
  for (const std::string& value : values) {
    out += (out.empty() ? "" : ", ") + value;
  }
  return out;
}

/// A statement about the setting `name`.
classification Setting(std::string_view name, std::string tag) {
  const std::string lower = Lower(name);
  const bool own = lower.starts_with(kOwnPrefix);
  const bool show = tag == "SHOW";
  classification out = Of(statement_class::kSetOther);
  if (own) {
    out.kind = show ? statement_class::kShowOwn : statement_class::kSetOwn;
  }
  out.setting = own ? lower.substr(kOwnPrefix.size()) : lower;
  out.tag = std::move(tag);
  return out;
}

classification ClassifySet(const statement_facts& facts) {
  if (facts.kind == "VAR_RESET_ALL") {
    return Setting("all", "RESET");
  }
  if (facts.kind == "VAR_SET_MULTI") {
    return facts.name == "TRANSACTION"
               ? Of(statement_class::kWrite)
               : Unsupported("SET SESSION CHARACTERISTICS is not supported");
  }
  if (facts.kind == "VAR_SET_CURRENT") {
    return Unsupported("SET FROM CURRENT is not supported");
  }
  const bool reset = facts.kind == "VAR_RESET";
  classification out = Setting(facts.name, reset ? "RESET" : "SET");
  if (out.kind == statement_class::kSetOwn && facts.local) {
    return Unsupported("SET LOCAL of a marjoramslip setting is not supported");
  }
  if (facts.kind == "VAR_SET_VALUE") {
    out.value = Join(facts.values);
  }
  return out;
}

classification ClassifyTransaction(const statement_facts& facts) {
  if (facts.chain) {
    return Unsupported("AND CHAIN is not supported");
  }
  if (facts.kind == "TRANS_STMT_BEGIN" || facts.kind == "TRANS_STMT_START") {
    return Of(statement_class::kBegin);
  }
  if (facts.kind == "TRANS_STMT_COMMIT") {
    return Of(statement_class::kCommit);
  }
  if (facts.kind == "TRANS_STMT_ROLLBACK") {
    return Of(statement_class::kRollback);
  }
  if (facts.kind == "TRANS_STMT_ROLLBACK_TO") {
    classification out = Of(statement_class::kWrite);
    out.to_savepoint = true;
    return out;
  }
  const bool savepoint = facts.kind == "TRANS_STMT_SAVEPOINT" ||
                         facts.kind == "TRANS_STMT_RELEASE";
  return savepoint ? Of(statement_class::kWrite)
                   : Unsupported("two-phase commit is not supported");
}

classification ClassifyOne(const statement_facts& facts) {
  if (facts.leaves_traces) {
    return Unsupported(
        "the statement changes the state of its connection or of its group");
  }
  if (IsSessionStatement(facts.node)) {
    return Unsupported(
        "the statement needs a connection of its own or another protocol");
  }
  if (facts.node == "TransactionStmt") {
    return ClassifyTransaction(facts);
  }
  if (facts.node == "VariableSetStmt") {
    return ClassifySet(facts);
  }
  if (facts.node == "VariableShowStmt") {
    return Setting(facts.name, "SHOW");
  }
  const bool query = facts.node == "SelectStmt" || facts.node == "ExplainStmt";
  classification out = Of(query && facts.plain_read ? statement_class::kRead
                                                    : statement_class::kWrite);
  out.atomic = IsAtomicStatement(facts.node) && !facts.concurrent;
  return out;
}

/// The class of several statements sent as one.
classification Combine(const std::vector<statement_facts>& all) {
  bool reads = true;
  bool control = false;
  for (const statement_facts& each : all) {
    classification one = ClassifyOne(each);
    if (one.kind == statement_class::kUnsupported) {
      return one;
    }
    if (one.kind == statement_class::kSetOwn ||
        one.kind == statement_class::kShowOwn ||
        one.kind == statement_class::kSetOther) {
      return Unsupported("settings cannot be combined with other statements");
    }
    reads = reads && one.kind == statement_class::kRead;
    control = control || (one.kind != statement_class::kRead &&
                          one.kind != statement_class::kWrite);
  }
  if (control) {
    return Of(statement_class::kMixed);
  }
  return Of(reads ? statement_class::kRead : statement_class::kWrite);
}

}  // namespace

classification Classify(std::string_view text) {
  if (text.find('\0') != std::string_view::npos) {
    return Refuse(statement_class::kInvalid, "the statement contains a NUL");
  }
  const std::string source(text);
  const parsed_text parsed(source);
  if (parsed.Get().error != nullptr) {
    const char* message = parsed.Get().error->message;
    return Refuse(statement_class::kInvalid,
                  message == nullptr ? "syntax error" : message);
  }
  const std::vector<statement_facts> all =
      ReadFacts(parsed.Get().parse_tree, source);
  if (all.empty()) {
    return Of(statement_class::kEmpty);
  }
  return all.size() == 1 ? ClassifyOne(all.front()) : Combine(all);
}

}  // namespace marjoramslip::sql
