// Accepts callers and routes commands and answers to their sessions.

#include "marjoramslip/lines/line_front.h"

#include <memory>
#include <unordered_map>
#include <utility>

#include "line_session.h"
#include "marjoramslip/runtime/caller_acceptor.h"
#include "marjoramslip/runtime/session_set.h"

namespace marjoramslip::lines {
namespace {

/// After the core closes a session, its caller has this long to end it. Callers
/// that read what they are sent do so after the network delay (3 ms); others
/// read it after their next statement.
constexpr duration kRefusalPeriod = std::chrono::seconds(2);
/// After that, a caller that uses its session without a pause has this long to
/// send its last statement.
constexpr duration kLastStatementPeriod = std::chrono::milliseconds(200);

/// Connections above the limit of callers whose startup is answered with a
/// refusal.
constexpr std::size_t kSpareConnections = 200;

class front final : public line_front, private session_owner {
 public:
  front(const instance_settings& settings, shell::event_loop& loop,
        const line_codec& codec, const Poco::Net::ServerSocket& socket)
      : settings_(settings),
        loop_(loop),
        codec_(codec),
        sessions_(loop),
        limiter_(settings, loop,
                 [this](caller_id caller, std::size_t /*bytes*/) {
                   EndForMemory(caller);
                 }),
        acceptor_(loop, socket,
                  [this](const Poco::Net::StreamSocket& accepted) {
                    Accept(accepted);
                  }) {}
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  // caller_front.
  void Release(const release_answer& command) override {
    if (line_session* session = Find(command.request)) {
      session->Release();
    }
  }
  void Fail(const fail_request& command) override {
    if (line_session* session = Find(command.request)) {
      session->Fail(command.reason);
    }
  }
  void Close(const close_caller& command) override;
  void SetKey(const caller_key_changed& command) override {
    if (line_session* const session = sessions_.Find(command.caller)) {
      session->SetKeyRefusal(command.refusal);
    }
  }
  void EndWithSessions(std::function<void()> on_ended) override {
    acceptor_.Finish();
    sessions_.ReportEndTo(std::move(on_ended));
  }
  void DismissSessions(const failure& reason) override {
    sessions_.Dismiss(reason);
  }
  void SetObserver(shell::session_observer* observer) override {
    observer_ = observer;
  }
  void SetIdleTransactionLimit(duration limit) override {
    idle_transaction_limit_ = limit;
  }
  shell::session_counts Sessions() const override { return sessions_.Counts(); }
  std::size_t MemoryBytes() const override { return limiter_.Total(); }
  void CloseSessions() override { sessions_.Abort(); }
  std::string_view NameOf(request_id request) const override {
    const line_session* const session = Find(request);
    return session == nullptr ? std::string_view() : session->StatementId();
  }
  std::string_view TenantOf(caller_id /*caller*/) const override { return {}; }
  std::string_view ServiceOf(caller_id caller) const override;

  // statement_exchange.
  bool FindStatement(request_id request,
                     outgoing_statement& statement) override;
  void OnAttempt(request_id request) override {
    if (line_session* session = Find(request)) {
      session->OnAttempt();
    }
  }
  void OnRow(request_id request, std::string_view line) override {
    if (line_session* session = Find(request)) {
      session->OnRow(line);
    }
  }
  void DiscardRows(request_id request) override {
    if (line_session* session = Find(request)) {
      session->DiscardRows();
    }
  }
  void OnDone(request_id request, std::string_view signature,
              transaction_status status) override {
    if (line_session* session = Find(request)) {
      session->OnDone(signature, status);
    }
  }
  void OnError(request_id request, std::string_view line,
               transaction_status status) override {
    if (line_session* session = Find(request)) {
      session->OnError(line, status);
    }
  }

