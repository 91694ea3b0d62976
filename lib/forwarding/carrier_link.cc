// The origin's side of forwarding.

#include "carrier_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "marjoramslip/core/sqlstates.h"
#include "marjoramslip/lines/session_state.h"

namespace marjoramslip::forwarding {
namespace {

/// A carrier that has sent nothing for this long while statements are
/// outstanding is pinged; if it does not answer for as long again, it is
/// reported as silent. Statements take some tens of milliseconds.
constexpr duration kSilenceBound = std::chrono::milliseconds(300);
constexpr duration kCheckInterval = std::chrono::milliseconds(100);
/// The link to a carrier that has been silent for this long is ended.
constexpr duration kSilenceLimit = std::chrono::seconds(3);

void FillStatement(const forward_statement& command,
                   const lines::outgoing_statement& statement,
                   forward::Statement& out) {
  out.set_attempt(command.attempt);
  out.set_caller(command.caller.value);
  out.set_kind(static_cast<std::uint32_t>(command.kind));
  out.set_id(std::string(statement.id));
  if (statement.prepared != nullptr) {
    out.mutable_prepared()->set_writes(statement.prepared->writes);
    out.mutable_prepared()->set_shape(statement.prepared->shape);
    out.set_arguments(std::string(statement.arguments));
  } else {
    out.set_text(std::string(statement.text));
  }
  for (const auto& [name, value] : statement.session->values) {
    forward::SessionValue& entry = *out.add_values();
    entry.set_name(name);
    entry.set_value(value);
  }
  out.set_route(command.service);
  out.set_tenant(command.tenant);
  out.set_account(command.account);
  if (command.floor.has_value()) {
    out.mutable_floor()->set_term(command.floor->term);
    out.mutable_floor()->set_position(command.floor->position);
  }
  out.set_time_left_us(static_cast<std::uint64_t>(std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<std::chrono::microseconds>(command.time_left)
          .count())));
  out.set_in_transaction(command.in_transaction);
}

transaction_status StatusOf(std::uint32_t value) {
  return value <= static_cast<std::uint32_t>(transaction_status::kFailed)
             ? static_cast<transaction_status>(value)
             : transaction_status::kFailed;
}

failure RefusalOf(const forward::Refusal& refusal) {
  // An effect that this release does not know counts as unknown.
  const bool not_run =
      refusal.effect() == static_cast<std::uint32_t>(verdict::kNotRun);
  return {not_run ? verdict::kNotRun : verdict::kMayHaveRun, refusal.sqlstate(),
          refusal.message()};
}

}  // namespace

carrier_link::carrier_link(const carrier_link_context& context,
                           instance_id carrier)
    : context_(context),
      carrier_(carrier),
      self_(std::make_shared<carrier_link*>(this)) {}

void carrier_link::CallAfter(duration delay, void (carrier_link::*check)()) {
  const std::weak_ptr<carrier_link*> weak = self_;
  context_.loop.After(delay, [weak, check] {
    if (const auto self = weak.lock()) {
      ((*self)->*check)();
    }
  });
}

bool carrier_link::Connect(const std::string& address) {
  Poco::Net::StreamSocket socket;
  try {
    socket.connectNB(Poco::Net::SocketAddress(address));
  } catch (const Poco::Exception&) {
    return false;
  }
  frame_user& user = *this;
  stream_ = std::make_unique<frame_stream>(context_.loop, socket, user);
  forward::Message message;
  message.mutable_hello()->set_instance(context_.self.value);
  stream_->Append(message);
  stream_->Schedule();
  CallAfter(context_.connect_timeout, &carrier_link::EndConnecting);
  return true;
}

void carrier_link::EndConnecting() {
  if (!ready_ && !ended_) {
    stream_->Close();
    End();
  }
}

void carrier_link::Forward(const forward_statement& command) {
  lines::outgoing_statement statement;
  if (!context_.exchange.FindStatement(command.request, statement)) {
    // The caller has disconnected; caller_closed ends its request.
    return;
  }
  if (reported_) {
    // It may still run what it receives, but its answers do not arrive.
    context_.loop.Post(
        forward_failed{command.request, command.attempt, carrier_, false});
    return;
  }
  context_.exchange.OnAttempt(command.request);
  forward::Message message;
  FillStatement(command, statement, *message.mutable_statement());
  if (message.ByteSizeLong() > kMaxFrameBytes) {
    context_.loop.Post(forward_answered{
        .request = command.request,
        .attempt = command.attempt,
        .carrier = carrier_,
        .refusal = failure{verdict::kNotRun, sqlstate::kOverloaded,
                           "the statement with its session's values is too "
                           "long to be forwarded"}});
    return;
  }
  outstanding& entry = outstanding_[command.attempt];
  entry.request = command.request;
  entry.caller = command.caller;
  if (ready_) {
    Watch();
    entry.end = stream_->Append(message);
    // May end the link and fail the statement.
    stream_->Flush();
  } else {
    waiting_.push_back(std::move(message));
  }
}

