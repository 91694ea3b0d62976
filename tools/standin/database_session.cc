// One connection to a database stand-in.

#include "database_session.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <regex>
#include <utility>

#include "line_socket.h"
#include "replication.h"

namespace standin {

namespace wire = marjoramslip::wire;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMessageLimit = 16U << 20U;
constexpr auto kLockTimeout = 5s;
constexpr auto kLockStep = 50ms;
constexpr auto kReceiveStep = 20ms;

constexpr std::array<std::pair<const char*, const char*>, 6> kParameters = {{
    {"server_version", "15.0"},
    {"server_encoding", "UTF8"},
    {"client_encoding", "UTF8"},
    {"DateStyle", "ISO, MDY"},
    {"integer_datetimes", "on"},
    {"standard_conforming_strings", "on"},
}};

std::string ParameterOf(const wire::startup& first, const char* name) {
  const auto found = first.parameters.find(name);
  return found == first.parameters.end() ? "" : found->second;
}

wire::ready_status StatusOf(const transaction& own) {
  switch (own.state) {
    case transaction::status::kIdle:
      return wire::ready_status::kIdle;
    case transaction::status::kOpen:
      return wire::ready_status::kInTransaction;
    case transaction::status::kFailed:
      return wire::ready_status::kFailed;
  }
  return wire::ready_status::kIdle;
}

bool OpensImplicit(const statement& what) {
  return what.kind == statement_kind::kSql ||
         what.kind == statement_kind::kSleep ||
         what.kind == statement_kind::kLockingSelect;
}

sql_answer Show(const std::string& name) {
  for (const auto& [parameter, value] : kParameters) {
    if (name == parameter) {
      return OneText(name, value);
    }
  }
  return Refusal("42704", "unrecognized configuration parameter " + name);
}

}  // namespace

database_session::database_session(database_context& context,
                                   std::uint32_t process, std::uint32_t secret,
                                   const Poco::Net::StreamSocket& socket)
    : context_(context),
      process_(process),
      secret_(secret),
      socket_(socket),
      decoder_(kMessageLimit) {
  own_.id = process;
}

void database_session::Serve() {
  try {
    socket_.setNoDelay(true);
    ServeMessages();
  } catch (const Poco::Exception&) {
    // The connection broke: nothing is left to tell the other side.
  } catch (const std::exception& error) {
    std::cerr << "connection ended: " << error.what() << std::endl;
  }
  context_.state.Abort(own_);
}

void database_session::SilenceIfNamed(const link_faults& faults) {
  const std::lock_guard lock(name_mutex_);
  if (faults.CallerCut(application_name_)) {
    silent_ = true;
  }
}

void database_session::Cancel(std::uint32_t process, std::uint32_t secret) {
  if (process == process_ && secret == secret_) {
    cancelled_ = true;
  }
}

