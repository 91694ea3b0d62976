// Figures of a run.

#include "report.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <ostream>

namespace load {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::size_t kGapsKept = 5;
constexpr std::size_t kViolationsShown = 20;
constexpr double kMicrosecondsPerMillisecond = 1000.0;
constexpr double kMicrosecondsPerSecond = 1e6;

struct quantile_name {
  double share;
  const char* name;
};
constexpr std::array<quantile_name, 4> kQuantiles = {
    {{0.5, "p50"}, {0.9, "p90"}, {0.99, "p99"}, {0.999, "p99.9"}}};

constexpr std::array<outcome, 4> kOutcomes = {
    outcome::kAccepted, outcome::kNotRun, outcome::kMayHaveRun, outcome::kRan};

double Milliseconds(microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerMillisecond;
}

double PerSecond(std::uint64_t count, microseconds length) {
  const auto time = static_cast<double>(length.count());
  return time > 0 ? static_cast<double>(count) * kMicrosecondsPerSecond / time
                  : 0;
}

void AddOperation(class_figures& figures, const operation& one) {
  const auto latency = duration_cast<microseconds>(one.end - one.due);
  const bool accepted = one.effect == outcome::kAccepted;
  (accepted ? figures.accepted : figures.failed).Add(latency);
  ++figures.outcomes[static_cast<std::size_t>(one.effect)];
  figures.without_verdict += one.verdict ? 0 : 1;
  if (!accepted) {
    ++figures.errors[one.sqlstate];
  }
}

std::vector<write_gap> GapsOf(std::vector<monotonic> accepted, monotonic start,
                              monotonic end) {
  std::sort(accepted.begin(), accepted.end());
  accepted.push_back(std::max(end, accepted.empty() ? end : accepted.back()));
  std::vector<write_gap> gaps;
  monotonic last = start;
  for (const monotonic at : accepted) {
    gaps.push_back({duration_cast<microseconds>(last - start),
                    duration_cast<microseconds>(at - last)});
    last = at;
  }
  const std::size_t kept = std::min(kGapsKept, gaps.size());
  std::partial_sort(gaps.begin(),
                    gaps.begin() + static_cast<std::ptrdiff_t>(kept),
                    gaps.end(), [](const write_gap& a, const write_gap& b) {
                      return a.length > b.length;
                    });
  gaps.resize(kept);
  return gaps;
}

Poco::JSON::Object ClassJson(const class_figures& figures,
                             microseconds length) {
  Poco::JSON::Object out;
  for (const outcome each : kOutcomes) {
    out.set(OutcomeName(each),
            figures.outcomes[static_cast<std::size_t>(each)]);
  }
  out.set("without_verdict", figures.without_verdict);
  out.set("per_second", PerSecond(figures.accepted.Count(), length));
  for (const quantile_name& each : kQuantiles) {
    out.set(std::string(each.name) + "_ms",
            Milliseconds(figures.accepted.Quantile(each.share)));
  }
  out.set("max_ms", Milliseconds(figures.accepted.Max()));
  Poco::JSON::Object errors;
  for (const auto& [sqlstate, count] : figures.errors) {
    errors.set(sqlstate, count);
  }
  out.set("errors", errors);
  return out;
}

Poco::JSON::Object VerdictJson(const verdict_count& count) {
  Poco::JSON::Object out;
  out.set("accepted", count.accepted);
  out.set("accepted_missing", count.accepted_missing);
  out.set("not_run", count.not_run);
  out.set("not_run_present", count.not_run_present);
  out.set("ran_missing", count.ran_missing);
  out.set("may_have_run", count.may_have_run);
  out.set("may_have_run_present", count.may_have_run_present);
  out.set("doubles", count.doubles);
  out.set("increments_missing", count.increments_missing);
  out.set("torn_transactions", count.torn_transactions);
  out.set("strangers", count.strangers);
  out.set("unread_callers", count.unread_callers);
  Poco::JSON::Array violations;
  for (const violation& each : count.violations) {
    violations.add(each.caller + ": " + each.what);
  }
  out.set("violations", violations);
  out.set("held", count.Held());
  return out;
}

Poco::JSON::Array GapsJson(const std::vector<write_gap>& gaps) {
  Poco::JSON::Array out;
  for (const write_gap& each : gaps) {
    Poco::JSON::Object gap;
    gap.set("begins_ms", Milliseconds(each.begins));
    gap.set("length_ms", Milliseconds(each.length));
    out.add(gap);
  }
  return out;
}

void PrintClass(std::ostream& out, const char* name,
                const class_figures& figures, microseconds length) {
  out << std::left << std::setw(13) << name << std::right;
  for (const outcome each : kOutcomes) {
    out << std::setw(13) << figures.outcomes[static_cast<std::size_t>(each)];
  }
  out << std::setw(10) << PerSecond(figures.accepted.Count(), length);
  for (const quantile_name& each : kQuantiles) {
    out << std::setw(9) << Milliseconds(figures.accepted.Quantile(each.share));
  }
  out << std::setw(9) << Milliseconds(figures.accepted.Max());
  for (const auto& [sqlstate, count] : figures.errors) {
    out << "  " << sqlstate << ":" << count;
  }
  out << "\n";
}

void PrintVerdicts(std::ostream& out, const verdict_count& count) {
  out << "rows: " << count.accepted << " acknowledged ("
      << count.accepted_missing << " missing), " << count.not_run
      << " not run (" << count.not_run_present << " present), "
      << count.may_have_run << " may have run (" << count.may_have_run_present
      << " present), " << count.doubles << " doubles, "
      << count.torn_transactions << " torn transactions, "
      << count.unread_callers << " callers not read back\n";
  std::size_t shown = 0;
  for (const violation& each : count.violations) {
    if (++shown > kViolationsShown) {
      break;
    }
    out << "broken: " << each.caller << ": " << each.what << "\n";
  }
  out << (count.Held() ? "all promises held\n" : "NOT all promises held: ")
      << (count.Held()
              ? ""
              : std::to_string(count.violations.size()) + " violations\n");
}

}  // namespace

