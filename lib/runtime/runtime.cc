// One overload for each effect; whatever an effect causes comes back as an
// event later, never at once.

#include "runtime.h"

#include <future>
#include <memory>
#include <utility>
#include <variant>

#include "status_json.h"

namespace marjoramslip::shell {

namespace {

constexpr std::chrono::seconds kStatusTimeout{2};
/// Interval at which a wait for the loop looks whether that still runs.
constexpr std::chrono::milliseconds kStatusStep{50};
/// Lines about requests in each window: enough to find a cause by, at some
/// thousandths of a core.
constexpr std::uint32_t kRequestLines = 50;
constexpr duration kRequestLineWindow = std::chrono::seconds(1);
/// A turn of the loop from this length on is logged: nothing was read, sent or
/// answered meanwhile.
constexpr duration kLongTurn = std::chrono::milliseconds(100);

std::string_view NameOf(close_cause cause) {
  switch (cause) {
    case close_cause::kInstance:
      return "closed by this instance";
    case close_cause::kCaller:
      return "closed by the caller";
    case close_cause::kFailure:
      return "reset";
    case close_cause::kStall:
      return "the caller took no byte";
  }
  return "closed";
}

std::string Milliseconds(duration value) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(value)
                 .count()) +
         " ms";
}

}  // namespace

void runtime::Consume(const event& what) {
  ShowMembers(what);
  FollowReadiness(what);
  effects_.clear();
  parts_.core.Apply(what, parts_.loop.Now(), effects_);
  // Before the effects, which may name endpoints that are new in it.
  FollowCatalogue();
  for (const effect& next : effects_) {
    std::visit([this](const auto& one) { CarryOut(one); }, next);
  }
}

void runtime::OnTurn(duration busy) {
  parts_.measured.LoopTurn(busy);
  if (busy >= kLongTurn) {
    parts_.log.Write(log_level::kWarning, "loop.long_turn", Milliseconds(busy));
  }
}

void runtime::OnRefusal(const session_refusal& refusal) {
  parts_.measured.Counted({counter::kRefusals, 1, {}}, {});
  if (!TakeRequestLine()) {
    return;
  }
  log_line line;
  line.level = log_level::kWarning;
  line.event = "request.refused";
  line.text = std::string(VerdictName(refusal.reason.effect)) + " " +
              refusal.reason.sqlstate + ": " + refusal.reason.message;
  line.request = refusal.request;
  parts_.log.Write(line, names_, refusal.statement);
}

void runtime::OnSessionCut(const session_cut& cut) {
  parts_.measured.SessionCut(cut);
  if (!TakeRequestLine()) {
    return;
  }
  std::string text(NameOf(cut.cause));
  text += cut.request != request_id{}
              ? ", unanswered " + Milliseconds(cut.age) + " after it was read"
              : ", answered";
  text += ", " + std::to_string(cut.unsent_bytes) + " bytes unsent";
  log_line line;
  line.level = log_level::kWarning;
  line.event = "session.cut";
  line.request = cut.request;
  line.text = std::move(text);
  parts_.log.Write(line, names_, cut.statement);
}

void runtime::OnCallerLimited(const caller_limit_hit& hit) {
  parts_.measured.CallerLimited(hit);
  if (!TakeRequestLine()) {
    return;
  }
  std::string text = "limit " + std::string(NameOf(hit.limit));
  if (hit.caller != caller_id{}) {
    text += ", caller " + std::to_string(hit.caller.value) + " held " +
            std::to_string(hit.bytes) + " bytes";
  }
  text += ", all callers " + std::to_string(parts_.front.MemoryBytes());
  parts_.log.Write(log_level::kWarning, "caller.limited", text);
}

void runtime::OnMismatchedAnswer(const mismatched_answer& answer) {
  parts_.measured.AnswerMismatched(answer.mismatch);
  if (!TakeRequestLine()) {
    return;
  }
  log_line line;
  line.level = log_level::kWarning;
  line.event = "answer.mismatched";
  line.endpoint = answer.endpoint;
  line.request = answer.request;
  line.text = std::string(NameOf(answer.mismatch)) + ", connection " +
              std::to_string(answer.connection.value) +
              (answer.connection_closed ? ", closed" : ", kept");
  parts_.log.Write(line, names_, parts_.front.NameOf(answer.request));
}

/// Callers are welcome from the first catalogue to the beginning of a drain.
void runtime::FollowReadiness(const event& what) {
  if (std::holds_alternative<catalogue_seen>(what)) {
    ready_ = !draining_;
  } else if (std::holds_alternative<drain_requested>(what)) {
    SetLeaving();
  }
}

void runtime::ShowMembers(const event& what) {
  if (const auto* list = std::get_if<members_seen>(&what)) {
    parts_.peers.SetMembers(list->members);
    if (parts_.forwarder != nullptr) {
      parts_.forwarder->SetMembers(list->members);
    }
  }
}

