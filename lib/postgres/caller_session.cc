// Messages of a caller.

#include "caller_session.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "caller_startup.h"
#include "marjoramslip/core/sqlstates.h"

namespace marjoramslip::shell {
namespace {

/// What is kept of an answer, in messages of the greatest size.
constexpr std::size_t kHeldMessages = 4;

/// While a statement is in progress or answers are unsent, reading pauses once
/// this many bytes of further input are buffered.
constexpr std::size_t kReadAheadBytes = 64U << 10U;

/// Rows of an answer are sent once there are as many bytes, or at its end.
constexpr std::uint32_t kTogetherBytes = 16U << 10U;

wire::error_fields Fatal(std::string sqlstate, std::string message) {
  return {.severity = "FATAL",
          .sqlstate = std::move(sqlstate),
          .message = std::move(message),
          .detail = {},
          .hint = {}};
}

}  // namespace

caller_session::caller_session(session_host& host, caller_id caller,
                               const Poco::Net::StreamSocket& socket)
    : host_(host),
      caller_(caller),
      decoder_(host.Settings().max_message_bytes),
      connection_(host.Loop(), socket, host.Settings().write_stall_timeout,
                  *this),
      answer_(connection_,
              std::min(kTogetherBytes, host.Settings().answer_buffer_bytes / 4),
              kHeldMessages * host.Settings().max_message_bytes),
      progress_(host.Loop().Now()) {}

bool caller_session::Accepting() const {
  return connection_.Pending() < host_.Settings().answer_buffer_bytes;
}

void caller_session::OnBytes(std::span<const char> bytes) {
  decoder_.Feed(bytes);
  Process();
  if (connection_.Open()) {
    host_.OnMemory(*this);
  }
}

void caller_session::OnRoom() {
  if (connection_.Pending() == 0) {
    progress_ = host_.Loop().Now();
  }
  host_.OnMemory(*this);
  const std::size_t half = host_.Settings().answer_buffer_bytes / 2;
  if (connection_.Pending() > half) {
    return;
  }
  if (!Running()) {
    Process();
    return;
  }
  if (full_) {
    full_ = false;
    host_.Ready(request_);
  }
}

void caller_session::OnGone() {
  if (Running()) {
    host_.End(request_);
  }
  host_.Gone(*this);
}

void caller_session::CountInto(session_counts& counts) const {
  ++(!key_                   ? counts.starting
     : connection_.Closing() ? counts.closing
                             : counts.open);
  counts.in_progress += Running() ? 1 : 0;
  counts.unsent_bytes += connection_.Pending();
}

std::optional<session_cut> caller_session::Cut() const {
  if (!Running() && connection_.Pending() == 0) {
    return std::nullopt;
  }
  return session_cut{
      .request = request_,
      .statement = {},
      .age = Running() ? host_.Loop().Now() - read_at_ : duration{},
      .unsent_bytes = connection_.Pending(),
      .cause = connection_.Cause()};
}

void caller_session::WatchMessage() {
  const bool half =
      key_ && !Running() && Accepting() && decoder_.Buffered() > 0;
  if (!half) {
    half_since_.reset();
    return;
  }
  if (!half_since_) {
    half_since_ = host_.Loop().Now();
  }
  if (!std::exchange(half_watched_, true)) {
    host_.ScheduleMessageCheck(*this, host_.Settings().message_timeout);
  }
}

void caller_session::CheckMessageTime() {
  half_watched_ = false;
  if (!connection_.Open() || connection_.Closing() || !half_since_) {
    return;
  }
  const duration waited = host_.Loop().Now() - *half_since_;
  const duration limit = host_.Settings().message_timeout;
  if (waited >= limit) {
    EndAtLimit(caller_limit::kMessageTime,
               "the rest of the message did not arrive in time");
    return;
  }
  half_watched_ = true;
  host_.ScheduleMessageCheck(*this, limit - waited);
}

memory_use caller_session::MemoryUse() const {
  // A statement that is being sent is copied to the endpoint's connection.
  const std::size_t copies = attempted_ && Running() ? 2 : 1;
  return {.bytes = sizeof(*this) + decoder_.HeldBytes() + settings_.Bytes() +
                   copies * text_.size() + answer_.HeldBytes() +
                   connection_.Pending(),
          .progress = progress_};
}

void caller_session::EndAtLimit(caller_limit limit, std::string_view text) {
  if (!connection_.Open() || connection_.Closing()) {
    return;
  }
  host_.OnLimit(*this, limit);
  const failure reason{
      Running() && attempted_ ? verdict::kMayHaveRun : verdict::kNotRun,
      sqlstate::kOverloaded, std::string(text)};
  if (key_) {
    // Nothing more is sent to an endpoint for this caller.
    left_ = true;
    host_.Loop().Post(caller_closed{caller_});
  }
  const bool unread = connection_.Pending() > 0;
  if (!unread) {
    Close(reason);
  }
  decoder_.Clear();
  settings_.ResetAll();
  if (unread) {
    // An error behind answers that the caller does not read would hold them.
    connection_.Close();
    return;
  }
  if (connection_.Open()) {
    host_.OnMemory(*this);
  }
}

void caller_session::EndStartup() {
  if (!key_) {
    connection_.Close();
  }
}

void caller_session::Process() {
  if (processing_) {
    return;
  }
  processing_ = true;
  const bool busy = Running();
  while (connection_.Open() && !connection_.Closing() && !Running() &&
         Accepting() && TakeNext()) {
  }
  processing_ = false;
  if (!connection_.Open()) {
    return;
  }
  if (connection_.Closing()) {
    connection_.Flush();
    return;
  }
  decoder_.Release();
  WatchMessage();
  // While no message is taken, a caller that sends ahead waits once some is
  // there; else the buffer holds part of one message, whose size is limited.
  const bool takes = !Running() && Accepting();
  connection_.SetReading(
      decoder_.Buffered() <=
      (takes ? host_.Settings().max_message_bytes : kReadAheadBytes));
  if (!busy) {
    connection_.Flush();
  }
}

bool caller_session::TakeNext() {
  return leaf::try_handle_all(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(message, decoder_.Next());
        if (!message) {
          return false;
        }
        progress_ = host_.Loop().Now();
        half_since_.reset();
        Take(*message);
        return true;
      },
      [&](const error& why) {
        Refuse(Fatal("08P01", why.message));
        return false;
      },
      [&] {
        Refuse(Fatal("08P01", "the message is malformed"));
        return false;
      });
}