 private:
  // session_owner.
  shell::event_loop& Loop() override { return loop_; }
  const line_codec& Codec() const override { return codec_; }
  const instance_settings& Settings() const override { return settings_; }
  void OnRefusal(const shell::session_refusal& refusal) override {
    if (observer_ != nullptr) {
      observer_->OnRefusal(refusal);
    }
  }
  request_id BeginRequest(line_session& session) override;
  void EndRequest(request_id request) override { requests_.erase(request); }
  bool Admit(line_session& session) override;
  void OnMemory(line_session& session) override {
    limiter_.Note(session.Caller(), session.MemoryUse());
  }
  void OnLimit(const line_session& session,
               shell::caller_limit limit) override {
    Report({limit, session.Caller(), session.MemoryUse().bytes});
  }
  duration IdleTransactionLimit() const override {
    return idle_transaction_limit_;
  }
  void ScheduleIdleCheck(line_session& session, duration delay) override {
    sessions_.CallAfter(delay, session.Caller(),
                        &line_session::CheckIdleTransaction);
  }
  void ScheduleMessageCheck(line_session& session, duration delay) override {
    sessions_.CallAfter(delay, session.Caller(),
                        &line_session::CheckMessageTime);
  }
  void ScheduleRefusalEnd(line_session& session) override {
    sessions_.CallAfter(kRefusalPeriod, session.Caller(),
                        &line_session::EndRefusalPeriod);
  }
  void ScheduleLastStatementEnd(line_session& session) override {
    sessions_.CallAfter(kLastStatementPeriod, session.Caller(),
                        &line_session::EndAwaitingStatement);
  }
  void OnSessionEnded(line_session& session) override;

  void Accept(const Poco::Net::StreamSocket& socket);
  void EndForMemory(caller_id caller);
  void Report(const shell::caller_limit_hit& hit) {
    if (observer_ != nullptr) {
      observer_->OnCallerLimited(hit);
    }
  }
  line_session* Find(request_id request) const;

  instance_settings settings_;
  shell::event_loop& loop_;
  const line_codec& codec_;
  std::uint64_t last_caller_ = 0;
  std::uint64_t last_request_ = 0;
  shell::session_observer* observer_ = nullptr;
  shell::session_set<line_session> sessions_;
  std::unordered_map<request_id, line_session*> requests_;
  std::size_t admitted_ = 0;
  duration idle_transaction_limit_{};
  shell::caller_limiter limiter_;
  shell::caller_acceptor acceptor_;
};

void front::Accept(const Poco::Net::StreamSocket& socket) {
  if (sessions_.Size() >= settings_.max_callers + kSpareConnections) {
    Report({shell::caller_limit::kCallers, {}, 0});
    return;
  }
  if (!limiter_.MayAccept(socket.impl()->sockfd())) {
    Report({shell::caller_limit::kDescriptors, {}, 0});
    return;
  }
  const caller_id caller{++last_caller_};
  session_owner& owner = *this;
  sessions_.Add(caller, std::make_unique<line_session>(owner, caller, socket));
  sessions_.CallAfter(settings_.startup_timeout, caller,
                      &line_session::EndStartup);
}

bool front::Admit(line_session& /*session*/) {
  if (admitted_ >= settings_.max_callers) {
    return false;
  }
  ++admitted_;
  return true;
}

void front::EndForMemory(caller_id caller) {
  if (line_session* const session = sessions_.Find(caller)) {
    session->EndAtLimit(shell::caller_limit::kMemory,
                        "memory is short and this session holds much of it");
  }
}

request_id front::BeginRequest(line_session& session) {
  const request_id request{++last_request_};
  requests_.emplace(request, &session);
  return request;
}

void front::OnSessionEnded(line_session& session) {
  if (const auto cut = session.Cut(); cut && observer_ != nullptr) {
    observer_->OnSessionCut(*cut);
  }
  limiter_.Forget(session.Caller());
  if (session.Started()) {
    --admitted_;
    if (!session.Left()) {
      loop_.Post(caller_closed{session.Caller()});
    }
  }
  sessions_.Remove(session.Caller());
}

line_session* front::Find(request_id request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : found->second;
}

void front::Close(const close_caller& command) {
  if (line_session* const session = sessions_.Find(command.caller)) {
    session->Close(command.reason);
  }
}

std::string_view front::ServiceOf(caller_id caller) const {
  const line_session* const session = sessions_.FindOrEnded(caller);
  return session == nullptr ? std::string_view() : session->Database();
}

bool front::FindStatement(request_id request, outgoing_statement& statement) {
  const line_session* const session = Find(request);
  if (session == nullptr) {
    return false;
  }
  session->Describe(statement);
  return true;
}

}  // namespace

result<std::unique_ptr<line_front>> MakeLineFront(
    const instance_settings& settings, shell::event_loop& loop,
    const line_codec& codec) {
  BOOST_LEAF_AUTO(socket, shell::ListenForCallers(settings.callers));
  return std::unique_ptr<line_front>(
      std::make_unique<front>(settings, loop, codec, socket));
}

}  // namespace marjoramslip::lines
