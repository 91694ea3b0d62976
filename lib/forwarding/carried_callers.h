// The callers of other instances whose statements this instance runs.

#ifndef MARJORAMSLIP_LIB_FORWARDING_CARRIED_CALLERS_H_
#define MARJORAMSLIP_LIB_FORWARDING_CARRIED_CALLERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "frame_stream.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/lines/line_front.h"
#include "marjoramslip/lines/session_state.h"
#include "marjoramslip/runtime/caller_acceptor.h"

namespace marjoramslip::forwarding {

/// Bit that distinguishes the ids of carried callers and of their statements
/// from those of the instance's own front, which counts from 1.
inline constexpr std::uint64_t kCarriedBit = std::uint64_t{1} << 63U;

template <typename id>
bool IsCarried(id value) {
  return (value.value & kCarriedBit) != 0;
}

class carried_callers;

/// A connection over which another instance forwards statements to this one.
class origin_link final : private frame_user {
 public:
  origin_link(carried_callers& owner, std::uint64_t number,
              shell::event_loop& loop, const Poco::Net::StreamSocket& socket);

  std::uint64_t Number() const { return number_; }
  void Send(const forward::Message& message);
  /// Tells the origin that what is unanswered has not run, and closes in an
  /// orderly way. Nothing is sent or handled after that.
  void Leave();
  /// Ids of its callers here, by their ids at the origin.
  std::unordered_map<std::uint64_t, caller_id>& Callers() { return callers_; }

 private:
  void OnMessage(const forward::Message& message) override;
  void OnStreamEnded() override;

  carried_callers& owner_;
  std::uint64_t number_;
  std::unordered_map<std::uint64_t, caller_id> callers_;
  bool left_ = false;
  frame_stream stream_;
};

/// Gives each (origin, caller) with a statement or transaction in progress a
/// caller of its own, which the core treats as any other.
class carried_callers final {
 public:
  carried_callers(shell::event_loop& loop, instance_id self,
                  std::uint32_t max_message_bytes,
                  const Poco::Net::ServerSocket& socket);
  ~carried_callers();
  carried_callers(const carried_callers&) = delete;
  carried_callers& operator=(const carried_callers&) = delete;

  // Commands of the core.
  void Release(const release_answer& command);
  void Fail(const fail_request& command);
  void Close(const close_caller& command);

  /// Ends the carrier's side after the core has been drained: accepts no more
  /// origins, leaves the others, and calls `on_ended` once none is left. The
  /// core runs no statement that arrives after its drain, so a statement
  /// without an answer has not run.
  void EndWithOrigins(std::function<void()> on_ended);

  // Calls from the links to endpoints.
  bool FindStatement(request_id request, lines::outgoing_statement& statement);
  void OnAttempt(request_id request);
  void OnRow(request_id request, std::string_view line);
  void DiscardRows(request_id request);
  void OnDone(request_id request, std::string_view signature,
              transaction_status status);
  void OnError(request_id request, std::string_view line,
               transaction_status status);

  std::string_view NameOf(request_id request) const;
  std::string_view RouteOf(caller_id caller) const;

  // Calls from origin links.
  void OnMessage(origin_link& origin, const forward::Message& message);
  void OnOriginEnded(origin_link& origin);

 private:
  /// A statement in progress.
  struct running_statement {
    std::uint64_t attempt = 0;
    std::string id;
    statement_kind kind = statement_kind::kRead;
    std::string text;
    std::string arguments;
    std::optional<lines::prepared_statement> prepared;
    lines::session_state session;
    std::size_t bytes = 0;  ///< As received.
    forward::Message answer;
    bool too_long = false;  ///< The answer exceeds the limit of a message.
    std::size_t answer_bytes = 0;
    transaction_status status = transaction_status::kIdle;
  };
  struct carried_caller {
    caller_id id;
    origin_link* origin = nullptr;
    std::uint64_t origin_caller = 0;
    std::string route;
    request_id request;  ///< 0 between the statements of a transaction.
    std::unique_ptr<running_statement> current;
  };

  void Accept(const Poco::Net::StreamSocket& socket);
  void OnStatement(origin_link& origin, const forward::Statement& received);
  carried_caller& Open(origin_link& origin, const forward::Statement& received);
  /// `load` as in release_answer, if it is known.
  void Refuse(origin_link& origin, std::uint64_t attempt, const failure& reason,
              std::optional<std::uint32_t> load = std::nullopt);
  /// Answers the caller's statement with a refusal and ends the caller.
  void RefuseAndEnd(carried_caller& caller, const failure& reason,
                    std::optional<std::uint32_t> load = std::nullopt);
  /// Forgets the statement in progress.
  void EndStatement(carried_caller& caller);
  /// Removes the caller and reports it to the core as closed, which rolls back
  /// its transaction. `caller` is invalid afterwards.
  void End(carried_caller& caller);
  /// Calls `on_ended_` if no origin is left.
  void ReportEnd();
  carried_caller* FindByRequest(request_id request);
  running_statement* FindCurrent(request_id request);

  shell::event_loop& loop_;
  instance_id self_;
  std::size_t max_bytes_;
  std::uint64_t last_caller_ = kCarriedBit;
  std::uint64_t last_request_ = kCarriedBit;
  std::uint64_t last_origin_ = 0;
  std::size_t bytes_ = 0;  ///< Of all statements in progress.
  std::unordered_map<caller_id, carried_caller> callers_;
  std::unordered_map<request_id, caller_id> requests_;
  std::unordered_map<std::uint64_t, std::unique_ptr<origin_link>> origins_;
  /// Ended links that may still be on the call stack; destroyed in a later turn
  /// of the event loop.
  std::vector<std::unique_ptr<origin_link>> ended_origins_;
  std::function<void()> on_ended_;
  std::shared_ptr<carried_callers*> weak_self_;
  shell::caller_acceptor acceptor_;
};

}  // namespace marjoramslip::forwarding

#endif  // MARJORAMSLIP_LIB_FORWARDING_CARRIED_CALLERS_H_