void caller_session::Take(const wire::frontend_message& message) {
  if (const auto* first = std::get_if<wire::startup>(&message)) {
    TakeStartup(*first);
    return;
  }
  if (const auto* cancel = std::get_if<wire::cancel_request>(&message)) {
    host_.CancelBy({cancel->process, cancel->secret});
    connection_.CloseAfterFlush();
    return;
  }
  if (std::holds_alternative<wire::tls_request>(message) ||
      std::holds_alternative<wire::gss_request>(message)) {
    Output().push_back('N');
    return;
  }
  if (std::holds_alternative<wire::terminate>(message)) {
    connection_.CloseAfterFlush();
    return;
  }
  if (std::holds_alternative<wire::sync>(message)) {
    skipping_ = false;
    SendReady();
    return;
  }
  if (skipping_) {
    return;
  }
  if (const auto* text = std::get_if<wire::query>(&message)) {
    TakeQuery(text->text);
    return;
  }
  if (const auto* other = std::get_if<wire::unsupported>(&message)) {
    TakeUnsupported(other->type);
    return;
  }
  Refuse(Fatal("08P01", "a password was not asked for"));
}

void caller_session::TakeStartup(const wire::startup& message) {
  startup_outcome outcome = ReadStartup(message, host_.Settings().name);
  if (outcome.refusal) {
    wire::error_fields fields =
        Fatal(outcome.refusal->sqlstate, outcome.refusal->message);
    fields.hint = outcome.refusal->hint;
    Refuse(std::move(fields));
    return;
  }
  key_ = host_.Admit(*this);
  if (!key_) {
    host_.OnLimit(*this, caller_limit::kCallers);
    Refuse(Fatal("53300", "this instance serves as many callers as it may"));
    return;
  }
  service_ = std::move(outcome.service);
  tenant_ = std::move(outcome.tenant);
  settings_ = std::move(outcome.settings);
  Welcome();
  host_.Loop().Post(caller_opened{caller_, service_, tenant_});
}

void caller_session::Welcome() {
  wire::AppendAuthenticationOk(Output());
  for (const char* name :
       {"server_version", "server_encoding", "client_encoding", "DateStyle",
        "integer_datetimes", "standard_conforming_strings"}) {
    wire::AppendParameterStatus(Output(), name,
                                settings_.ShowOther(name).value_or(""));
  }
  wire::AppendParameterStatus(Output(), "marjoramslip.instance",
                              host_.Settings().name);
  wire::AppendBackendKeyData(Output(), key_->process, key_->secret);
  SendReady();
}

void caller_session::TakeUnsupported(char type) {
  constexpr std::string_view kIgnored = "Hdcf";  // Flush; copy out of place.
  if (kIgnored.find(type) != std::string_view::npos) {
    return;
  }
  const bool call = type == 'F';
  FailLocally({.sqlstate = "0A000",
               .message = call ? "function calls are not supported"
                               : "the extended query protocol is not supported",
               .detail = {},
               .hint = "Use simple queries."});
  if (call) {
    SendReady();
    return;
  }
  skipping_ = true;
}

void caller_session::Refuse(wire::error_fields fields) {
  AppendErrorWithVerdict(Output(), std::move(fields), verdict::kNotRun);
  connection_.LingerAfterFlush();
}

void caller_session::FailLocally(wire::error_fields fields) {
  AppendErrorWithVerdict(Output(), std::move(fields), verdict::kNotRun);
  if (status_ == status::kInTransaction) {
    status_ = status::kFailed;
  }
}

}  // namespace marjoramslip::shell
