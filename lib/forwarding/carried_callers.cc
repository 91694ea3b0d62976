// The carrier's side of forwarding.

#include "carried_callers.h"

#include <algorithm>
#include <utility>

#include "marjoramslip/core/sqlstates.h"

namespace marjoramslip::forwarding {
namespace {

/// Longest answer that is sent to an origin. Leaves room in a message for its
/// other fields.
constexpr std::size_t kMaxAnswerBytes = kMaxFrameBytes - (1U << 20U);
/// Statements in progress for other instances take at most this many times the
/// length of the longest message of a caller.
constexpr std::size_t kMaxStatementsInMessages = 16;

std::optional<statement_kind> KindOf(std::uint32_t value) {
  return value <= static_cast<std::uint32_t>(statement_kind::kBeginRead)
             ? std::optional(static_cast<statement_kind>(value))
             : std::nullopt;
}

statement_received EventOf(const forward::Statement& received,
                           statement_kind kind, caller_id caller,
                           request_id request) {
  statement_received event{
      .caller = caller, .request = request, .kind = kind, .settings = {}};
  if (received.has_floor()) {
    event.settings.token =
        log_point{received.floor().term(), received.floor().position()};
  }
  event.time_left = std::chrono::microseconds(received.time_left_us());
  event.continues_transaction = received.in_transaction();
  return event;
}

}  // namespace

origin_link::origin_link(carried_callers& owner, std::uint64_t number,
                         shell::event_loop& loop,
                         const Poco::Net::StreamSocket& socket)
    : owner_(owner), number_(number), stream_(loop, socket, *this) {}

void origin_link::OnMessage(const forward::Message& message) {
  owner_.OnMessage(*this, message);
}

void origin_link::Send(const forward::Message& message) {
  if (!left_) {
    stream_.Send(message);
  }
}

void origin_link::Leave() {
  if (std::exchange(left_, true)) {
    return;
  }
  forward::Message message;
  message.mutable_leave();
  stream_.Append(message);
  stream_.LingerAfterFlush();
}

void origin_link::OnStreamEnded() { owner_.OnOriginEnded(*this); }

carried_callers::carried_callers(shell::event_loop& loop, instance_id self,
                                 std::uint32_t max_message_bytes,
                                 const Poco::Net::ServerSocket& socket)
    : loop_(loop),
      self_(self),
      max_bytes_(kMaxStatementsInMessages * max_message_bytes),
      weak_self_(std::make_shared<carried_callers*>(this)),
      acceptor_(loop, socket, [this](const Poco::Net::StreamSocket& accepted) {
        Accept(accepted);
      }) {}

carried_callers::~carried_callers() = default;

void carried_callers::Accept(const Poco::Net::StreamSocket& socket) {
  const std::uint64_t number = ++last_origin_;
  origins_.emplace(number,
                   std::make_unique<origin_link>(*this, number, loop_, socket));
}

void carried_callers::OnMessage(origin_link& origin,
                                const forward::Message& message) {
  forward::Message reply;
  switch (message.kind_case()) {
    case forward::Message::kHello:
      reply.mutable_hello()->set_instance(self_.value);
      origin.Send(reply);
      return;
    case forward::Message::kPing:
      reply.mutable_pong();
      origin.Send(reply);
      return;
    case forward::Message::kStatement:
      OnStatement(origin, message.statement());
      return;
    case forward::Message::kEndCaller: {
      const auto found = origin.Callers().find(message.end_caller().caller());
      if (found != origin.Callers().end()) {
        End(callers_.at(found->second));
      }
      return;
    }
    default:
      return;
  }
}

void carried_callers::OnStatement(origin_link& origin,
                                  const forward::Statement& received) {
  const auto kind = KindOf(received.kind());
  const std::size_t bytes = received.ByteSizeLong();
  if (!kind.has_value()) {
    Refuse(origin, received.attempt(),
           {verdict::kNotRun, sqlstate::kNotCarrier,
            "the kind of the statement is not known here"});
    return;
  }
  if (bytes_ + bytes > max_bytes_ && bytes_ > 0) {
    Refuse(origin, received.attempt(),
           {verdict::kNotRun, sqlstate::kOverloaded,
            "too many forwarded statements are in progress"});
    return;
  }
  const auto known = origin.Callers().find(received.caller());
  if (received.in_transaction() && known == origin.Callers().end()) {
    Refuse(origin, received.attempt(),
           {verdict::kNotRun, sqlstate::kTransactionLost,
            "the transaction was lost before its COMMIT and is rolled back"});
    return;
  }
  if (!received.in_transaction() && known != origin.Callers().end()) {
    End(callers_.at(known->second));
  }
  carried_caller& caller = received.in_transaction()
                               ? callers_.at(known->second)
                               : Open(origin, received);
  if (caller.current != nullptr) {
    Refuse(origin, received.attempt(),
           {verdict::kNotRun, sqlstate::kProtocolViolation,
            "a statement of this caller is still in progress"});
    return;
  }
  caller.current = std::make_unique<running_statement>();
  running_statement& current = *caller.current;
  current.attempt = received.attempt();
  current.id = received.id();
  current.kind = *kind;
  current.text = received.text();
  current.arguments = received.arguments();
  if (received.has_prepared()) {
    current.prepared = lines::prepared_statement{received.prepared().writes(),
                                                 received.prepared().shape()};
  }
  for (const forward::SessionValue& value : received.values()) {
    current.session.values.insert_or_assign(value.name(), value.value());
  }
  current.bytes = bytes;
  bytes_ += bytes;
  caller.request = request_id{++last_request_};
  requests_.emplace(caller.request, caller.id);
  loop_.Post(EventOf(received, *kind, caller.id, caller.request));
}

carried_callers::carried_caller& carried_callers::Open(
    origin_link& origin, const forward::Statement& received) {
  const caller_id id{++last_caller_};
  carried_caller& caller = callers_[id];
  caller.id = id;
  caller.origin = &origin;
  caller.origin_caller = received.caller();
  caller.route = received.route();
  origin.Callers().emplace(received.caller(), id);
  loop_.Post(caller_opened{.caller = id,
                           .service = received.route(),
                           .tenant = received.tenant(),
                           .key = {},
                           .forwarded = true,
                           .account = received.account()});
  return caller;
}

void carried_callers::Refuse(origin_link& origin, std::uint64_t attempt,
                             const failure& reason,
                             std::optional<std::uint32_t> load) {
  forward::Message message;
  forward::Answer& answer = *message.mutable_answer();
  answer.set_attempt(attempt);
  if (load.has_value()) {
    answer.set_load(*load);
  }
  answer.mutable_refusal()->set_effect(
      static_cast<std::uint32_t>(reason.effect));
  answer.mutable_refusal()->set_sqlstate(reason.sqlstate);
  answer.mutable_refusal()->set_message(reason.message);
  origin.Send(message);
}

void carried_callers::EndStatement(carried_caller& caller) {
  if (caller.current == nullptr) {
    return;
  }
  bytes_ -= caller.current->bytes;
  requests_.erase(caller.request);
  caller.request = {};
  caller.current.reset();
}

void carried_callers::End(carried_caller& caller) {
  EndStatement(caller);
  const caller_id id = caller.id;
  caller.origin->Callers().erase(caller.origin_caller);
  callers_.erase(id);
  loop_.Post(caller_closed{id});
}

void carried_callers::RefuseAndEnd(carried_caller& caller,
                                   const failure& reason,
                                   std::optional<std::uint32_t> load) {
  origin_link& origin = *caller.origin;
  const std::uint64_t attempt = caller.current->attempt;
  End(caller);
  Refuse(origin, attempt, reason, load);
}

void carried_callers::OnOriginEnded(origin_link& origin) {
  std::vector<caller_id> ended;
  for (const auto& [number, id] : origin.Callers()) {
    ended.push_back(id);
  }
  for (const caller_id id : ended) {
    End(callers_.at(id));
  }
  auto node = origins_.extract(origin.Number());
  if (node.empty()) {
    return;
  }
  if (ended_origins_.empty()) {
    const std::weak_ptr<carried_callers*> weak = weak_self_;
    loop_.After(duration{0}, [weak] {
      if (const auto self = weak.lock()) {
        (*self)->ended_origins_.clear();
      }
    });
  }
  ended_origins_.push_back(std::move(node.mapped()));
  ReportEnd();
}

void carried_callers::EndWithOrigins(std::function<void()> on_ended) {
  on_ended_ = std::move(on_ended);
  acceptor_.Stop();
  // An origin whose connection fails leaves the map.
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, origin] : origins_) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    const auto found = origins_.find(number);
    if (found != origins_.end()) {
      found->second->Leave();
    }
  }
  ReportEnd();
}