std::optional<database_session::message> database_session::Receive() {
  std::array<char, 16384> chunk{};
  while (true) {
    if (silent_) {
      StaySilent();
      return std::nullopt;
    }
    auto next = decoder_.Next();
    if (!next) {
      Refuse("FATAL", "08P01", "malformed message");
      return std::nullopt;
    }
    if (next.value()) {
      context_.faults.WaitWhileFrozen();
      return std::move(*next.value());
    }
    if (!socket_.poll(ToTimespan(kReceiveStep),
                      Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    const int count =
        socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    if (count <= 0) {
      return std::nullopt;
    }
    decoder_.Feed({chunk.data(), static_cast<std::size_t>(count)});
  }
}

void database_session::ServeMessages() {
  while (const auto received = Receive()) {
    if (const auto* first = std::get_if<wire::startup>(&*received)) {
      if (!ParameterOf(*first, kReplicationParameter).empty()) {
        return ServePulls(socket_, context_.state, context_.faults);
      }
      return ServeCaller(*first);
    }
    if (const auto* cancel = std::get_if<wire::cancel_request>(&*received)) {
      return context_.cancel(cancel->process, cancel->secret);
    }
    out_ += 'N';  // Neither TLS nor GSSAPI.
    if (!Flush()) {
      return;
    }
  }
}

void database_session::ServeCaller(const wire::startup& first) {
  {
    const std::lock_guard lock(name_mutex_);
    application_name_ = ParameterOf(first, "application_name");
  }
  if (context_.faults.CallerCut(ParameterOf(first, "application_name"))) {
    return;
  }
  if (!context_.connections.TryTake()) {
    return Refuse("FATAL", "53300", "sorry, too many clients already");
  }
  const held_unit connection(context_.connections);
  SleepUnless(silent_, context_.costs.connect);
  ReadStartupOptions(first);
  Welcome();
  if (Flush()) {
    ServeQueries();
  }
}

void database_session::ReadStartupOptions(const wire::startup& first) {
  static const std::regex kOption(R"(group\.expected_term=(\d+))");
  const std::string options = ParameterOf(first, "options");
  std::smatch match;
  if (std::regex_search(options, match, kOption)) {
    expected_term_ = std::stoull(match[1].str());
  }
  const std::string direct = ParameterOf(first, "group.expected_term");
  if (!direct.empty()) {
    expected_term_ = std::stoull(direct);
  }
}

void database_session::Welcome() {
  wire::AppendAuthenticationOk(out_);
  for (const auto& [name, value] : kParameters) {
    wire::AppendParameterStatus(out_, name, value);
  }
  wire::AppendBackendKeyData(out_, process_, secret_);
  AppendReady();
}

void database_session::ServeQueries() {
  while (const auto received = Receive()) {
    if (std::holds_alternative<wire::terminate>(*received)) {
      return;
    }
    if (const auto* query = std::get_if<wire::query>(&*received)) {
      Query(query->text);
    } else if (std::holds_alternative<wire::sync>(*received)) {
      skip_to_sync_ = false;
      AppendReady();
    } else if (!skip_to_sync_) {
      skip_to_sync_ = true;
      Refuse("ERROR", "0A000", "only simple queries are served");
    }
    if (!Flush()) {
      return;
    }
  }
}

void database_session::Query(const std::string& text) {
  cancelled_ = false;
  const std::vector<statement> statements = ReadStatements(text);
  if (statements.empty()) {
    wire::AppendEmptyQueryResponse(out_);
  }
  for (const statement& each : statements) {
    const sql_answer answer =
        statements.size() > 1 ? RunOfMany(each) : Run(each);
    AppendAnswer(answer);
    if (answer.error) {
      break;
    }
  }
  EndImplicit();
  AppendReady();
}

sql_answer database_session::RunOfMany(const statement& what) {
  const bool idle = own_.state == transaction::status::kIdle;
  if (idle && OpensImplicit(what)) {
    sql_answer begun = Run({statement_kind::kBegin, "", 0, 0});
    if (begun.error) {
      return begun;
    }
    own_.implicit = true;
  }
  return Run(what);
}

void database_session::EndImplicit() {
  if (!std::exchange(own_.implicit, false)) {
    return;
  }
  if (own_.state != transaction::status::kOpen) {
    return context_.state.Abort(own_);
  }
  const auto ended = context_.state.Execute(
      own_, {statement_kind::kCommit, "", 0, 0}, expected_term_);
  if (ended && ended->error) {
    AppendAnswer(*ended);
  }
}

sql_answer database_session::Run(const statement& what) {
  switch (what.kind) {
    case statement_kind::kGroupStatus:
      return OneText("group_status", context_.state.State());
    case statement_kind::kGroupMove:
      return OneText("group_move", context_.state.Move(what.number));
    case statement_kind::kGroupPromote:
      return Promote(what.number);
    case statement_kind::kSetTerm:
    case statement_kind::kSet:
      return Set(what);
    case statement_kind::kShow:
      return Show(what.text);
    case statement_kind::kBegin:
    case statement_kind::kRollback:
      return *context_.state.Execute(own_, what, expected_term_);
    default:
      return RunWithSlot(what);
  }
}

sql_answer database_session::RunWithSlot(const statement& what) {
  const auto deadline = std::chrono::steady_clock::now() + kLockTimeout;
  while (true) {
    const auto now = std::chrono::steady_clock::now();
    if (cancelled_) {
      return FailTransaction(
          Refusal("57014", "canceling statement due to user request"));
    }
    if (now >= deadline) {
      return FailTransaction(
          Refusal("55P03", "another transaction holds the lock"));
    }
    const auto step = std::min<std::chrono::steady_clock::time_point>(
        deadline, now + kLockStep);
    if (!context_.state.AwaitFree(own_, step)) {
      continue;
    }
    if (auto answer = RunOnce(what)) {
      return std::move(*answer);
    }
  }
}

std::optional<sql_answer> database_session::RunOnce(const statement& what) {
  if (!context_.slots.Take(cancelled_)) {
    return std::nullopt;
  }
  const held_unit slot(context_.slots);
  const bool sleeps = what.kind == statement_kind::kSleep;
  const auto asked = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double>(what.seconds));
  if (!SleepUnless(cancelled_, context_.costs.service + asked)) {
    return std::nullopt;
  }
  if (sleeps) {
    return context_.state.Execute(
        own_, {statement_kind::kSql, "SELECT '' AS pg_sleep", 0, 0},
        expected_term_);
  }
  return context_.state.Execute(own_, what, expected_term_);
}

sql_answer database_session::Promote(std::uint64_t term) {
  const auto state = context_.state.Promote(term);
  if (!state) {
    return Refusal(
        "72T01", "the database is at another term: " + context_.state.State());
  }
  return OneText("group_promote", *state);
}

sql_answer database_session::Set(const statement& what) {
  if (what.kind == statement_kind::kSetTerm) {
    expected_term_ = what.number;
  }
  sql_answer answer;
  answer.tag = "SET";
  return answer;
}

sql_answer database_session::FailTransaction(sql_answer refusal) {
  if (own_.state == transaction::status::kOpen) {
    context_.state.Abort(own_);
    own_.state = transaction::status::kFailed;
  }
  return refusal;
}

void database_session::AppendAnswer(const sql_answer& answer) {
  if (answer.error) {
    return Refuse("ERROR", answer.error->sqlstate.c_str(),
                  answer.error->message.c_str());
  }
  if (answer.has_rows) {
    constexpr std::uint32_t kInt8 = 20;
    constexpr std::uint32_t kText = 25;
    std::vector<wire::column> columns;
    for (std::size_t index = 0; index < answer.names.size(); ++index) {
      wire::column& column = columns.emplace_back();
      column.name = answer.names[index];
      column.type = answer.integers[index] ? kInt8 : kText;
      column.size = answer.integers[index] ? 8 : -1;
    }
    wire::AppendRowDescription(out_, columns);
  }
  for (const auto& row : answer.rows) {
    const std::vector<wire::cell> cells(row.begin(), row.end());
    wire::AppendDataRow(out_, cells);
  }
  wire::AppendCommandComplete(out_, answer.tag);
}

void database_session::AppendReady() {
  std::string state = context_.state.State();
  if (state != reported_state_) {
    wire::AppendParameterStatus(out_, "group_state", state);
    reported_state_ = std::move(state);
  }
  wire::AppendReadyForQuery(out_, StatusOf(own_));
}

void database_session::Refuse(const char* severity, const char* sqlstate,
                              const char* text) {
  wire::error_fields fields;
  fields.severity = severity;
  fields.sqlstate = sqlstate;
  fields.message = text;
  wire::AppendErrorResponse(out_, fields);
  if (fields.severity == "FATAL") {
    Flush();
  }
}

bool database_session::Flush() {
  context_.faults.WaitWhileFrozen();
  if (silent_) {
    StaySilent();
    return false;
  }
  std::size_t sent = 0;
  while (sent < out_.size()) {
    sent += static_cast<std::size_t>(socket_.sendBytes(
        out_.data() + sent, static_cast<int>(out_.size() - sent)));
  }
  out_.clear();
  return true;
}

void database_session::StaySilent() {
  context_.state.Abort(own_);
  std::array<char, 4096> ignored{};
  while (socket_.receiveBytes(ignored.data(),
                              static_cast<int>(ignored.size())) > 0) {
  }
}

}  // namespace standin
