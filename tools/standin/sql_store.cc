// SQLite in memory, with answers and errors as PostgreSQL words them.

#include "sql_store.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <new>
#include <sstream>
#include <string_view>

namespace standin {

namespace {

constexpr const char* kRequestsTable =
    "CREATE TABLE IF NOT EXISTS marjoramslip_requests("
    "id text primary key, tag text)";

struct finalizer {
  void operator()(sqlite3_stmt* prepared) const { sqlite3_finalize(prepared); }
};
using prepared_statement = std::unique_ptr<sqlite3_stmt, finalizer>;

prepared_statement Prepare(sqlite3* handle, const std::string& text) {
  sqlite3_stmt* prepared = nullptr;
  sqlite3_prepare_v2(handle, text.c_str(), static_cast<int>(text.size()),
                     &prepared, nullptr);
  return prepared_statement(prepared);
}

struct message_state {
  std::string_view part;
  const char* sqlstate;
};

constexpr std::array<message_state, 8> kMessageStates = {{
    {"no such table", "42P01"},
    {"no such column", "42703"},
    {"no such function", "42883"},
    {"already exists", "42P07"},
    {"no such savepoint", "3B001"},
    {"syntax error", "42601"},
    {"incomplete input", "42601"},
    {"unrecognized token", "42601"},
}};

std::string SqlstateOf(int code, std::string_view message) {
  switch (code) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_ROWID:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
      return "23503";
    default:
      break;
  }
  for (const message_state& each : kMessageStates) {
    if (message.find(each.part) != std::string_view::npos) {
      return each.sqlstate;
    }
  }
  return "XX000";
}

std::optional<std::string> CellOf(sqlite3_stmt* prepared, int column) {
  if (sqlite3_column_type(prepared, column) == SQLITE_NULL) {
    return std::nullopt;
  }
  const auto* bytes =
      static_cast<const char*>(sqlite3_column_blob(prepared, column));
  const int size = sqlite3_column_bytes(prepared, column);
  return bytes == nullptr ? std::string()
                          : std::string(bytes, static_cast<std::size_t>(size));
}

void ReadColumns(sqlite3_stmt* prepared, sql_answer& answer) {
  const int columns = sqlite3_column_count(prepared);
  answer.has_rows = columns > 0;
  for (int column = 0; column < columns; ++column) {
    answer.names.emplace_back(sqlite3_column_name(prepared, column));
    const char* declared = sqlite3_column_decltype(prepared, column);
    std::string type = declared == nullptr ? "" : declared;
    std::transform(type.begin(), type.end(), type.begin(),
                   [](unsigned char each) { return std::tolower(each); });
    answer.integers.push_back(type.find("int") != std::string::npos);
  }
}

void ReadRow(sqlite3_stmt* prepared, sql_answer& answer) {
  const bool first = answer.rows.empty();
  auto& row = answer.rows.emplace_back();
  for (std::size_t column = 0; column < answer.names.size(); ++column) {
    const int index = static_cast<int>(column);
    const int type = sqlite3_column_type(prepared, index);
    if (type == SQLITE_INTEGER && first) {
      answer.integers[column] = true;
    } else if (type != SQLITE_INTEGER && type != SQLITE_NULL) {
      answer.integers[column] = false;
    }
    row.push_back(CellOf(prepared, index));
  }
}

std::string UpperWords(const std::string& text, int count) {
  std::istringstream in(text);
  std::string words;
  std::string word;
  for (int index = 0; index < count && in >> word; ++index) {
    words += (index > 0 ? " " : "") + word;
  }
  std::transform(words.begin(), words.end(), words.begin(),
                 [](unsigned char each) { return std::toupper(each); });
  return words;
}

}  // namespace

sql_answer Refusal(std::string sqlstate, std::string message) {
  sql_answer answer;
  answer.error = sql_error{std::move(sqlstate), std::move(message)};
  return answer;
}

sql_answer OneText(std::string name, std::string text) {
  sql_answer answer;
  answer.has_rows = true;
  answer.names = {std::move(name)};
  answer.integers = {false};
  answer.rows = {{std::move(text)}};
  answer.tag = "SELECT 1";
  return answer;
}

sql_store::sql_store() { Reset(); }

void sql_store::Reset() {
  sqlite3* handle = nullptr;
  if (sqlite3_open(":memory:", &handle) != SQLITE_OK) {
    throw std::bad_alloc();
  }
  handle_.reset(handle);
  sqlite3_extended_result_codes(handle, 1);
  Run(kRequestsTable);
}

sql_answer sql_store::Run(const std::string& text) {
  const prepared_statement prepared = Prepare(handle_.get(), text);
  if (!prepared) {
    return Failure();
  }
  sql_answer answer;
  ReadColumns(prepared.get(), answer);
  int code = sqlite3_step(prepared.get());
  while (code == SQLITE_ROW) {
    ReadRow(prepared.get(), answer);
    code = sqlite3_step(prepared.get());
  }
  if (code != SQLITE_DONE) {
    return Failure();
  }
  answer.tag = TagOf(text, answer);
  return answer;
}

bool sql_store::Writes(const std::string& text) {
  const prepared_statement prepared = Prepare(handle_.get(), text);
  return prepared && sqlite3_stmt_readonly(prepared.get()) == 0;
}

sql_answer sql_store::Failure() const {
  const std::string message = sqlite3_errmsg(handle_.get());
  return Refusal(SqlstateOf(sqlite3_extended_errcode(handle_.get()), message),
                 message);
}

std::string sql_store::TagOf(const std::string& text,
                             const sql_answer& answer) const {
  const std::string verb = UpperWords(text, 1);
  const std::string changes = std::to_string(sqlite3_changes(handle_.get()));
  if (verb == "INSERT" || verb == "REPLACE") {
    return "INSERT 0 " + changes;
  }
  if (verb == "UPDATE" || verb == "DELETE") {
    return verb + " " + changes;
  }
  if (answer.has_rows) {
    return "SELECT " + std::to_string(answer.rows.size());
  }
  return UpperWords(text, 2);
}

}  // namespace standin
