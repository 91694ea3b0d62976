// Streams an endpoint's answer to the sink and tells the core how it ended.

#include "statement_link.h"

#include <cassert>
#include <string_view>
#include <utility>
#include <vector>

#include "marjoramslip/sql/classify.h"

namespace marjoramslip::shell {

namespace {

/// Time between two reports that an answer is arriving.
constexpr duration kProgressInterval = std::chrono::milliseconds(200);

constexpr std::string_view kWrongTermState = "72T01";
constexpr std::string_view kReadOnlyState = "25006";
constexpr std::string_view kTooManyConnectionsState = "53300";
constexpr std::string_view kInvalidTextState = "22021";
constexpr std::string_view kInternalErrorState = "XX000";
constexpr std::string_view kSerializationState = "40001";

/// Makes the implicit transaction of one message read-only: a write that a
/// view or function hides is refused before it has an effect.
constexpr std::string_view kReadOnlyPrefix =
    "SET LOCAL transaction_read_only = on; ";

bool IsFatal(std::string_view severity) {
  return severity == "FATAL" || severity == "PANIC";
}

std::vector<wire::column> ColumnsOf(const PGresult* value) {
  std::vector<wire::column> columns;
  columns.reserve(static_cast<std::size_t>(PQnfields(value)));
  for (int i = 0; i < PQnfields(value); ++i) {
    columns.push_back(
        {.name = PQfname(value, i),
         .type = static_cast<std::uint32_t>(PQftype(value, i)),
         .size = static_cast<std::int16_t>(PQfsize(value, i)),
         .modifier = PQfmod(value, i),
         .format = static_cast<std::int16_t>(PQfformat(value, i))});
  }
  return columns;
}

/// Puts a row's cells, which point into `value`, in place of `cells`.
void ReadCells(const PGresult* value, int row, std::vector<wire::cell>& cells) {
  const int columns = PQnfields(value);
  cells.assign(static_cast<std::size_t>(columns), std::nullopt);
  for (int i = 0; i < columns; ++i) {
    if (PQgetisnull(value, row, i) != 0) {
      continue;
    }
    const auto length = static_cast<std::size_t>(PQgetlength(value, row, i));
    cells[static_cast<std::size_t>(i)] =
        std::string_view(PQgetvalue(value, row, i), length);
  }
}

}  // namespace

void statement_link::Open(const pq_target& target) {
  if (!connection_.Start(target)) {
    Refuse(connection_.Reason());
  }
}

void statement_link::TimeOut() {
  if (!open_) {
    Refuse("timeout while connecting");
  }
}

void statement_link::OnConnected() {
  const std::optional<endpoint_state> state = connection_.State();
  if (!state) {
    Refuse("the endpoint does not report group_state");
    return;
  }
  open_ = true;
  context_.loop.Post(connection_opened{id_, *state});
}

void statement_link::OnConnectFailed(const std::string& reason) {
  Refuse(reason);
}

void statement_link::Refuse(const std::string& reason) {
  const bool limit = reason.find(kTooManyConnectionsState) != std::string::npos;
  context_.loop.Post(connection_refused{id_, limit, reason});
  connection_.Close();
  context_.owner.OnLinkEnded(id_);
}

void statement_link::Send(const send_statement& what) {
  assert(open_ && request_ == request_id{} && "the connection is not idle");
  request_ = what.request;
  script_.reset();
  answer_ = {};
  error_ = {};
  tag_.reset();
  prefixed_ = false;
  columns_sent_ = false;
  forwarded_ = false;
  told_at_ = context_.loop.Now();
  told_held_ = false;
  sent_ = false;
  context_.sink.OnAttempt(request_);
  // Kept for the script, since the caller may go before it is sent.
  text_ = context_.source.TextOf(request_);
  if (!what.idempotency_key.empty()) {
    PrepareScript(what.idempotency_key);
  }
  if (!answer_.sqlstate.empty()) {
    Complete();
    return;
  }
  if (script_) {
    StartQuery(script_->AtStatement() ? text_ : script_->Sql());
    return;
  }
  prefixed_ = what.read_only;
  StartQuery(prefixed_ ? std::string(kReadOnlyPrefix) + text_ : text_);
}

void statement_link::PrepareScript(const std::string& key) {
  const std::optional<std::string> literal = connection_.Literal(key);
  if (!literal) {
    error_.sqlstate = kInvalidTextState;
    error_.message = "The idempotency key is not valid text.";
    answer_.sqlstate = error_.sqlstate;
    return;
  }
  const sql::statement_class kind = sql::Classify(text_).kind;
  const transaction_status transaction = connection_.Transaction();
  if (transaction == transaction_status::kOpen &&
      kind == sql::statement_class::kCommit) {
    script_.emplace(script_kind::kCommit, *literal);
    return;
  }
  const bool alone = kind == sql::statement_class::kRead ||
                     kind == sql::statement_class::kWrite;
  if (transaction == transaction_status::kIdle && alone) {
    script_.emplace(script_kind::kOwnTransaction, *literal);
  }
}

void statement_link::StartQuery(const std::string& text) {
  answer_ = {};
  columns_sent_ = false;
  const query_start started = connection_.Query(text);
  if (started != query_start::kNotSent) {
    sent_ = sent_ || !script_ || script_->MayHaveRun();
  }
  if (started != query_start::kSent) {
    Lose();
  }
}

void statement_link::Resume() {
  if (request_ != request_id{}) {
    connection_.SetReading(true);
    OnInput();
  }
}

void statement_link::OnInput() {
  if (request_ == request_id{}) {
    // Only messages without a request can come; libpq takes them in here.
    static_cast<void>(connection_.Busy());
    if (connection_.Broken()) {
      Lose();
    }
    return;
  }
  if (!Pump()) {
    Lose();
  }
}

/// False if the connection is of no more use.
bool statement_link::Pump() {
  while (!connection_.Busy()) {
    if (AtCallersStatement() && !context_.sink.Accepting(request_)) {
      connection_.SetReading(false);
      TellProgress(true);
      return true;
    }
    const pq_result value = connection_.Next();
    if (connection_.Broken()) {
      return false;
    }
    if (!value) {
      FinishQuery();
      return true;
    }
    if (!Take(value.get())) {
      return false;
    }
  }
  return true;
}

/// False if the result ends the connection.
bool statement_link::Take(const PGresult* value) {
  switch (PQresultStatus(value)) {
    case PGRES_SINGLE_TUPLE:
      TakeRows(value);
      return true;
    case PGRES_TUPLES_OK:
      TakeRows(value);
      TakeTag(PQcmdStatus(const_cast<PGresult*>(value)));
      return true;
    case PGRES_COMMAND_OK:
      TakeTag(PQcmdStatus(const_cast<PGresult*>(value)));
      return true;
    case PGRES_EMPTY_QUERY:
      TakeTag("");
      return true;
    case PGRES_FATAL_ERROR:
      return TakeError(value);
    default:
      // COPY and replication streams are not carried.
      return false;
  }
}

void statement_link::TakeRows(const PGresult* value) {
  const int rows = PQntuples(value);
  if (!AtCallersStatement()) {
    if (rows > 0 && !answer_.cell) {
      answer_.cell = PQgetvalue(value, 0, 0);
    }
    return;
  }
  FlushTag();
  if (!columns_sent_) {
    const std::vector<wire::column> columns = ColumnsOf(value);
    columns_sent_ = true;
    forwarded_ = true;
    context_.sink.OnColumns(request_, columns);
  }
  for (int row = 0; row < rows; ++row) {
    ReadCells(value, row, cells_);
    context_.sink.OnRow(request_, cells_);
  }
  TellProgress(false);
}

/// Posts at most once an interval, and whenever the caller falls behind.
void statement_link::TellProgress(bool held) {
  const instant now = context_.loop.Now();
  if (!held && !told_held_ && now - told_at_ < kProgressInterval) {
    return;
  }
  told_at_ = now;
  told_held_ = held;
  context_.loop.Post(statement_progressed{id_, request_, held});
}

void statement_link::TakeTag(const std::string& tag) {
  if (prefixed_) {
    prefixed_ = false;
    return;
  }
  answer_.tag = tag;
  if (!AtCallersStatement()) {
    return;
  }
  FlushTag();
  columns_sent_ = false;
  tag_ = tag;
}

bool statement_link::TakeError(const PGresult* value) {
  wire::error_fields fields = ErrorFieldsOf(value);
  if (fields.sqlstate.empty()) {
    fields.sqlstate = kInternalErrorState;
  }
  answer_.sqlstate = fields.sqlstate;
  const bool fatal = IsFatal(fields.severity);
  // A later error, as of the ROLLBACK that follows, explains nothing.
  if (error_.sqlstate.empty()) {
    error_ = std::move(fields);
  }
  return !fatal;
}

void statement_link::FlushTag() {
  if (!tag_) {
    return;
  }
  forwarded_ = true;
  context_.sink.OnCommandTag(request_, *tag_);
  tag_.reset();
}

void statement_link::FinishQuery() {
  if (!script_) {
    Complete();
    return;
  }
  script_->Finish(answer_);
  if (script_->Done()) {
    Complete();
    return;
  }
  if (!script_->AtStatement()) {
    StartQuery(script_->Sql());
    return;
  }
  error_ = {};
  StartQuery(text_);
}

PGcancel* statement_link::TakeCancelHandle() {
  cancelled_ = true;
  return connection_.CancelHandle();
}

void statement_link::Complete() {
  const answer_outcome outcome = DeliverEnd();
  const request_id request = request_;
  request_ = request_id{};
  context_.loop.Post(
      statement_answered{id_, request, outcome, connection_.Transaction(),
                         connection_.State().value_or(endpoint_state{})});
  const bool free = connection_.Transaction() == transaction_status::kIdle;
  if (cancelled_ && free) {
    sent_ = false;
    forwarded_ = false;
    Lose();
  }
}

answer_outcome statement_link::DeliverEnd() {
  if (!script_) {
    if (!answer_.sqlstate.empty()) {
      return DeliverError();
    }
    FlushTag();
    return answer_outcome::kSucceeded;
  }
  switch (script_->End()) {
    case script_end::kSucceeded:
      if (!tag_) {
        tag_ = answer_.tag;
      }
      FlushTag();
      return answer_outcome::kSucceeded;
    case script_end::kAlreadyRan:
      context_.sink.OnCommandTag(request_, script_->RecordedTag());
      return answer_outcome::kAlreadyRan;
    case script_end::kFailed:
      break;
  }
  if (error_.sqlstate.empty()) {
    error_.sqlstate = kSerializationState;
    error_.message = "The endpoint rolled the transaction back.";
  }
  return DeliverError();
}

answer_outcome statement_link::DeliverError() {
  if (script_) {
    tag_.reset();  // It was rolled back.
  }
  // Once rows went on, the caller must learn of the error itself.
  if (!forwarded_ && error_.sqlstate == kWrongTermState) {
    return answer_outcome::kWrongTerm;
  }
  if (!forwarded_ && error_.sqlstate == kReadOnlyState) {
    return answer_outcome::kNotWritable;
  }
  FlushTag();
  context_.sink.OnServerError(request_, error_);
  return answer_outcome::kFailed;
}

void statement_link::OnLost() {
  if (open_) {
    Lose();
    return;
  }
  Refuse(connection_.Reason());
}

void statement_link::OnNotice(const wire::error_fields& fields) {
  if (request_ != request_id{} && AtCallersStatement()) {
    context_.sink.OnNotice(request_, fields);
  }
}

void statement_link::Lose() {
  context_.loop.Post(connection_lost{id_, sent_, forwarded_});
  connection_.Close();
  context_.owner.OnLinkEnded(id_);
}

}  // namespace marjoramslip::shell
