// A caller's connection.

#include "link.h"

#include <poll.h>

#include <array>
#include <string_view>

namespace load {

namespace {

constexpr const char* kConnectTimeoutS = "5";
constexpr std::string_view kVerdict = "verdict: ";

std::string Field(const PGresult* result, int code) {
  const char* text = PQresultErrorField(result, code);
  return text == nullptr ? "" : text;
}

/// Reads the line of a DETAIL that names the verdict.
std::optional<outcome> VerdictOf(const std::string& detail) {
  const std::size_t at = detail.find(kVerdict);
  if (at == std::string::npos) {
    return std::nullopt;
  }
  const std::string_view rest =
      std::string_view(detail).substr(at + kVerdict.size());
  if (rest.starts_with("not_run")) return outcome::kNotRun;
  if (rest.starts_with("may_have_run")) return outcome::kMayHaveRun;
  if (rest.starts_with("ran")) return outcome::kRan;
  return std::nullopt;
}

}  // namespace

const char* OutcomeName(outcome value) {
  switch (value) {
    case outcome::kAccepted:
      return "accepted";
    case outcome::kNotRun:
      return "not_run";
    case outcome::kMayHaveRun:
      return "may_have_run";
    case outcome::kRan:
      return "ran";
  }
  return "";
}

std::string reply::Value() const {
  if (rows.empty() || rows.front().empty()) {
    return "";
  }
  return rows.front().front().value_or("");
}

reply link::Run(const std::string& text) {
  const auto deadline = std::chrono::steady_clock::now() + options_.timeout;
  if (!Open() && !Connect()) {
    reply refused;
    refused.effect = outcome::kNotRun;
    refused.sent = false;
    refused.sqlstate = "08001";
    refused.message = "no connection to " + options_.target;
    return refused;
  }
  if (PQsendQuery(connection_.get(), text.c_str()) == 0) {
    return Lost("could not send");
  }
  reply answer;
  while (true) {
    if (!WaitForAnswer(deadline)) {
      return Lost("no answer in time, or the connection broke");
    }
    const result_handle result(PQgetResult(connection_.get()));
    if (!result) {
      break;
    }
    Take(answer, result.get());
  }
  if (PQstatus(connection_.get()) != CONNECTION_OK) {
    answer.broken = true;
    Close();
  }
  return answer;
}

std::string link::Parameter(const char* name) const {
  const char* value =
      Open() ? PQparameterStatus(connection_.get(), name) : nullptr;
  return value == nullptr ? "" : value;
}

bool link::Connect() {
  const std::size_t colon = options_.target.rfind(':');
  const std::string host = options_.target.substr(0, colon);
  const std::string port = options_.target.substr(colon + 1);
  const std::array<const char*, 10> names = {"host",
                                             "port",
                                             "dbname",
                                             "user",
                                             "application_name",
                                             "options",
                                             "connect_timeout",
                                             "sslmode",
                                             "gssencmode",
                                             nullptr};
  const std::array<const char*, 10> values = {host.c_str(),
                                              port.c_str(),
                                              options_.service.c_str(),
                                              "load",
                                              options_.name.c_str(),
                                              options_.options.c_str(),
                                              kConnectTimeoutS,
                                              "disable",
                                              "disable",
                                              nullptr};
  connection_.reset(PQconnectdbParams(names.data(), values.data(), 0));
  if (PQstatus(connection_.get()) != CONNECTION_OK) {
    Close();
  }
  return Open();
}

bool link::WaitForAnswer(std::chrono::steady_clock::time_point deadline) {
  while (PQisBusy(connection_.get()) != 0) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      return false;
    }
    pollfd ready{PQsocket(connection_.get()), POLLIN, 0};
    poll(&ready, 1, static_cast<int>(left.count()));
    if (PQconsumeInput(connection_.get()) == 0) {
      return false;
    }
  }
  return true;
}

reply link::Lost(const char* why) {
  reply lost;
  lost.effect = outcome::kMayHaveRun;
  lost.broken = true;
  lost.sqlstate = "08006";
  lost.message = why;
  Close();
  return lost;
}

void link::Take(reply& into, const PGresult* result) {
  const ExecStatusType status = PQresultStatus(result);
  if (status == PGRES_TUPLES_OK) {
    into.rows.clear();
    for (int row = 0; row < PQntuples(result); ++row) {
      auto& cells = into.rows.emplace_back();
      for (int column = 0; column < PQnfields(result); ++column) {
        const bool null = PQgetisnull(result, row, column) != 0;
        cells.push_back(
            null ? std::nullopt
                 : std::optional<std::string>(PQgetvalue(result, row, column)));
      }
    }
    return;
  }
  if (status == PGRES_COMMAND_OK || status == PGRES_EMPTY_QUERY) {
    return;
  }
  const auto verdict = VerdictOf(Field(result, PG_DIAG_MESSAGE_DETAIL));
  into.verdict = verdict.has_value();
  into.effect = verdict.value_or(outcome::kMayHaveRun);
  into.sqlstate = Field(result, PG_DIAG_SQLSTATE);
  into.message = Field(result, PG_DIAG_MESSAGE_PRIMARY);
}

}  // namespace load
