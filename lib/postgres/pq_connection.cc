// Drives libpq's non-blocking calls from the loop's callbacks. Each callback
// ends with its call to the listener, which may close the connection.

#include "pq_connection.h"

#include <array>
#include <cassert>

namespace marjoramslip::shell {

namespace {

/// How long the kernel waits for acknowledgement of what was sent; bounds
/// cancel requests too.
constexpr const char* kTcpUserTimeoutMs = "3000";
constexpr const char* kStateParameter = "group_state";

std::string FieldOf(const PGresult* value, int code) {
  const char* const text = PQresultErrorField(value, code);
  return text == nullptr ? std::string() : std::string(text);
}

void ReceiveNotice(void* listener, const PGresult* value) {
  static_cast<pq_listener*>(listener)->OnNotice(ErrorFieldsOf(value));
}

}  // namespace

wire::error_fields ErrorFieldsOf(const PGresult* value) {
  wire::error_fields fields;
  const std::string severity = FieldOf(value, PG_DIAG_SEVERITY);
  if (!severity.empty()) {
    fields.severity = severity;
  }
  fields.sqlstate = FieldOf(value, PG_DIAG_SQLSTATE);
  fields.message = FieldOf(value, PG_DIAG_MESSAGE_PRIMARY);
  fields.detail = FieldOf(value, PG_DIAG_MESSAGE_DETAIL);
  fields.hint = FieldOf(value, PG_DIAG_MESSAGE_HINT);
  return fields;
}

bool pq_connection::Start(const pq_target& target) {
  assert(connection_ == nullptr);
  const std::string port = std::to_string(target.port);
  const std::array<const char*, 11> keywords = {"host",
                                                "port",
                                                "user",
                                                "password",
                                                "dbname",
                                                "options",
                                                "sslmode",
                                                "gssencmode",
                                                "application_name",
                                                "tcp_user_timeout",
                                                nullptr};
  const std::array<const char*, 11> values = {target.host.c_str(),
                                              port.c_str(),
                                              target.user.c_str(),
                                              target.password.c_str(),
                                              target.database.c_str(),
                                              target.options.c_str(),
                                              "disable",
                                              "disable",
                                              target.application_name.c_str(),
                                              kTcpUserTimeoutMs,
                                              nullptr};
  connection_ = PQconnectStartParams(keywords.data(), values.data(), 0);
  if (connection_ == nullptr || Broken()) {
    return false;
  }
  // Verbose messages name the SQLSTATE of a refusal.
  PQsetErrorVerbosity(connection_, PQERRORS_VERBOSE);
  PQsetNoticeReceiver(connection_, ReceiveNotice, &listener_);
  connecting_ = true;
  Watch(false, true);
  return true;
}

void pq_connection::Close() {
  Unwatch();
  if (connection_ == nullptr) {
    return;
  }
  PQsetNoticeReceiver(
      connection_, [](void*, const PGresult*) {}, nullptr);
  PQfinish(connection_);
  connection_ = nullptr;
  connecting_ = false;
}

query_start pq_connection::Query(const std::string& text) {
  // What the endpoint has said meanwhile may be the end of the connection.
  const bool alive = PQconsumeInput(connection_) == 1;
  const bool idle = PQisBusy(connection_) == 0;
  if (!alive || !idle || Broken()) {
    return query_start::kNotSent;
  }
  if (PQsendQuery(connection_, text.c_str()) == 0) {
    return query_start::kBroken;
  }
  PQsetSingleRowMode(connection_);
  return Flush() ? query_start::kSent : query_start::kBroken;
}

void pq_connection::SetReading(bool reading) {
  if (reading == reading_ || !socket_) {
    return;
  }
  reading_ = reading;
  loop_.Update(*socket_, reading_, writing_);
}

std::optional<endpoint_state> pq_connection::State() const {
  const char* const text = PQparameterStatus(connection_, kStateParameter);
  if (text == nullptr) {
    return std::nullopt;
  }
  return ParseEndpointState(text);
}

transaction_status pq_connection::Transaction() const {
  switch (PQtransactionStatus(connection_)) {
    case PQTRANS_IDLE:
      return transaction_status::kIdle;
    case PQTRANS_INERROR:
      return transaction_status::kFailed;
    default:
      return transaction_status::kOpen;
  }
}

std::optional<std::string> pq_connection::Literal(const std::string& text) {
  char* const quoted = PQescapeLiteral(connection_, text.data(), text.size());
  if (quoted == nullptr) {
    return std::nullopt;
  }
  std::string literal = quoted;
  PQfreemem(quoted);
  return literal;
}

std::string pq_connection::Reason() const {
  return connection_ == nullptr ? "out of memory" : PQerrorMessage(connection_);
}

void pq_connection::OnReadable() {
  if (connecting_) {
    Connect();
    return;
  }
  if (PQconsumeInput(connection_) == 0) {
    listener_.OnLost();
    return;
  }
  if (writing_ && !Flush()) {
    listener_.OnLost();
    return;
  }
  listener_.OnInput();
}

void pq_connection::OnWritable() {
  if (connecting_) {
    Connect();
    return;
  }
  if (!Flush()) {
    listener_.OnLost();
  }
}

void pq_connection::OnSocketError() {
  if (connecting_) {
    Connect();
    return;
  }
  listener_.OnLost();
}

void pq_connection::Connect() {
  // libpq may replace its socket in here.
  Unwatch();
  switch (PQconnectPoll(connection_)) {
    case PGRES_POLLING_READING:
      Watch(true, false);
      return;
    case PGRES_POLLING_WRITING:
      Watch(false, true);
      return;
    case PGRES_POLLING_OK:
      break;
    default:
      listener_.OnConnectFailed(Reason());
      return;
  }
  connecting_ = false;
  PQsetnonblocking(connection_, 1);
  Watch(true, false);
  listener_.OnConnected();
}

void pq_connection::Watch(bool readable, bool writable) {
  socket_.emplace(PQsocket(connection_));
  reading_ = readable;
  writing_ = writable;
  loop_.Add(*socket_, this, readable, writable);
}

void pq_connection::Unwatch() {
  if (!socket_) {
    return;
  }
  loop_.Remove(*socket_);
  socket_.reset();
}

bool pq_connection::Flush() {
  const int left = PQflush(connection_);
  if (left < 0) {
    return false;
  }
  const bool writing = left > 0;
  if (writing != writing_) {
    writing_ = writing;
    loop_.Update(*socket_, reading_, writing_);
  }
  return true;
}

}  // namespace marjoramslip::shell
