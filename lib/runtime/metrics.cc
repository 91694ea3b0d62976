// Declares the metrics and turns what the core reports into them.

#include "metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <vector>

namespace marjoramslip::shell {

namespace {

constexpr std::size_t kServiceLabels = 64;
constexpr std::size_t kTenantLabels = 64;
/// Accounts of one catalogue that are told apart, and of all catalogues that a
/// process has had.
constexpr std::size_t kLargestAccounts = 24;
constexpr std::size_t kAccountLabels = 64;
/// Combinations of service, tenant and class that are told apart.
constexpr std::size_t kRequestSeries = 400;
constexpr const char* kOtherLabel = "other";
constexpr double kMicrosecondsPerSecond = 1e6;

/// A counter of the core as a metric.
struct counter_metric {
  counter which;
  const char* name;
  const char* help;
  double scale;
  const char* reason =
      nullptr;  ///< Value of the label `reason`, if it has one.
};

constexpr char kRefusalReasonsName[] = "marjoramslip_overload_refusals_total";
constexpr char kRefusalReasonsHelp[] =
    "Requests refused because of load, by reason";

constexpr std::array kCounterMetrics = {
    counter_metric{counter::kInvariantChecks,
                   "marjoramslip_invariant_checks_total",
                   "Invariants checked inside the reducer", 1},
    counter_metric{counter::kInvariantViolations,
                   "marjoramslip_invariant_violations_total",
                   "Invariants found violated", 1},
    counter_metric{counter::kPromotionsStarted,
                   "marjoramslip_promotions_started_total",
                   "Changes of primary begun here", 1},
    counter_metric{counter::kPromotionsFinished,
                   "marjoramslip_promotions_finished_total",
                   "Changes of primary finished here", 1},
    counter_metric{counter::kPrimariesHandedBack,
                   "marjoramslip_primaries_handed_back_total",
                   "Changes of primary ended here by the old one's return", 1},
    counter_metric{counter::kFailoverGapMicroseconds,
                   "marjoramslip_failover_gap_seconds_total",
                   "Time in which no write could be accepted",
                   1 / kMicrosecondsPerSecond},
    counter_metric{counter::kPermitWaits, "marjoramslip_permit_waits_total",
                   "Waits for evidence of the term", 1},
    counter_metric{counter::kReplicaWaits, "marjoramslip_replica_waits_total",
                   "Waits for a replica's position", 1},
    counter_metric{counter::kReadsTakenOver,
                   "marjoramslip_reads_taken_over_total",
                   "Waits for a replica's position", 1},
    counter_metric{counter::kReadsPlacedElsewhere,
                   "marjoramslip_reads_placed_elsewhere_total",
                   "Reads not sent to the replica that looked cheapest", 1},
    counter_metric{counter::kRetries, "marjoramslip_retries_total",
                   "Requests tried again", 1},
    counter_metric{counter::kRefusals, "marjoramslip_refusals_total",
                   "Requests refused before they ran", 1},
    counter_metric{counter::kRefusedOnArrival, kRefusalReasonsName,
                   kRefusalReasonsHelp, 1, "wait_exceeds_deadline"},
    counter_metric{counter::kRefusedWhileWaiting, kRefusalReasonsName,
                   kRefusalReasonsHelp, 1, "chance_gone"},
    counter_metric{counter::kRefusedQueueFull, kRefusalReasonsName,
                   kRefusalReasonsHelp, 1, "queue_full"},
    counter_metric{counter::kEvidenceRequested,
                   "marjoramslip_evidence_requests_total",
                   "Requests for evidence to home instances", 1},
    counter_metric{counter::kEvidenceUnanswered,
                   "marjoramslip_evidence_unanswered_total",
                   "Requests for evidence that timed out", 1},
    counter_metric{counter::kLimitRequests, "marjoramslip_limit_requests_total",
                   "Requests for tokens of accounts to home instances", 1},
    counter_metric{counter::kLimitUnanswered,
                   "marjoramslip_limit_unanswered_total",
                   "Requests for tokens that timed out", 1},
    counter_metric{counter::kAccountRefusals,
                   "marjoramslip_account_refusals_total",
                   "Operations refused by the limits of accounts", 1},
    counter_metric{counter::kStatementsForwarded,
                   "marjoramslip_statements_forwarded_total",
                   "Statements sent to carriers", 1},
    counter_metric{counter::kStatementsCarried,
                   "marjoramslip_statements_carried_total",
                   "Statements of other instances that ended here", 1},
    counter_metric{counter::kCarriersTriedAgain,
                   "marjoramslip_statements_forwarded_again_total",
                   "Forwarded statements that went to another carrier", 1},
    counter_metric{counter::kCarriersAvoided,
                   "marjoramslip_carriers_avoided_total",
                   "Times that a carrier was avoided for a while", 1},
    counter_metric{counter::kCarrierRefusals,
                   "marjoramslip_carrier_refusals_total",
                   "Forwarded statements that a carrier refused", 1},
    counter_metric{counter::kCarrierChanges,
                   "marjoramslip_carrier_changes_total",
                   "Changes of a group's carriers", 1},
    counter_metric{counter::kUnknownKeys, "marjoramslip_unknown_keys_total",
                   "Callers and statements refused because no client account "
                   "holds their key",
                   1},
    counter_metric{counter::kConnectionsEvicted,
                   "marjoramslip_connections_evicted_total",
                   "Idle connections closed in favour of another account", 1},
};

const prometheus::Histogram::BucketBoundaries& SecondsBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
      0.1,    0.25,  0.5,    1,     2.5,  5,     10};
  return kBuckets;
}