void carried_callers::ReportEnd() {
  if (origins_.empty() && on_ended_) {
    std::exchange(on_ended_, nullptr)();
  }
}

void carried_callers::Release(const release_answer& command) {
  carried_caller* const caller = FindByRequest(command.request);
  if (caller == nullptr) {
    return;
  }
  running_statement& current = *caller->current;
  if (current.too_long) {
    RefuseAndEnd(*caller, {verdict::kMayHaveRun, sqlstate::kConnectionLost,
                           "the answer is too long to be forwarded"});
    return;
  }
  origin_link& origin = *caller->origin;
  forward::Message message = std::move(current.answer);
  forward::Answer& answer = *message.mutable_answer();
  answer.set_attempt(current.attempt);
  answer.set_transaction(static_cast<std::uint32_t>(current.status));
  answer.mutable_floor()->set_term(command.floor.term);
  answer.mutable_floor()->set_position(command.floor.position);
  answer.set_load(command.load);
  if (current.status == transaction_status::kIdle) {
    End(*caller);
  } else {
    EndStatement(*caller);
  }
  origin.Send(message);
}

void carried_callers::Fail(const fail_request& command) {
  if (carried_caller* const caller = FindByRequest(command.request)) {
    RefuseAndEnd(*caller, command.reason, command.load);
  }
}

