// Accepts callers and finds the one that an answer is for.

#include "marjoramslip/postgres/postgres_front.h"

#include <memory>
#include <unordered_map>
#include <utility>

#include "caller_cancel.h"
#include "caller_session.h"
#include "marjoramslip/runtime/caller_acceptor.h"
#include "marjoramslip/runtime/session_set.h"

namespace marjoramslip::shell {
namespace {

/// Connections above the limit of callers that may be starting or cancelling.
constexpr std::size_t kSpareConnections = 200;

class front : public postgres_front, private session_host {
 public:
  front(const instance_settings& settings, event_loop& loop,
        const Poco::Net::ServerSocket& socket);
  front(const front&) = delete;
  front& operator=(const front&) = delete;

  // caller_front.
  void Release(const release_answer& what) override;
  void Fail(const fail_request& what) override;
  void Close(const close_caller& what) override;
  void SetFlowListener(flow_listener* listener) override {
    listener_ = listener;
  }
  void EndWithSessions(std::function<void()> on_ended) override {
    acceptor_.Finish();
    sessions_.ReportEndTo(std::move(on_ended));
  }
  void DismissSessions(const failure& reason) override {
    sessions_.Dismiss(reason);
  }
  void SetObserver(session_observer* observer) override {
    observer_ = observer;
  }
  session_counts Sessions() const override { return sessions_.Counts(); }
  std::size_t MemoryBytes() const override { return limiter_.Total(); }
  void CloseSessions() override { sessions_.Abort(); }
  std::string_view TenantOf(caller_id caller) const override;
  std::string_view ServiceOf(caller_id caller) const override;

  // answer_sink and statement_source.
  void OnAttempt(request_id request) override;
  void OnColumns(request_id request,
                 std::span<const wire::column> columns) override;
  void OnRow(request_id request, std::span<const wire::cell> cells) override;
  void OnCommandTag(request_id request, std::string_view tag) override;
  void OnServerError(request_id request,
                     const wire::error_fields& fields) override;
  void OnNotice(request_id request, const wire::error_fields& fields) override;
  bool Accepting(request_id request) const override;
  std::string_view TextOf(request_id request) const override;

 private:
  // session_host.
  event_loop& Loop() override { return loop_; }
  const instance_settings& Settings() const override { return settings_; }
  sql::classifier& Classifier() override { return classifier_; }
  std::optional<cancel_key> Admit(caller_session& session) override;
  void OnMemory(caller_session& session) override {
    limiter_.Note(session.Caller(), session.MemoryUse());
  }
  void OnLimit(const caller_session& session, caller_limit limit) override {
    Report({limit, session.Caller(), session.MemoryUse().bytes});
  }
  void ScheduleMessageCheck(caller_session& session, duration delay) override {
    sessions_.CallAfter(delay, session.Caller(),
                        &caller_session::CheckMessageTime);
  }
  void CancelBy(cancel_key key) override;
  request_id Begin(caller_session& session) override;
  void End(request_id request) override { requests_.erase(request); }
  void OnRefusal(const session_refusal& refusal) override {
    if (observer_ != nullptr) {
      observer_->OnRefusal(refusal);
    }
  }
  void Ready(request_id request) override;
  void Gone(caller_session& session) override;

  void Take(const Poco::Net::StreamSocket& socket);
  void EndForMemory(caller_id caller);
  void Report(const caller_limit_hit& hit) {
    if (observer_ != nullptr) {
      observer_->OnCallerLimited(hit);
    }
  }
  caller_session* Find(request_id request) const;