const prometheus::Histogram::BucketBoundaries& LoopBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.00001, 0.00005, 0.0001, 0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 1};
  return kBuckets;
}

double Seconds(duration value) {
  return static_cast<double>(value.count()) / kMicrosecondsPerSecond;
}

const char* NameOf(statement_kind kind) {
  switch (kind) {
    case statement_kind::kRead:
      return "read";
    case statement_kind::kWrite:
      return "write";
    case statement_kind::kBegin:
      return "begin";
    case statement_kind::kCommit:
      return "commit";
    case statement_kind::kRollback:
      return "rollback";
    case statement_kind::kBeginRead:
      return "begin_read";
  }
  return "write";
}

const char* NameOf(endpoint_role role) {
  return role == endpoint_role::kPrimary ? "primary" : "replica";
}

prometheus::Family<prometheus::Histogram>& AddHistogram(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>& AddCounter(
    prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& AddGauge(prometheus::Registry& registry,
                                                const char* name,
                                                const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

}  // namespace

std::string bounded_label::Get(std::string_view value) {
  if (value.empty()) {
    return "none";
  }
  if (known_.contains(value)) {
    return std::string(value);
  }
  if (known_.size() >= limit_) {
    return kOtherLabel;
  }
  known_.emplace(value);
  return std::string(value);
}

metrics::metrics()
    : services_(kServiceLabels),
      tenants_(kTenantLabels),
      account_names_(kAccountLabels),
      request_seconds_(AddHistogram(registry_, "marjoramslip_request_seconds",
                                    "From arrival to the end of the answer")),
      queue_seconds_(AddHistogram(registry_, "marjoramslip_queue_seconds",
                                  "From arrival to sending")),
      requests_(AddCounter(registry_, "marjoramslip_requests_total",
                           "Requests that ended")),
      verdicts_(AddCounter(registry_, "marjoramslip_verdicts_total",
                           "Failed requests by what is known of their effect")),
      account_requests_(AddCounter(registry_,
                                   "marjoramslip_account_requests_total",
                                   "Requests that ended, by client account")),
      account_seconds_(
          AddCounter(registry_, "marjoramslip_account_request_seconds_total",
                     "Time from arrival to the end of the answer, by client "
                     "account")),
      closed_seconds_(
          AddCounter(registry_, "marjoramslip_group_closed_seconds_total",
                     "Time in which a group accepted no writes, by what it "
                     "was waiting for")),
      sessions_cut_(AddCounter(registry_, "marjoramslip_sessions_cut_total",
                               "Sessions that ended with a statement "
                               "unanswered or an answer unsent, by which side "
                               "ended them")),
      callers_limited_(AddCounter(registry_,
                                  "marjoramslip_callers_limited_total",
                                  "Callers refused or closed at a limit")),
      answers_mismatched_(AddCounter(registry_,
                                     "marjoramslip_answers_mismatched_total",
                                     "Answers of endpoints that do not fit "
                                     "what was sent to them")),
      caller_memory_(AddGauge(registry_, "marjoramslip_caller_memory_bytes",
                              "Memory that callers' sessions hold")),
      callers_(AddGauge(registry_, "marjoramslip_callers",
                        "Callers, and their requests in progress")),
      connections_(AddGauge(registry_, "marjoramslip_connections",
                            "Connections to endpoints")),
      waiting_(AddGauge(registry_, "marjoramslip_waiting",
                        "Requests that wait for an endpoint, by priority")),
      loop_seconds_(AddHistogram(registry_, "marjoramslip_loop_busy_seconds",
                                 "Work in one turn of the event loop")
                        .Add({}, LoopBuckets())) {
  for (const counter_metric& metric : kCounterMetrics) {
    counters_[metric.which] = &AddCounter(registry_, metric.name, metric.help);
  }
}

metrics::request_times& metrics::TimesOf(request_labels labels) {
  if (times_.size() >= kRequestSeries && !times_.contains(labels)) {
    labels = {kOtherLabel, kOtherLabel, std::get<2>(labels)};
  }
  request_times& times = times_[labels];
  if (times.total == nullptr) {
    const prometheus::Labels named = {{"service", std::get<0>(labels)},
                                      {"tenant", std::get<1>(labels)},
                                      {"class", NameOf(std::get<2>(labels))}};
    times.total = &request_seconds_.Add(named, SecondsBuckets());
    times.queued = &queue_seconds_.Add(named, SecondsBuckets());
  }
  return times;
}

void metrics::Finished(const request_finished& what, std::string_view service,
                       std::string_view tenant) {
  request_times& times =
      TimesOf({services_.Get(service), tenants_.Get(tenant), what.kind});
  times.total->Observe(Seconds(what.total));
  times.queued->Observe(Seconds(what.queued));
  CountForAccount(what);
  requests_
      .Add({{"kind", NameOf(what.kind)},
            {"served_by", NameOf(what.served_by)},
            {"outcome", what.succeeded ? "succeeded" : "failed"}})
      .Increment();
  if (!what.succeeded) {
    verdicts_.Add({{"verdict", std::string(VerdictName(what.effect))}})
        .Increment();
  }
}

void metrics::SetCatalogue(const catalogue& value) {
  accounts_in_use_ = value.accounts_in_use;
  accounts_.clear();
  std::vector<const client_account*> by_size;
  for (const auto& [name, account] : value.accounts) {
    by_size.push_back(&account);
  }
  // Equal limits keep the order of names, so that all instances tell the same
  // accounts apart.
  std::stable_sort(by_size.begin(), by_size.end(),
                   [](const client_account* left, const client_account* right) {
                     return left->operations_per_second >
                            right->operations_per_second;
                   });
  by_size.resize(std::min(by_size.size(), kLargestAccounts));
  for (const client_account* account : by_size) {
    accounts_.emplace(account->Id(), account->name);
  }
}

void metrics::CountForAccount(const request_finished& what) {
  if (!accounts_in_use_) {
    return;
  }
  const auto known = accounts_.find(what.account);
  const std::string account =
      what.account == account_id{} ? account_names_.Get({})
      : known == accounts_.end()   ? kOtherLabel
                                   : account_names_.Get(known->second);
  account_requests_
      .Add({{"account", account},
            {"outcome", what.succeeded ? "succeeded" : "failed"}})
      .Increment();
  account_seconds_.Add({{"account", account}}).Increment(Seconds(what.total));
}

void metrics::Counted(const counter_increment& what, const std::string& group) {
  for (const counter_metric& metric : kCounterMetrics) {
    if (metric.which != what.counter_kind) {
      continue;
    }
    prometheus::Labels labels;
    if (!group.empty()) {
      labels.emplace("group", group);
    }
    if (metric.reason != nullptr) {
      labels.emplace("reason", metric.reason);
    }
    counters_[what.counter_kind]->Add(labels).Increment(
        static_cast<double>(what.amount) * metric.scale);
    return;
  }
}

void metrics::Closed(const group_closed& what, const std::string& group) {
  closed_seconds_
      .Add({{"group", group},
            {"stage", std::string(marjoramslip::NameOf(what.stage))}})
      .Increment(Seconds(what.length));
}

void metrics::LoopTurn(duration busy) { loop_seconds_.Observe(Seconds(busy)); }

void metrics::SessionCut(const session_cut& cut) {
  const bool by_caller = cut.cause == close_cause::kCaller;
  sessions_cut_
      .Add({{"by", by_caller                             ? "caller"
                   : cut.cause == close_cause::kInstance ? "instance"
                                                         : "network"},
            {"statement",
             cut.request == request_id{} ? "answered" : "unanswered"}})
      .Increment();
}

void metrics::AnswerMismatched(answer_mismatch mismatch) {
  answers_mismatched_.Add({{"mismatch", std::string(shell::NameOf(mismatch))}})
      .Increment();
}

void metrics::CallerLimited(const caller_limit_hit& hit) {
  callers_limited_.Add({{"limit", std::string(shell::NameOf(hit.limit))}})
      .Increment();
}

void metrics::ObserveCallerMemory(std::size_t bytes) {
  caller_memory_.Add({}).Set(static_cast<double>(bytes));
}

void metrics::Observe(const status_report& report) {
  callers_.Add({{"state", "connected"}}).Set(report.callers);
  callers_.Add({{"state", "waiting"}}).Set(report.requests);
  for (const group_report& group : report.groups) {
    for (const endpoint_report& endpoint : group.endpoints) {
      connections_.Add({{"endpoint", endpoint.name}, {"state", "open"}})
          .Set(endpoint.connections);
      connections_.Add({{"endpoint", endpoint.name}, {"state", "busy"}})
          .Set(endpoint.busy);
      connections_.Add({{"endpoint", endpoint.name}, {"state", "share"}})
          .Set(endpoint.share);
      connections_.Add({{"endpoint", endpoint.name}, {"state", "in_flight"}})
          .Set(endpoint.in_flight);
      for (const auto& [priority, waiting] : endpoint.waiting) {
        waiting_
            .Add({{"endpoint", endpoint.name},
                  {"priority", std::to_string(priority)}})
            .Set(waiting);
      }
    }
  }
}

std::string metrics::Text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, registry_.Collect());
  return out.str();
}

}  // namespace marjoramslip::shell
