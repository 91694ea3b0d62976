// A test harness: a reducer under virtual time with a group of three healthy
// endpoints.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_HARNESS_H_
#define MARJORAMSLIP_UNITTESTS_CORE_HARNESS_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/core/reducer.h"
#include "marjoramslip/core/status_report.h"

namespace marjoramslip {

/// Answers the opening of connections and probes at once. The test answers
/// statements.
class harness {
 public:
  /// With `platform_promotes`, statements carry no term to the databases, and
  /// the platform promotes databases on request.
  /// With `forwarding`, the instance can forward statements.
  explicit harness(ack_policy ack = ack_policy::kReplica,
                   bool platform_promotes = false,
                   const std::string& name = "i", bool forwarding = false,
                   std::optional<std::uint32_t> in_flight_surplus = {})
      : core_(Options(name, forwarding, in_flight_surplus)),
        ack_(ack),
        platform_promotes_(platform_promotes) {
    for (const char* endpoint : {"a", "b", "c"}) {
      states_[IdOf<endpoint_id>(endpoint)] = {1, 1, 10,
                                              endpoint_role::kReplica};
    }
    states_[Id("a")].role = endpoint_role::kPrimary;
    ApplyEvent(catalogue_seen{MakeCatalogue(1)});
    SetMembers({{.id = IdOf<instance_id>(name),
                 .name = name,
                 .peer_address = {},
                 .failure_domain = {},
                 .leaving = false,
                 .seat = 0}});
    group_record record;
    record.term = 1;
    record.primary = Id("a");
    record.forks = fork_history({{1, 0, 0}});
    record.witnesses = {Id("a"), Id("b"), Id("c")};
    stored_record_ = {record, 1};
    ApplyEvent(record_seen{Group(), stored_record_});
    ApplyEvent(records_read{now_});
    AdvanceTime(std::chrono::milliseconds(50));
    ApplyEvent(caller_opened{caller_id{1}, "ledger", "tenant"});
  }

  static endpoint_id Id(const char* name) { return IdOf<endpoint_id>(name); }
  static group_id Group() { return IdOf<group_id>("g"); }

  /// Returns a catalogue with the group, at `revision`.
  catalogue MakeCatalogue(std::uint64_t revision) const {
    group_spec group;
    group.name = "g";
    for (const char* name : {"a", "b", "c"}) {
      endpoint_spec endpoint;
      endpoint.name = name;
      endpoint.connections = 3;
      group.endpoints.push_back(endpoint);
    }
    service_spec service;
    service.name = "ledger";
    service.ack = ack_;
    service.seats = 1;
    service.groups = {group};
    service.term_bound = !platform_promotes_;
    catalogue notes;
    notes.routed = platform_promotes_;
    notes.routes = routes;
    notes.revision = revision;
    notes.services.emplace("ledger", service);
    return notes;
  }

  /// Sets the list of instances and announces it to the reducer.
  void SetMembers(std::vector<member> members) {
    members_ = {std::move(members), now_};
    ApplyEvent(members_);
  }

  /// Applies an event and executes its effects.
  void ApplyEvent(const event& incoming) {
    effect_list effects;
    core_.Apply(incoming, now_, effects);
    for (effect& emitted : effects) {
      Execute(emitted);
    }
  }

  /// Advances the virtual time in steps of 5 ms, with a tick at each.
  void AdvanceTime(duration length) {
    const instant end = now_ + length;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(5);
      RenewMembership();
      ApplyEvent(tick{});
    }
  }

  /// Advances the virtual time while an endpoint's state is reported once per
  /// `pause`, which may be far more often than ticks occur.
  void AdvanceTimeWithProbes(duration length, duration pause,
                             const char* endpoint) {
    const instant end = now_ + length;
    instant next_tick = now_ + kTickInterval;
    while (now_ < end) {
      now_ += pause;
      ApplyEvent(probe_answered{Id(endpoint), now_, State(endpoint)});
      if (now_ >= next_tick) {
        next_tick = now_ + kTickInterval;
        RenewMembership();
        ApplyEvent(tick{});
      }
    }
  }

  /// Completes the opening of a connection, unless it was closed meanwhile.
  void FinishOpening(connection_id connection) {
    std::erase(opening, connection);
    if (const auto endpoint = connection_endpoints_.find(connection);
        endpoint != connection_endpoints_.end()) {
      ApplyEvent(connection_opened{connection,
                                   ReportedState(states_[endpoint->second])});
    }
  }

