// Two instances that forward statements to each other over real sockets, in
// virtual time. The test takes the part of both cores and of the links to
// endpoints.

#ifndef MARJORAMSLIP_UNITTESTS_FORWARDING_FORWARDING_BENCH_H_
#define MARJORAMSLIP_UNITTESTS_FORWARDING_FORWARDING_BENCH_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/forwarding/forwarder.h"
#include "marjoramslip/lines/session_state.h"
#include "postgres/caller_bench.h"
#include "story.h"

namespace marjoramslip::forwarding {

using shell::bench_loop;
using std::chrono::milliseconds;

/// Front with one session, which keeps the answer that it is given.
class one_session_front final : public lines::line_front {
 public:
  void Release(const release_answer& /*command*/) override {}
  void Fail(const fail_request& /*command*/) override {}
  void Close(const close_caller& /*command*/) override {}
  void EndWithSessions(std::function<void()> on_ended) override { on_ended(); }
  void DismissSessions(const failure& /*reason*/) override {}
  void SetObserver(shell::session_observer* /*observer*/) override {}
  shell::session_counts Sessions() const override { return {}; }
  void CloseSessions() override {}
  std::string_view TenantOf(caller_id /*caller*/) const override { return {}; }
  std::string_view ServiceOf(caller_id /*caller*/) const override { return {}; }

  bool FindStatement(request_id /*request*/,
                     lines::outgoing_statement& statement) override {
    statement.id = "5c";
    statement.text = text;
    statement.session = &session;
    return connected;
  }
  void OnAttempt(request_id /*request*/) override { answer.clear(); }
  void OnRow(request_id /*request*/, std::string_view line) override {
    answer.append(line).append(";");
  }
  void DiscardRows(request_id /*request*/) override {}
  void OnDone(request_id /*request*/, std::string_view signature,
              transaction_status /*status*/) override {
    answer.append("done ").append(signature);
  }
  void OnError(request_id /*request*/, std::string_view line,
               transaction_status /*status*/) override {
    answer.append("error ").append(line);
  }

  lines::session_state session;
  std::string text = "READ 1a4";
  std::string answer;
  bool connected = true;
};

struct two_instances {
  two_instances() {
    carrier = Make("carrier", carrier_front);
    origin = Make("origin", origin_front);
    ReachCarrierAt(loop.FirstPort());
    origin_front.session.values.emplace("zone", "here");
  }

  /// Sets the port at which the origin finds the carrier.
  void ReachCarrierAt(std::uint16_t port) {
    member entry;
    entry.id = IdOf<instance_id>("carrier");
    entry.forwarding_address = "127.0.0.1:" + std::to_string(port);
    origin->SetMembers(std::vector<member>{entry});
  }
  std::unique_ptr<forwarder> Make(const std::string& name,
                                  lines::line_front& front) {
    instance_settings settings;
    settings.name = name;
    return leaf::try_handle_all(
        [&] { return MakeForwarder(settings, loop, front); },
        [] { return std::unique_ptr<forwarder>(); });
  }
  void Forward(std::uint64_t attempt, bool in_transaction = false) {
    ForwardUnread(attempt, in_transaction);
    Turn();
  }
  /// Sends a statement that the carrier does not read yet.
  void ForwardUnread(std::uint64_t attempt, bool in_transaction = false) {
    forward_statement command;
    command.carrier = IdOf<instance_id>("carrier");
    command.caller = caller_id{1};
    command.request = request_id{attempt};
    command.attempt = attempt;
    command.kind = statement_kind::kRead;
    command.service = "balance";
    command.floor = log_point{2, 9};
    command.time_left = milliseconds(700);
    command.in_transaction = in_transaction;
    origin->Forward(command);
  }
  void Turn() {
    constexpr int kTurns = 20;
    for (int i = 0; i < kTurns; ++i) {
      loop.Turn();
    }
  }
  statement_received TakeCarried() {
    const auto found = loop.Take<statement_received>();
    cr_assert(found.has_value(), "the carrier received no statement");
    return *found;
  }
  void Succeed(const statement_received& carried, transaction_status status) {
    lines::line_front& front = carrier->Front();
    front.OnAttempt(carried.request);
    front.OnRow(carried.request, "ROW abc");
    front.OnDone(carried.request, "7.1f", status);
    front.Release({carried.caller, carried.request, {2, 11}, 5});
    Turn();
  }
  /// Ends the carrier as its shutdown does, once it reports that it may end.
  /// Returns false if it does not report that within `limit`.
  bool EndCarrier(milliseconds limit) {
    bool ended = false;
    carrier->Front().EndWithSessions([&ended] { ended = true; });
    for (milliseconds waited{}; waited < limit && !ended;
         waited += milliseconds(50)) {
      Turn();
      Wait(milliseconds(50));
    }
    carrier.reset();
    Turn();
    return ended;
  }
  void Wait(milliseconds length) {
    constexpr milliseconds kStep(50);
    for (milliseconds waited{}; waited < length; waited += kStep) {
      loop.Advance(kStep);
      loop.Turn();
    }
  }

  bench_loop loop;
  one_session_front carrier_front;
  one_session_front origin_front;
  std::unique_ptr<forwarder> carrier;
  std::unique_ptr<forwarder> origin;
};

}  // namespace marjoramslip::forwarding

#endif  // MARJORAMSLIP_UNITTESTS_FORWARDING_FORWARDING_BENCH_H_
