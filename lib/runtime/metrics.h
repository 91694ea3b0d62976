// What an instance measures, in prometheus-cpp's registry.

#ifndef MARJORAMSLIP_LIB_RUNTIME_METRICS_H_
#define MARJORAMSLIP_LIB_RUNTIME_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/status_report.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/endpoint_links.h"

namespace marjoramslip::shell {

/// Lets a bounded number of values through as labels; "other" stands for the
/// rest and "none" for an empty one.
class bounded_label {
 public:
  explicit bounded_label(std::size_t limit) : limit_(limit) {}
  std::string Get(std::string_view value);

 private:
  std::size_t limit_;
  std::set<std::string, std::less<>> known_;
};

/// Recorded on the loop's thread; Text() may be called on any.
class metrics {
 public:
  metrics();

  void Finished(const request_finished& what, std::string_view service,
                std::string_view tenant);
  void Counted(const counter_increment& what, const std::string& group);
  /// Learns the accounts. Those with the highest limits are told apart.
  void SetCatalogue(const catalogue& value);
  void Closed(const group_closed& what, const std::string& group);
  void LoopTurn(duration busy);
  void SessionCut(const session_cut& cut);
  void CallerLimited(const caller_limit_hit& hit);
  void AnswerMismatched(answer_mismatch mismatch);
  void ObserveCallerMemory(std::size_t bytes);

  /// Sets the gauges of callers, requests and connections.
  void Observe(const status_report& report);

  /// The registry in Prometheus' text format.
  std::string Text() const;

 private:
  struct request_times {
    prometheus::Histogram* total = nullptr;
    prometheus::Histogram* queued = nullptr;
  };
  using request_labels = std::tuple<std::string, std::string, statement_kind>;

  request_times& TimesOf(request_labels labels);
  /// Counts a request for its account, where accounts are in use.
  void CountForAccount(const request_finished& what);

  prometheus::Registry registry_;
  bounded_label services_;
  bounded_label tenants_;
  /// Bounds the accounts that were ever told apart.
  bounded_label account_names_;
  bool accounts_in_use_ = false;
  /// The largest accounts of the catalogue.
  std::map<account_id, std::string> accounts_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Family<prometheus::Histogram>& queue_seconds_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& verdicts_;
  prometheus::Family<prometheus::Counter>& account_requests_;
  prometheus::Family<prometheus::Counter>& account_seconds_;
  prometheus::Family<prometheus::Counter>& closed_seconds_;
  prometheus::Family<prometheus::Counter>& sessions_cut_;
  prometheus::Family<prometheus::Counter>& callers_limited_;
  prometheus::Family<prometheus::Counter>& answers_mismatched_;
  prometheus::Family<prometheus::Gauge>& caller_memory_;
  prometheus::Family<prometheus::Gauge>& callers_;
  prometheus::Family<prometheus::Gauge>& connections_;
  prometheus::Family<prometheus::Gauge>& waiting_;
  prometheus::Histogram& loop_seconds_;
  std::map<request_labels, request_times> times_;
  std::map<counter, prometheus::Family<prometheus::Counter>*> counters_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_METRICS_H_