void runtime::FollowCatalogue() {
  const catalogue& in_force = parts_.core.InForce();
  if (in_force.revision == catalogue_revision_ &&
      in_force.declared_version == declared_version_) {
    return;
  }
  catalogue_revision_ = in_force.revision;
  declared_version_ = in_force.declared_version;
  names_.SetCatalogue(in_force);
  parts_.measured.SetCatalogue(in_force);
  parts_.links.SetCatalogue(in_force);
  parts_.front.SetIdleTransactionLimit(in_force.idle_transaction_limit);
  parts_.platform.Learn(in_force);
}

void runtime::CarryOut(const release_answer& what) {
  parts_.front.Release(what);
}

void runtime::CarryOut(const fail_request& what) { parts_.front.Fail(what); }

void runtime::CarryOut(const close_caller& what) { parts_.front.Close(what); }

void runtime::CarryOut(const caller_key_changed& what) {
  parts_.front.SetKey(what);
}

void runtime::CarryOut(const open_connection& what) { parts_.links.Open(what); }

void runtime::CarryOut(const close_connection& what) {
  parts_.links.Close(what);
}

void runtime::CarryOut(const send_statement& what) { parts_.links.Send(what); }

void runtime::CarryOut(const forward_statement& what) {
  if (parts_.forwarder != nullptr) {
    parts_.forwarder->Forward(what);
  } else {
    parts_.loop.Post(
        forward_failed{what.request, what.attempt, what.carrier, false});
  }
}

void runtime::CarryOut(const end_forwarded_caller& what) {
  if (parts_.forwarder != nullptr) {
    parts_.forwarder->EndCaller(what);
  }
}

void runtime::CarryOut(const cancel_statement& what) {
  parts_.links.Cancel(what);
}

void runtime::CarryOut(const probe_endpoint& what) { parts_.links.Probe(what); }

void runtime::CarryOut(const move_endpoint& what) { parts_.links.Move(what); }

void runtime::CarryOut(const promote_endpoint& what) {
  parts_.links.Promote(what);
}

void runtime::CarryOut(const write_record& what) {
  parts_.platform.Write(what);
}

void runtime::CarryOut(const read_record& what) { parts_.platform.Read(what); }
void runtime::CarryOut(const read_members& /*what*/) {
  parts_.platform.ReadMembers();
}

void runtime::CarryOut(const end_membership& what) {
  parts_.platform.EndMembership(what);
}

void runtime::CarryOut(const send_peer_message& what) {
  parts_.peers.Send(what.recipient, what.message);
}

void runtime::CarryOut(const log_line& what) {
  if (what.request == request_id{}) {
    parts_.log.Write(what, names_);
    return;
  }
  if (TakeRequestLine()) {
    parts_.log.Write(what, names_, parts_.front.NameOf(what.request));
  }
}

/// Lines about requests are bounded; the number left out is told.
bool runtime::TakeRequestLine() {
  const instant now = parts_.loop.Now();
  if (now - request_lines_since_ >= kRequestLineWindow) {
    request_lines_since_ = now;
    request_lines_ = 0;
    if (const std::uint64_t left_out = std::exchange(lines_left_out_, 0)) {
      parts_.log.Write(log_level::kWarning, "log.left_out",
                       std::to_string(left_out) + " lines about requests");
    }
  }
  if (request_lines_ >= kRequestLines) {
    ++lines_left_out_;
    return false;
  }
  ++request_lines_;
  return true;
}

void runtime::CarryOut(const request_finished& what) {
  parts_.measured.Finished(what, parts_.front.ServiceOf(what.caller),
                           parts_.front.TenantOf(what.caller));
}

void runtime::CarryOut(const counter_increment& what) {
  parts_.measured.Counted(what, names_.NameOf(what.group));
}

void runtime::CarryOut(const group_closed& what) {
  parts_.measured.Closed(what, names_.NameOf(what.group));
}

void runtime::CarryOut(const wake_at& what) { parts_.loop.WakeAt(what.when); }

void runtime::CarryOut(const drained& /*what*/) { on_drained_(); }

std::optional<std::string> runtime::Metrics() {
  return OnLoop([this] {
    parts_.measured.Observe(parts_.core.Report(parts_.loop.Now()));
    parts_.measured.ObserveCallerMemory(parts_.front.MemoryBytes());
    return parts_.measured.Text();
  });
}

std::optional<std::string> runtime::Status() {
  return OnLoop([this] {
    return FormatStatus(parts_.core.Report(parts_.loop.Now()), names_);
  });
}

std::optional<std::string> runtime::OnLoop(std::function<std::string()> make) {
  const auto answer = std::make_shared<std::promise<std::string>>();
  std::future<std::string> text = answer->get_future();
  parts_.loop.PostFromThread(
      [answer, make = std::move(make)] { answer->set_value(make()); });
  for (duration waited{}; waited < kStatusTimeout; waited += kStatusStep) {
    if (text.wait_for(kStatusStep) == std::future_status::ready) {
      return text.get();
    }
    if (loop_ended_) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace marjoramslip::shell