  instance_settings settings_;
  event_loop& loop_;
  sql::classifier classifier_;
  cancel_registry cancels_;
  flow_listener* listener_ = nullptr;
  session_observer* observer_ = nullptr;
  std::uint64_t last_caller_ = 0;
  std::uint64_t last_request_ = 0;
  std::size_t admitted_ = 0;
  session_set<caller_session> sessions_;
  std::unordered_map<request_id, caller_session*> requests_;
  caller_limiter limiter_;
  caller_acceptor acceptor_;
};

front::front(const instance_settings& settings, event_loop& loop,
             const Poco::Net::ServerSocket& socket)
    : settings_(settings),
      loop_(loop),
      sessions_(loop),
      limiter_(settings, loop,
               [this](caller_id caller, std::size_t /*bytes*/) {
                 EndForMemory(caller);
               }),
      acceptor_(loop, socket, [this](const Poco::Net::StreamSocket& accepted) {
        Take(accepted);
      }) {}

void front::Take(const Poco::Net::StreamSocket& socket) {
  if (sessions_.Size() >= settings_.max_callers + kSpareConnections) {
    Report({caller_limit::kCallers, {}, 0});
    return;
  }
  if (!limiter_.MayAccept(socket.impl()->sockfd())) {
    Report({caller_limit::kDescriptors, {}, 0});
    return;
  }
  const caller_id caller{++last_caller_};
  session_host& host = *this;
  sessions_.Add(caller, std::make_unique<caller_session>(host, caller, socket));
  sessions_.CallAfter(settings_.startup_timeout, caller,
                      &caller_session::EndStartup);
}

std::optional<cancel_key> front::Admit(caller_session& session) {
  if (admitted_ >= settings_.max_callers) {
    return std::nullopt;
  }
  const auto key = cancels_.Register(session.Caller());
  admitted_ += key ? 1 : 0;
  return key;
}

void front::EndForMemory(caller_id caller) {
  if (caller_session* const session = sessions_.Find(caller)) {
    session->EndAtLimit(caller_limit::kMemory,
                        "memory is short and this session holds much of it");
  }
}

void front::CancelBy(cancel_key key) {
  if (const auto caller = cancels_.Find(key)) {
    loop_.Post(cancel_received{*caller});
  }
}

request_id front::Begin(caller_session& session) {
  const request_id request{++last_request_};
  requests_.emplace(request, &session);
  return request;
}

void front::Ready(request_id request) {
  if (listener_ != nullptr) {
    listener_->OnCallerReady(request);
  }
}

void front::Gone(caller_session& session) {
  if (const auto cut = session.Cut(); cut && observer_ != nullptr) {
    observer_->OnSessionCut(*cut);
  }
  if (const auto key = session.Key()) {
    cancels_.Forget(*key);
    --admitted_;
    if (!session.Left()) {
      loop_.Post(caller_closed{session.Caller()});
    }
  }
  limiter_.Forget(session.Caller());
  sessions_.Remove(session.Caller());
}

caller_session* front::Find(request_id request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : found->second;
}

void front::Release(const release_answer& what) {
  if (caller_session* session = Find(what.request)) {
    session->Release(what);
  }
}

void front::Fail(const fail_request& what) {
  if (caller_session* session = Find(what.request)) {
    session->Fail(what);
  }
}

void front::Close(const close_caller& what) {
  if (caller_session* session = sessions_.Find(what.caller)) {
    session->Close(what.reason);
  }
}

std::string_view front::TenantOf(caller_id caller) const {
  const caller_session* session = sessions_.FindOrEnded(caller);
  return session == nullptr ? std::string_view() : session->Tenant();
}

std::string_view front::ServiceOf(caller_id caller) const {
  const caller_session* session = sessions_.FindOrEnded(caller);
  return session == nullptr ? std::string_view() : session->Service();
}

void front::OnAttempt(request_id request) {
  if (caller_session* session = Find(request)) {
    session->OnAttempt();
  }
}

void front::OnColumns(request_id request,
                      std::span<const wire::column> columns) {
  if (caller_session* session = Find(request)) {
    session->Answer().Columns(columns);
  }
}

void front::OnRow(request_id request, std::span<const wire::cell> cells) {
  if (caller_session* session = Find(request)) {
    session->Answer().Row(cells);
    session->NoteRow();
  }
}

void front::OnCommandTag(request_id request, std::string_view tag) {
  if (caller_session* session = Find(request)) {
    session->Answer().Tag(tag);
  }
}

void front::OnServerError(request_id request,
                          const wire::error_fields& fields) {
  if (caller_session* session = Find(request)) {
    session->Answer().ServerError(fields);
  }
}

void front::OnNotice(request_id request, const wire::error_fields& fields) {
  if (caller_session* session = Find(request)) {
    session->Answer().Notice(fields);
  }
}

bool front::Accepting(request_id request) const {
  const caller_session* session = Find(request);
  return session == nullptr || session->Accepting();
}

std::string_view front::TextOf(request_id request) const {
  const caller_session* session = Find(request);
  return session == nullptr ? std::string_view() : session->Text();
}

}  // namespace

result<std::unique_ptr<postgres_front>> MakePostgresFront(
    const instance_settings& settings, event_loop& loop) {
  BOOST_LEAF_AUTO(socket, ListenForCallers(settings.callers));
  return std::unique_ptr<postgres_front>(
      std::make_unique<front>(settings, loop, socket));
}

}  // namespace marjoramslip::shell
