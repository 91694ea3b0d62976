// How fast what is meant for all reaches all, in meshes that are not full.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/peer/peer_transport.h"

namespace marjoramslip::bench {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::size_t kFullMeshLimit = 16;
constexpr std::int64_t kDomains = 10;
constexpr int kReports = 20;
constexpr int kMostRounds = 40;
constexpr std::chrono::seconds kSettling{3};
constexpr std::chrono::seconds kLongest{2};
constexpr std::chrono::milliseconds kRound{200};
constexpr std::chrono::microseconds kStep{100};

/// An instance that knows the newest term reported and the newest revision.
class instance {
 public:
  explicit instance(std::int64_t number) {
    as_.name = "instance-" + std::to_string(number);
    as_.id = IdOf<instance_id>(as_.name);
    as_.failure_domain = "domain-" + std::to_string(number % kDomains);
    auto made = Attempt([this] {
      return peer::MakePeerTransport(
          "127.0.0.1", 0, as_.id,
          [this](instance_id, const peer_message& what) { Take(what); },
          {.full_mesh_limit = kFullMeshLimit});
    });
    transport_ = std::move(*made.got);
    as_.peer_address = transport_->Address();
  }

  const member& As() const { return as_; }
  peer::peer_transport& Transport() { return *transport_; }

  std::atomic<std::uint64_t> term = 0;
  std::atomic<std::uint64_t> revision = 0;

 private:
  void Take(const peer_message& what) {
    if (const auto* report = std::get_if<suspicion_report>(&what)) {
      term = std::max<std::uint64_t>(term, report->term);
    } else if (const auto* news = std::get_if<revision_update>(&what)) {
      revision = std::max<std::uint64_t>(revision, news->revision);
    }
  }

  member as_;
  std::unique_ptr<peer::peer_transport> transport_;
};

using instances = std::vector<std::unique_ptr<instance>>;

instances Start(std::int64_t count) {
  instances all;
  std::vector<member> members;
  for (std::int64_t i = 0; i < count; ++i) {
    all.push_back(std::make_unique<instance>(i));
    members.push_back(all.back()->As());
  }
  for (const auto& one : all) {
    one->Transport().SetMembers(members);
  }
  std::this_thread::sleep_for(kSettling);
  return all;
}

/// Reports once and waits; milliseconds until all know, or kLongest.
double ReportOnce(const instances& all, std::uint64_t term) {
  const auto begin = clock::now();
  instance& sender = *all[term % all.size()];
  sender.term = term;
  sender.Transport().Send({}, suspicion_report{{1}, {2}, term, true});
  const auto knows = [term](const auto& one) { return one->term >= term; };
  while (!std::ranges::all_of(all, knows) && clock::now() - begin < kLongest) {
    std::this_thread::sleep_for(kStep);
  }
  return std::chrono::duration<double, std::milli>(clock::now() - begin)
      .count();
}

/// Rounds in which every instance tells its revision, until all know one.
double RoundsOfNews(const instances& all) {
  all[0]->revision = 1;
  const auto knows = [](const auto& one) { return one->revision == 1; };
  int rounds = 0;
  while (!std::ranges::all_of(all, knows) && rounds < kMostRounds) {
    for (const auto& one : all) {
      one->Transport().Send({}, revision_update{one->revision});
    }
    std::this_thread::sleep_for(kRound);
    ++rounds;
  }
  return rounds;
}

void Spread(benchmark::State& state) {
  for (auto _ : state) {
    const instances all = Start(state.range(0));
    std::vector<double> lengths;
    for (std::uint64_t i = 1; i <= kReports; ++i) {
      lengths.push_back(ReportOnce(all, i));
    }
    std::ranges::sort(lengths);
    state.counters["report_ms_median"] = lengths[lengths.size() / 2];
    state.counters["report_ms_longest"] = lengths.back();
    state.counters["news_rounds"] = RoundsOfNews(all);
  }
}
BENCHMARK(Spread)->Arg(5)->Arg(30)->Arg(60)->Arg(120)->Iterations(1)->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace marjoramslip::bench