void carried_callers::Close(const close_caller& command) {
  const auto found = callers_.find(command.caller);
  if (found == callers_.end()) {
    return;
  }
  if (found->second.current != nullptr) {
    RefuseAndEnd(found->second, command.reason);
  } else {
    // Its next statement is refused: the transaction is rolled back.
    End(found->second);
  }
}

carried_callers::carried_caller* carried_callers::FindByRequest(
    request_id request) {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &callers_.at(found->second);
}

carried_callers::running_statement* carried_callers::FindCurrent(
    request_id request) {
  carried_caller* const caller = FindByRequest(request);
  return caller == nullptr ? nullptr : caller->current.get();
}

bool carried_callers::FindStatement(request_id request,
                                    lines::outgoing_statement& statement) {
  const auto* const current = FindCurrent(request);
  if (current == nullptr) {
    return false;
  }
  statement.id = current->id;
  statement.kind = current->kind;
  statement.text = current->text;
  statement.prepared =
      current->prepared.has_value() ? &*current->prepared : nullptr;
  statement.arguments = current->arguments;
  statement.session = &current->session;
  return true;
}

void carried_callers::OnAttempt(request_id request) { DiscardRows(request); }

void carried_callers::DiscardRows(request_id request) {
  if (running_statement* const current = FindCurrent(request)) {
    current->answer.Clear();
    current->answer_bytes = 0;
    current->too_long = false;
  }
}

void carried_callers::OnRow(request_id request, std::string_view line) {
  running_statement* const current = FindCurrent(request);
  if (current == nullptr || current->too_long) {
    return;
  }
  current->answer_bytes += line.size();
  if (current->answer_bytes > kMaxAnswerBytes) {
    current->too_long = true;
    current->answer.Clear();
    return;
  }
  current->answer.mutable_answer()->add_rows(line.data(), line.size());
}

void carried_callers::OnDone(request_id request, std::string_view signature,
                             transaction_status status) {
  if (running_statement* const current = FindCurrent(request)) {
    forward::Answer& answer = *current->answer.mutable_answer();
    answer.set_end(std::string(signature));
    answer.set_succeeded(true);
    current->status = status;
  }
}

void carried_callers::OnError(request_id request, std::string_view line,
                              transaction_status status) {
  if (running_statement* const current = FindCurrent(request)) {
    // Rows before an error are discarded.
    forward::Answer& answer = *current->answer.mutable_answer();
    answer.clear_rows();
    answer.set_end(std::string(line));
    answer.set_succeeded(false);
    current->too_long = false;
    current->status = status;
  }
}

std::string_view carried_callers::NameOf(request_id request) const {
  const auto found = requests_.find(request);
  return found == requests_.end()
             ? std::string_view()
             : std::string_view(callers_.at(found->second).current->id);
}

std::string_view carried_callers::RouteOf(caller_id caller) const {
  const auto found = callers_.find(caller);
  return found == callers_.end() ? std::string_view()
                                 : std::string_view(found->second.route);
}

}  // namespace marjoramslip::forwarding