run_figures SumUp(const std::vector<caller_history>& histories, monotonic start,
                  monotonic end) {
  run_figures figures;
  figures.length = duration_cast<microseconds>(end - start);
  std::vector<monotonic> accepted_writes;
  for (const caller_history& each : histories) {
    for (const operation& one : each.operations) {
      AddOperation(figures.classes[static_cast<std::size_t>(one.kind)], one);
      const bool accepted = one.effect == outcome::kAccepted;
      figures.accepted += accepted ? 1 : 0;
      if (accepted && one.rows > 0) {
        accepted_writes.push_back(one.end);
      }
    }
  }
  figures.gaps = GapsOf(std::move(accepted_writes), start, end);
  return figures;
}

void PrintTable(std::ostream& out, const run_figures& figures) {
  out << std::fixed << std::setprecision(1);
  out << "class             accepted      not_run may_have_run          ran"
         "     per s   p50 ms   p90 ms   p99 ms p99.9 ms   max ms  errors\n";
  for (std::size_t index = 0; index < kOperationKinds; ++index) {
    PrintClass(out, KindName(static_cast<operation_kind>(index)),
               figures.classes[index], figures.length);
  }
  out << "throughput: " << PerSecond(figures.accepted, figures.length)
      << " accepted a second\n";
  for (const write_gap& each : figures.gaps) {
    out << "no write accepted for " << Milliseconds(each.length) << " ms from "
        << Milliseconds(each.begins) << " ms on\n";
  }
  if (figures.replica_share) {
    out << "reads served by replicas: " << *figures.replica_share * 100
        << " %\n";
  }
  PrintVerdicts(out, figures.verdicts);
}

bool SaveJson(const std::string& file, const run_figures& figures) {
  Poco::JSON::Object classes;
  for (std::size_t index = 0; index < kOperationKinds; ++index) {
    classes.set(KindName(static_cast<operation_kind>(index)),
                ClassJson(figures.classes[index], figures.length));
  }
  Poco::JSON::Object out;
  out.set("seconds",
          static_cast<double>(figures.length.count()) / kMicrosecondsPerSecond);
  out.set("classes", classes);
  out.set("per_second", PerSecond(figures.accepted, figures.length));
  out.set("write_gaps", GapsJson(figures.gaps));
  if (figures.replica_share) {
    out.set("replica_share", *figures.replica_share);
  }
  out.set("verdicts", VerdictJson(figures.verdicts));
  std::ofstream stream(file);
  out.stringify(stream, 2);
  stream << "\n";
  return static_cast<bool>(stream.flush());
}

}  // namespace load