  /// Sends a caller's statement. Request ids start at 1.
  request_id SendStatement(statement_kind kind,
                           statement_settings settings = {},
                           caller_id caller = caller_id{1}) {
    const request_id request{++last_request_};
    ApplyEvent(statement_received{caller, request, kind, std::move(settings)});
    return request;
  }

  /// Answers a sent statement with the endpoint's current state.
  void AnswerStatement(request_id request,
                       transaction_status status = transaction_status::kIdle,
                       answer_outcome outcome = answer_outcome::kSucceeded) {
    const send_statement sent = sent_statements_.at(request);
    sent_statements_.erase(request);
    const endpoint_state state =
        ReportedState(states_[connection_endpoints_.at(sent.connection)]);
    ApplyEvent(
        statement_answered{sent.connection, request, outcome, status, state});
  }

  /// True if the statement was sent and is not answered yet.
  bool IsInFlight(request_id request) const {
    return sent_statements_.contains(request);
  }
  /// Returns the endpoint to which the statement was sent.
  endpoint_id EndpointOf(request_id request) const {
    return connection_endpoints_.at(sent_statements_.at(request).connection);
  }
  connection_id ConnectionOf(request_id request) const {
    return sent_statements_.at(request).connection;
  }
  bool IsReleased(request_id request) const {
    return released_floors_.contains(request);
  }
  std::optional<failure> FailureOf(request_id request) const {
    const auto entry = failures_.find(request);
    return entry == failures_.end() ? std::nullopt
                                    : std::optional(entry->second);
  }
  log_point FloorOf(request_id request) const {
    return released_floors_.at(request);
  }
  bool IsOpen(connection_id id) const {
    return connection_endpoints_.contains(id);
  }

  const group_record& Record() const { return stored_record_.record; }
  endpoint_state& State(const char* name) { return states_[Id(name)]; }
  status_report Report() const { return core_.Report(now_); }

  /// The routes to which callers connect if the platform promotes.
  std::map<std::string, route_spec, std::less<>> routes = {
      {"fresh",
       {.name = "fresh", .service = "ledger", .reads = consistency::kPrimary}},
      {"ledger",
       {.name = "ledger",
        .service = "ledger",
        .reads = consistency::kReadYourWrites,
        .max_staleness = std::chrono::seconds(2)}},
  };
  std::vector<forward_statement> forwards;
  std::vector<end_forwarded_caller> ended_forwards;
  std::vector<promote_endpoint> promotions;
  std::vector<move_endpoint> moves;
  std::vector<end_membership> membership_ends;
  std::vector<log_line> log_lines;
  std::vector<group_record> written_records;
  /// False if reads and writes of records are left unanswered.
  bool record_store_available = true;
  bool members_available = true;  ///< False if reads of the instance list fail.
  bool lease_store_available = true;  ///< False if leases are left unanswered.
  const send_statement& Statement(request_id request) const {
    return sent_statements_.at(request);
  }

  bool ignores_probes = false;       ///< True if probes are not answered.
  endpoint_id unreachable_endpoint;  ///< Probes of this endpoint fail.
  endpoint_id silent_endpoint;       ///< Probes of this one are not answered.
  /// True if the endpoints accept neither connections nor probes because they
  /// are at their connection limit.
  bool connection_limit_reached = false;
  instant Now() const { return now_; }
  std::uint64_t probes = 0;
  std::uint64_t connection_attempts = 0;
  std::uint64_t member_reads = 0;
  std::uint64_t record_reads = 0;  ///< Includes those left unanswered.
  std::uint64_t violations = 0;
  std::vector<caller_id> closed_callers;
  std::vector<caller_key_changed> key_changes;
  bool holds_opening = false;  ///< True if FinishOpening opens connections.
  std::vector<connection_id> opening;  ///< Those that are held.
  /// The names in which connections were opened; closed ones are kept.
  std::map<connection_id, std::string> opened_for;
  bool is_drained = false;
  std::vector<peer_message> peer_messages;
  std::vector<instance_id> peer_recipients;  ///< Of the messages, in order.

 private:
  static core_options Options(const std::string& name, bool forwarding,
                              std::optional<std::uint32_t> in_flight_surplus) {
    core_options options;
    options.in_flight_surplus = in_flight_surplus;
    options.instance_name = name;
    options.forwarding = forwarding;
    options.failure_domain = "east";
    return options;
  }

  /// Renews the membership lease, as the shell does every 600 ms.
  void RenewMembership() {
    if (lease_store_available && now_ >= next_renewal_) {
      next_renewal_ = now_ + std::chrono::milliseconds(600);
      ApplyEvent(membership_renewed{now_, instant{}});
    }
  }