void carrier_link::EndCaller(caller_id caller) {
  std::erase_if(outstanding_, [caller](const auto& entry) {
    return entry.second.caller == caller;
  });
  std::erase_if(waiting_, [caller](const forward::Message& message) {
    return message.has_statement() &&
           message.statement().caller() == caller.value;
  });
  if (ready_ && !ended_) {
    forward::Message message;
    message.mutable_end_caller()->set_caller(caller.value);
    stream_->Send(message);
  }
}

void carrier_link::OnProgress() {
  heard_at_ = context_.loop.Now();
  pinged_ = false;
  reported_ = false;
}

void carrier_link::OnMessage(const forward::Message& message) {
  switch (message.kind_case()) {
    case forward::Message::kHello:
      OnHello(message.hello());
      return;
    case forward::Message::kAnswer:
      OnAnswer(message.answer());
      return;
    case forward::Message::kLeave:
      OnLeave();
      return;
    default:
      return;
  }
}

void carrier_link::OnHello(const forward::Hello& hello) {
  if (hello.instance() != carrier_.value) {
    // Another instance has taken over the address.
    stream_->Close();
    End();
    return;
  }
  ready_ = true;
  for (const forward::Message& message : std::exchange(waiting_, {})) {
    outstanding_[message.statement().attempt()].end = stream_->Append(message);
    Watch();
  }
  stream_->Flush();
}

void carrier_link::OnAnswer(const forward::Answer& answer) {
  const auto entry = outstanding_.find(answer.attempt());
  if (entry == outstanding_.end()) {
    return;
  }
  const request_id request = entry->second.request;
  outstanding_.erase(entry);
  forward_answered event{
      .request = request, .attempt = answer.attempt(), .carrier = carrier_};
  if (answer.has_load()) {
    event.load = answer.load();
  }
  if (answer.has_refusal()) {
    event.refusal = RefusalOf(answer.refusal());
  } else {
    event.succeeded = answer.succeeded();
    event.transaction = StatusOf(answer.transaction());
    event.floor = {answer.floor().term(), answer.floor().position()};
    for (const std::string& row : answer.rows()) {
      context_.exchange.OnRow(request, row);
    }
    if (answer.succeeded()) {
      context_.exchange.OnDone(request, answer.end(), event.transaction);
    } else {
      context_.exchange.OnError(request, answer.end(), event.transaction);
    }
  }
  context_.loop.Post(std::move(event));
}

void carrier_link::OnLeave() {
  for (const auto& [attempt, entry] : std::exchange(outstanding_, {})) {
    context_.loop.Post(forward_answered{.request = entry.request,
                                        .attempt = attempt,
                                        .carrier = carrier_,
                                        .refusal = ShutdownFailure()});
  }
  stream_->Close();
  End();
}

void carrier_link::OnStreamEnded() { End(); }

void carrier_link::End() {
  if (std::exchange(ended_, true)) {
    return;
  }
  const std::uint64_t sent = stream_ == nullptr ? 0 : stream_->SentBytes();
  for (const auto& [attempt, entry] : std::exchange(outstanding_, {})) {
    const bool maybe_sent = entry.end != 0 && entry.end <= sent;
    context_.loop.Post(
        forward_failed{entry.request, attempt, carrier_, maybe_sent});
  }
  context_.loop.Post(carrier_link_lost{carrier_});
  context_.on_ended(carrier_);
}

void carrier_link::Watch() {
  if (watching_) {
    return;
  }
  watching_ = true;
  heard_at_ = context_.loop.Now();
  checked_at_ = heard_at_;
  pinged_ = false;
  reported_ = false;
  CallAfter(kCheckInterval, &carrier_link::CheckSilence);
}

void carrier_link::CheckSilence() {
  watching_ = false;
  // A carrier that was pinged must answer, even if all statements there were
  // withdrawn meanwhile.
  if (ended_ || (outstanding_.empty() && !pinged_)) {
    return;
  }
  watching_ = true;
  const instant now = context_.loop.Now();
  const duration since_check = now - std::exchange(checked_at_, now);
  if (since_check > 2 * kCheckInterval) {
    // This process itself was not running; the carrier is given that time.
    heard_at_ += since_check - kCheckInterval;
  }
  const duration silent = now - heard_at_;
  if (silent >= kSilenceLimit) {
    stream_->Close();
    End();
    return;
  }
  if (silent >= 2 * kSilenceBound && !std::exchange(reported_, true)) {
    context_.loop.Post(carrier_silent{carrier_});
  } else if (silent >= kSilenceBound && !std::exchange(pinged_, true)) {
    forward::Message message;
    message.mutable_ping();
    stream_->Send(message);
  }
  if (!ended_) {
    CallAfter(kCheckInterval, &carrier_link::CheckSilence);
  }
}

}  // namespace marjoramslip::forwarding
