// Processor time of the core's events, by kind and by number of groups.

#include <benchmark/benchmark.h>

#include "feeder.h"

namespace marjoramslip::bench {
namespace {

constexpr std::uint64_t kCallers = 64;
constexpr std::uint64_t kStepsPerTick = 1000;

/// Mixed load with a write in four statements.
void Events(benchmark::State& state) {
  feeder feed(3);
  feed.Connect(1, kCallers);
  const std::uint64_t before = feed.Events();
  std::uint64_t step = 0;
  for (auto _ : state) {
    ++step;
    feed.Ask(1 + step % kCallers,
             step % 4 == 0 ? statement_kind::kWrite : statement_kind::kRead);
    if (step % kStepsPerTick == 0) {
      feed.Tick();
    }
  }
  state.counters["events/s"] = benchmark::Counter(
      static_cast<double>(feed.Events() - before), benchmark::Counter::kIsRate);
}
BENCHMARK(Events);

/// A statement from its arrival to its answer.
void Statements(benchmark::State& state, statement_kind kind) {
  feeder feed(static_cast<std::size_t>(state.range(0)));
  feed.Connect(1, kCallers);
  std::uint64_t step = 0;
  for (auto _ : state) {
    feed.Ask(1 + ++step % kCallers, kind);
    if (step % kStepsPerTick == 0) {
      feed.Tick();
    }
  }
}
BENCHMARK_CAPTURE(Statements, read, statement_kind::kRead)
    ->RangeMultiplier(10)
    ->Range(10, 1000);
BENCHMARK_CAPTURE(Statements, write, statement_kind::kWrite)
    ->RangeMultiplier(10)
    ->Range(10, 1000);

/// A tick without callers, with the probes that it sends and their answers.
void IdleTick(benchmark::State& state) {
  feeder feed(static_cast<std::size_t>(state.range(0)));
  const std::uint64_t before = feed.Events();
  for (auto _ : state) {
    feed.Tick();
  }
  state.counters["events/tick"] =
      benchmark::Counter(static_cast<double>(feed.Events() - before),
                         benchmark::Counter::kAvgIterations);
}
BENCHMARK(IdleTick)->RangeMultiplier(10)->Range(10, 1000);

/// A peer announces the revision that is in force here as well.
void RevisionNews(benchmark::State& state) {
  feeder feed(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    feed.Give(peer_received{instance_id{7}, revision_update{1}});
  }
}
BENCHMARK(RevisionNews)->RangeMultiplier(10)->Range(10, 1000);

/// A peer's news of a record that is known already.
void RecordNews(benchmark::State& state) {
  feeder feed(static_cast<std::size_t>(state.range(0)));
  const group_spec& group = feed.Groups().front();
  const record_update known{group.Id(), {feeder::FirstRecord(group), 1}};
  for (auto _ : state) {
    feed.Give(peer_received{instance_id{7}, known});
  }
}
BENCHMARK(RecordNews)->RangeMultiplier(10)->Range(10, 1000);

/// A new revision of the notes that changes nothing but its number.
void CatalogueSeen(benchmark::State& state) {
  const auto groups = static_cast<std::size_t>(state.range(0));
  feeder feed(groups);
  catalogue notes;
  notes.revision = 1;
  notes.services.emplace("ledger", MakeService(groups));
  for (auto _ : state) {
    ++notes.revision;
    feed.Give(catalogue_seen{notes});
  }
}
BENCHMARK(CatalogueSeen)->RangeMultiplier(10)->Range(10, 1000);

}  // namespace
}  // namespace marjoramslip::bench

BENCHMARK_MAIN();