  /// Returns the part of a state that an answer reports. If the platform
  /// promotes, that is only the last log entry.
  endpoint_state ReportedState(endpoint_state state) const {
    state.complete = !platform_promotes_;
    state.term = platform_promotes_ ? 0 : state.term;
    return state;
  }

  /// Carries out an effect as the shell would.
  void Execute(effect& emitted) {
    if (auto* open = std::get_if<open_connection>(&emitted)) {
      ++connection_attempts;
      if (connection_limit_reached) {
        ApplyEvent(connection_refused{open->connection, true, "limit"});
        return;
      }
      connection_endpoints_[open->connection] = open->endpoint;
      opened_for[open->connection] = open->account;
      if (holds_opening) {
        opening.push_back(open->connection);
      } else {
        FinishOpening(open->connection);
      }
    } else if (auto* close = std::get_if<close_connection>(&emitted)) {
      connection_endpoints_.erase(close->connection);
    } else if (auto* send = std::get_if<send_statement>(&emitted)) {
      sent_statements_[send->request] = *send;
    } else if (auto* probe = std::get_if<probe_endpoint>(&emitted)) {
      ++probes;
      if (connection_limit_reached) {
        ApplyEvent(probe_failed{.endpoint = probe->endpoint,
                                .sent_at = now_,
                                .limit_reached = true});
      } else if (probe->endpoint == unreachable_endpoint) {
        ApplyEvent(probe_failed{probe->endpoint, now_, true});
      } else if (!ignores_probes && probe->endpoint != silent_endpoint) {
        ApplyEvent(
            probe_answered{probe->endpoint, now_, states_[probe->endpoint]});
      }
    } else if (auto* forward = std::get_if<forward_statement>(&emitted)) {
      forwards.push_back(*forward);
    } else if (auto* ended = std::get_if<end_forwarded_caller>(&emitted)) {
      ended_forwards.push_back(*ended);
    } else if (auto* release = std::get_if<release_answer>(&emitted)) {
      released_floors_[release->request] = release->floor;
    } else if (auto* fail = std::get_if<fail_request>(&emitted)) {
      failures_[fail->request] = fail->reason;
    } else if (auto* closed_caller = std::get_if<close_caller>(&emitted)) {
      closed_callers.push_back(closed_caller->caller);
    } else if (auto* key = std::get_if<caller_key_changed>(&emitted)) {
      key_changes.push_back(*key);
    } else if (auto* increment = std::get_if<counter_increment>(&emitted)) {
      violations +=
          increment->counter_kind == counter::kInvariantViolations ? 1 : 0;
    } else if (auto* message = std::get_if<send_peer_message>(&emitted)) {
      peer_messages.push_back(message->message);
      peer_recipients.push_back(message->recipient);
    } else if (auto* promotion = std::get_if<promote_endpoint>(&emitted)) {
      promotions.push_back(*promotion);
    } else if (auto* move = std::get_if<move_endpoint>(&emitted)) {
      moves.push_back(*move);
    } else if (auto* line = std::get_if<log_line>(&emitted)) {
      log_lines.push_back(*line);
    } else if (auto* write = std::get_if<write_record>(&emitted)) {
      written_records.push_back(write->record);
      if (record_store_available && platform_promotes_) {
        stored_record_.revision =
            std::max(stored_record_.revision, write->expected_revision) + 1;
        stored_record_.record = write->record;
        ApplyEvent(record_written{write->operation, write->group,
                                  write_outcome::kApplied,
                                  stored_record_.revision});
      }
    } else if (std::holds_alternative<read_members>(emitted)) {
      ++member_reads;
      if (members_available) {
        members_.requested_at = now_;
        ApplyEvent(members_);
      }
    } else if (auto* end = std::get_if<end_membership>(&emitted)) {
      membership_ends.push_back(*end);
      if (lease_store_available) {
        ApplyEvent(membership_ended{end->member});
      }
    } else if (std::holds_alternative<read_record>(emitted)) {
      ++record_reads;
      if (record_store_available) {
        ApplyEvent(record_seen{Group(), stored_record_});
      }
    }
    is_drained = is_drained || std::holds_alternative<drained>(emitted);
  }

  reducer core_;
  ack_policy ack_;
  bool platform_promotes_;
  versioned_record stored_record_;
  members_seen members_;
  instant now_{std::chrono::seconds(1)};
  instant next_renewal_{};
  std::map<endpoint_id, endpoint_state> states_;
  std::map<connection_id, endpoint_id> connection_endpoints_;
  std::map<request_id, send_statement> sent_statements_;
  std::map<request_id, log_point> released_floors_;
  std::map<request_id, failure> failures_;
  std::uint64_t last_request_ = 0;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_HARNESS_H_
