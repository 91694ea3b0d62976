// Accepts callers and finds the one that an answer is for.

#include "marjoramslip/postgres/postgres_front.h"

#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "caller_cancel.h"
#include "caller_session.h"
#include "marjoramslip/runtime/caller_acceptor.h"

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
  void EndWithSessions(std::function<void()> on_ended) override;
  void DismissSessions(const failure& reason) override;
  void SetObserver(session_observer* observer) override {
    observer_ = observer;
  }
  session_counts Sessions() const override;
  void CloseSessions() override;
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
  /// Reports the end of the front if its last session has ended.
  void ReportEnd();
  caller_session* Find(request_id request) const;
  caller_session* Find(caller_id caller) const;
  /// Finds those that have just gone too: the core still reports on them.
  const caller_session* FindOrGone(caller_id caller) const;
  /// Calls `task` with this front after `delay`, if it still exists.
  template <typename work>
  void Later(duration delay, work task);

  instance_settings settings_;
  event_loop& loop_;
  sql::classifier classifier_;
  cancel_registry cancels_;
  flow_listener* listener_ = nullptr;
  session_observer* observer_ = nullptr;
  std::function<void()> on_ended_;
  std::uint64_t last_caller_ = 0;
  std::uint64_t last_request_ = 0;
  std::size_t admitted_ = 0;
  std::unordered_map<caller_id, std::unique_ptr<caller_session>> sessions_;
  std::unordered_map<request_id, caller_session*> requests_;
  /// Sessions that are over and may still be on the stack.
  std::unordered_map<caller_id, std::unique_ptr<caller_session>> over_;
  std::shared_ptr<front*> self_;
  caller_acceptor acceptor_;
};

front::front(const instance_settings& settings, event_loop& loop,
             const Poco::Net::ServerSocket& socket)
    : settings_(settings),
      loop_(loop),
      self_(std::make_shared<front*>(this)),
      acceptor_(loop, socket, [this](const Poco::Net::StreamSocket& accepted) {
        Take(accepted);
      }) {}

template <typename work>
void front::Later(duration delay, work task) {
  const std::weak_ptr<front*> weak = self_;
  loop_.After(delay, [weak, task] {
    if (const auto self = weak.lock()) {
      task(**self);
    }
  });
}

void front::Take(const Poco::Net::StreamSocket& socket) {
  if (sessions_.size() >= settings_.max_callers + kSpareConnections) {
    return;
  }
  const caller_id caller{++last_caller_};
  session_host& host = *this;
  sessions_.emplace(caller,
                    std::make_unique<caller_session>(host, caller, socket));
  Later(settings_.startup_timeout, [caller](front& self) {
    if (caller_session* session = self.Find(caller)) {
      session->EndStartup();
    }
  });
}

std::optional<cancel_key> front::Admit(caller_session& session) {
  if (admitted_ >= settings_.max_callers) {
    return std::nullopt;
  }
  const auto key = cancels_.Register(session.Caller());
  admitted_ += key ? 1 : 0;
  return key;
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

session_counts front::Sessions() const {
  session_counts counts;
  for (const auto& [caller, session] : sessions_) {
    session->CountInto(counts);
  }
  return counts;
}

void front::EndWithSessions(std::function<void()> on_ended) {
  on_ended_ = std::move(on_ended);
  acceptor_.Finish();
  ReportEnd();
}

void front::ReportEnd() {
  if (on_ended_ && sessions_.empty()) {
    Later(duration{0}, [](front& self) {
      if (const auto on_ended = std::exchange(self.on_ended_, nullptr)) {
        on_ended();
      }
    });
  }
}

void front::DismissSessions(const failure& reason) {
  // A session that ends leaves the map.
  std::vector<caller_id> callers;
  callers.reserve(sessions_.size());
  for (const auto& session : sessions_) {
    callers.push_back(session.first);
  }
  for (const caller_id caller : callers) {
    const auto found = sessions_.find(caller);
    if (found != sessions_.end()) {
      found->second->Dismiss(reason);
    }
  }
}

void front::CloseSessions() {
  while (!sessions_.empty()) {
    sessions_.begin()->second->Abort();
  }
}

void front::Gone(caller_session& session) {
  if (const auto cut = session.Cut(); cut && observer_ != nullptr) {
    observer_->OnSessionCut(*cut);
  }
  if (const auto key = session.Key()) {
    cancels_.Forget(*key);
    --admitted_;
    loop_.Post(caller_closed{session.Caller()});
  }
  auto node = sessions_.extract(session.Caller());
  if (node.empty()) {
    return;
  }
  over_.insert(std::move(node));
  Later(duration{0}, [](front& self) { self.over_.clear(); });
  ReportEnd();
}

caller_session* front::Find(request_id request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : found->second;
}

caller_session* front::Find(caller_id caller) const {
  const auto found = sessions_.find(caller);
  return found == sessions_.end() ? nullptr : found->second.get();
}

const caller_session* front::FindOrGone(caller_id caller) const {
  const auto gone = over_.find(caller);
  return gone == over_.end() ? Find(caller) : gone->second.get();
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
  if (caller_session* session = Find(what.caller)) {
    session->Close(what.reason);
  }
}

std::string_view front::TenantOf(caller_id caller) const {
  const caller_session* session = FindOrGone(caller);
  return session == nullptr ? std::string_view() : session->Tenant();
}

std::string_view front::ServiceOf(caller_id caller) const {
  const caller_session* session = FindOrGone(caller);
  return session == nullptr ? std::string_view() : session->Service();
}

void front::OnAttempt(request_id request) {
  if (caller_session* session = Find(request)) {
    session->Answer().Restart();
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
