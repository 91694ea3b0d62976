// Statements of a caller, and what becomes of them.

#include <cassert>
#include <utility>

#include "caller_session.h"

namespace marjoramslip::shell {
namespace {

constexpr std::string_view kRollbackText = "ROLLBACK";
constexpr std::string_view kSessionToken = "marjoramslip.session_token";

/// How the core is to handle a class of statements that it is to see.
std::optional<statement_kind> KindOf(sql::statement_class what) {
  switch (what) {
    case sql::statement_class::kRead:
      return statement_kind::kRead;
    case sql::statement_class::kWrite:
      return statement_kind::kWrite;
    case sql::statement_class::kBegin:
      return statement_kind::kBegin;
    case sql::statement_class::kCommit:
      return statement_kind::kCommit;
    case sql::statement_class::kRollback:
      return statement_kind::kRollback;
    default:
      return std::nullopt;
  }
}

/// The tag of a statement that the core answers by itself.
std::string_view TagOf(statement_kind kind) {
  switch (kind) {
    case statement_kind::kBegin:
    case statement_kind::kBeginRead:
      return "BEGIN";
    case statement_kind::kCommit:
      return "COMMIT";
    case statement_kind::kRollback:
      return "ROLLBACK";
    case statement_kind::kRead:
      return "SELECT 0";
    case statement_kind::kWrite:
      return "OK";
  }
  return "OK";
}

wire::error_fields Error(std::string sqlstate, std::string message,
                         std::string hint = {}) {
  return {.sqlstate = std::move(sqlstate),
          .message = std::move(message),
          .detail = {},
          .hint = std::move(hint)};
}

}  // namespace

void caller_session::TakeQuery(const std::string& text) {
  const sql::classification& what = host_.Classifier().Get(text);
  if (what.kind == sql::statement_class::kEmpty) {
    wire::AppendEmptyQueryResponse(Output());
    SendReady();
    return;
  }
  if (status_ == status::kFailed) {
    TakeInFailed(what, text);
    return;
  }
  if (TakeLocally(what)) {
    SendReady();
    return;
  }
  const auto kind = KindOf(what.kind);
  assert(kind && "what is not answered here has a kind for the core");
  if (TakeNeedless(*kind)) {
    SendReady();
    return;
  }
  Send(*kind, text, what.atomic);
}

/// After an error in a transaction only its end, or a return to a savepoint,
/// is possible.
void caller_session::TakeInFailed(const sql::classification& what,
                                  std::string_view text) {
  if (what.to_savepoint) {
    Send(statement_kind::kWrite, text, true);
    return;
  }
  if (what.kind == sql::statement_class::kCommit ||
      what.kind == sql::statement_class::kRollback) {
    Send(statement_kind::kRollback, kRollbackText, true);
    return;
  }
  FailLocally(Error("25P02",
                    "the transaction has failed; nothing runs until it ends",
                    "Send ROLLBACK, or ROLLBACK TO a savepoint."));
  SendReady();
}

/// Answers what the core is not to see; false if it is to.
bool caller_session::TakeLocally(const sql::classification& what) {
  switch (what.kind) {
    case sql::statement_class::kInvalid:
      FailLocally(Error("42601", what.message));
      return true;
    case sql::statement_class::kUnsupported:
      FailLocally(Error("0A000", what.message,
                        "Connections to the databases are shared."));
      return true;
    case sql::statement_class::kMixed:
      FailLocally(Error("0A000",
                        "a text cannot mix transaction control with others",
                        "Send each statement by itself."));
      return true;
    case sql::statement_class::kSetOwn:
      TakeSet(what, true);
      return true;
    case sql::statement_class::kShowOwn:
      TakeShow("marjoramslip." + what.setting, settings_.ShowOwn(what.setting));
      return true;
    case sql::statement_class::kSetOther:
      if (what.tag == "SHOW") {
        TakeShow(what.setting, settings_.ShowOther(what.setting));
      } else {
        TakeSet(what, false);
      }
      return true;
    default:
      return false;
  }
}

/// Transaction control that changes nothing gets a warning, as usual.
bool caller_session::TakeNeedless(statement_kind kind) {
  const bool within = status_ != status::kIdle;
  const bool begin = kind == statement_kind::kBegin;
  const bool end =
      kind == statement_kind::kCommit || kind == statement_kind::kRollback;
  if (!(begin && within) && !(end && !within)) {
    return false;
  }
  wire::AppendNoticeResponse(
      Output(), {.severity = "WARNING",
                 .sqlstate = begin ? "25001" : "25P01",
                 .message = begin ? "there is already a transaction in progress"
                                  : "there is no transaction in progress",
                 .detail = {},
                 .hint = {}});
  wire::AppendCommandComplete(Output(), TagOf(kind));
  return true;
}

void caller_session::TakeSet(const sql::classification& what, bool own) {
  if (!own && what.setting == "all") {
    settings_.ResetAll();
    wire::AppendCommandComplete(Output(), what.tag);
    return;
  }
  if (settings_.Bytes() + kStoredEntryBytes + what.value.size() >
      SessionStateBytes(host_.Settings())) {
    host_.OnLimit(*this, caller_limit::kSessionState);
    FailLocally(Error("54000", "the session's settings exceed their limit"));
    return;
  }
  const setting_outcome refusal =
      own ? settings_.SetOwn(what.setting, what.value)
          : settings_.SetOther(what.setting, what.value);
  if (refusal) {
    FailLocally(Error(refusal->sqlstate, what.setting + ": " + refusal->message,
                      refusal->hint));
    return;
  }
  wire::AppendCommandComplete(Output(), what.tag);
}

void caller_session::TakeShow(const std::string& name,
                              const std::optional<std::string>& value) {
  if (!value) {
    FailLocally(Error("0A000", name + ": the setting is not known here",
                      "Ask the databases by a query."));
    return;
  }
  wire::column column;
  column.name = name;
  const wire::cell cell = *value;
  wire::AppendRowDescription(Output(), std::span(&column, 1));
  wire::AppendDataRow(Output(), std::span(&cell, 1));
  wire::AppendCommandComplete(Output(), "SHOW");
}

void caller_session::Send(statement_kind kind, std::string_view text,
                          bool atomic) {
  assert(!Running() && "a caller has one statement in progress");
  const bool alone = status_ == status::kIdle && kind == statement_kind::kWrite;
  const bool takes_key = alone || kind == statement_kind::kCommit;
  text_ = text;
  kind_ = kind;
  attempted_ = false;
  request_ = host_.Begin(*this);
  read_at_ = host_.Loop().Now();
  // In a transaction nothing lasts before its end.
  const bool partly = !atomic && status_ == status::kIdle;
  answer_.Start(partly ? verdict::kMayHaveRun : verdict::kNotRun);
  host_.Loop().Post(statement_received{caller_, request_, kind,
                                       settings_.ForStatement(takes_key)});
}

void caller_session::Release(const release_answer& what) {
  const bool whole = answer_.Fault() == nullptr;
  const bool failed = answer_.Failed() || !whole;
  AppendEnd();
  Follow(failed);
  EndRequest();
  if (settings_.NoteFloor(what.floor)) {
    wire::AppendParameterStatus(Output(), kSessionToken,
                                FormatLogPoint(what.floor));
  }
  SendReady();
  Process();
}

/// Ends the answer with what was kept, or with why it is not whole.
void caller_session::AppendEnd() {
  if (answer_.Fault() == nullptr) {
    if (!answer_.Ended()) {
      wire::AppendCommandComplete(Output(), TagOf(kind_));
    }
    answer_.Release();
    return;
  }
  // In a transaction nothing lasts: only its end is possible from here on.
  const bool lasts =
      status_ == status::kIdle && kind_ == statement_kind::kWrite;
  const bool ran =
      !answer_.Failed() && (lasts || kind_ == statement_kind::kCommit);
  const verdict effect = ran ? verdict::kRan : answer_.EffectOfFailure();
  const answer_fault& fault = *answer_.Fault();
  answer_.Discard();
  AppendErrorWithVerdict(
      Output(), Error(std::string(fault.sqlstate), std::string(fault.message)),
      effect);
}

void caller_session::Fail(const fail_request& what) {
  answer_.Discard();
  const failure& reason = what.reason;
  AppendErrorWithVerdict(Output(), Error(reason.sqlstate, reason.message),
                         reason.effect);
  Follow(true);
  EndRequest();
  SendReady();
  Process();
}

void caller_session::Close(const failure& reason) {
  if (connection_.Closing()) {
    return;
  }
  if (Running()) {
    host_.OnRefusal({.request = request_, .statement = {}, .reason = reason});
  }
  answer_.Discard();
  EndRequest();
  wire::error_fields fields = Error(reason.sqlstate, reason.message);
  fields.severity = "FATAL";
  AppendErrorWithVerdict(Output(), std::move(fields), reason.effect);
  connection_.LingerAfterFlush();
}

void caller_session::EndRequest() {
  if (Running()) {
    host_.End(request_);
    request_ = {};
    text_.clear();
    if (text_.capacity() > kKeptBufferBytes) {
      text_.shrink_to_fit();
    }
    full_ = false;
  }
}

/// Follows the transaction after a statement was answered.
void caller_session::Follow(bool failed) {
  switch (kind_) {
    case statement_kind::kBegin:
    case statement_kind::kBeginRead:
      status_ = failed ? status_ : status::kInTransaction;
      return;
    case statement_kind::kCommit:
    case statement_kind::kRollback:
      // It is over, whatever is known of its effect.
      status_ = status::kIdle;
      return;
    case statement_kind::kRead:
    case statement_kind::kWrite:
      if (status_ != status::kIdle) {
        // In a failed one only a return to a savepoint gets this far.
        status_ = failed ? status::kFailed : status::kInTransaction;
      }
      return;
  }
}

}  // namespace marjoramslip::shell
