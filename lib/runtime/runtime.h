// Feeds the reducer with events and carries its effects out.

#ifndef MARJORAMSLIP_LIB_RUNTIME_RUNTIME_H_
#define MARJORAMSLIP_LIB_RUNTIME_RUNTIME_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "log_writer.h"
#include "marjoramslip/core/reducer.h"
#include "marjoramslip/peer/peer_transport.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/endpoint_links.h"
#include "marjoramslip/runtime/platform_link.h"
#include "marjoramslip/runtime/poll_loop.h"
#include "marjoramslip/runtime/statement_forwarder.h"
#include "metrics.h"
#include "name_table.h"
#include "status_server.h"

namespace marjoramslip::shell {

/// The parts that carry effects out; they outlive the runtime.
struct runtime_parts {
  poll_loop& loop;
  reducer& core;
  caller_front& front;
  endpoint_links& links;
  platform_link& platform;
  peer::peer_transport& peers;
  log_writer& log;
  metrics& measured;
  statement_forwarder* forwarder = nullptr;  ///< Null: none.
};

/// Lives on the loop's thread, but for the calls of status_source.
class runtime final : public event_consumer,
                      public session_observer,
                      public answer_observer,
                      public status_source {
 public:
  /// `on_drained` is called once all work is done after drain_requested.
  runtime(const runtime_parts& parts, std::function<void()> on_drained)
      : parts_(parts), on_drained_(std::move(on_drained)) {}

  void Consume(const event& what) override;
  void OnTurn(duration busy) override;
  void OnRefusal(const session_refusal& refusal) override;
  void OnSessionCut(const session_cut& cut) override;
  void OnCallerLimited(const caller_limit_hit& hit) override;
  void OnMismatchedAnswer(const mismatched_answer& answer) override;

  std::optional<std::string> Metrics() override;
  std::optional<std::string> Status() override;
  bool Ready() override { return ready_; }
  /// The loop runs no more: whoever waits for it on another thread gives up.
  void OnLoopEnded() { loop_ended_ = true; }
  /// Callers are no longer to be sent here.
  void SetLeaving() {
    draining_ = true;
    ready_ = false;
  }

 private:
  void ShowMembers(const event& what);
  void FollowReadiness(const event& what);
  /// Follows the catalogue that the core has in force.
  void FollowCatalogue();

  void CarryOut(const release_answer& what);
  void CarryOut(const fail_request& what);
  void CarryOut(const close_caller& what);
  void CarryOut(const caller_key_changed& what);
  void CarryOut(const open_connection& what);
  void CarryOut(const close_connection& what);
  void CarryOut(const send_statement& what);
  void CarryOut(const forward_statement& what);
  void CarryOut(const end_forwarded_caller& what);
  void CarryOut(const cancel_statement& what);
  void CarryOut(const probe_endpoint& what);
  void CarryOut(const move_endpoint& what);
  void CarryOut(const promote_endpoint& what);
  void CarryOut(const write_record& what);
  void CarryOut(const read_record& what);
  void CarryOut(const read_members& what);
  void CarryOut(const end_membership& what);
  void CarryOut(const send_peer_message& what);
  void CarryOut(const log_line& what);
  void CarryOut(const request_finished& what);
  void CarryOut(const counter_increment& what);
  void CarryOut(const group_closed& what);
  void CarryOut(const wake_at& what);
  void CarryOut(const drained& what);

  /// True if another line about a request may be written; counts those that
  /// may not.
  bool TakeRequestLine();
  /// Runs `make` on the loop's thread and waits for its text; empty if the
  /// loop does not answer.
  std::optional<std::string> OnLoop(std::function<std::string()> make);

  runtime_parts parts_;
  std::function<void()> on_drained_;
  name_table names_;
  /// Follows what the core reports; read by the status servers' threads.
  std::atomic<bool> ready_ = false;
  std::atomic<bool> loop_ended_ = false;
  bool draining_ = false;
  instant request_lines_since_{};
  std::uint32_t request_lines_ = 0;
  std::uint64_t lines_left_out_ = 0;
  std::uint64_t catalogue_revision_ = 0;
  std::uint64_t declared_version_ = 0;
  effect_list effects_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_RUNTIME_H_
