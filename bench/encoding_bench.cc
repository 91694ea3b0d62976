// Bytes of each peer message and of what is stored in the key-value service.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

#include "feeder.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/core/record_codec.h"
#include "marjoramslip/kv/memory_store.h"
#include "marjoramslip/kv/note_store.h"
#include "marjoramslip/peer/peer_codec.h"

namespace marjoramslip::bench {
namespace {

/// An id whose bytes are all used.
constexpr std::uint64_t kId = 0x9E3779B97F4A7C15;
constexpr std::uint64_t kRevision = 12'000'000;

void Encoded(benchmark::State& state, const peer_message& message) {
  std::string bytes;
  for (auto _ : state) {
    bytes = peer::Encode({instance_id{kId}, message});
    benchmark::DoNotOptimize(bytes.data());
  }
  state.counters["bytes"] = static_cast<double>(bytes.size());
}

versioned_record Record() {
  return {feeder::FirstRecord(MakeService(1).groups[0]), kRevision};
}

void MessageBytes(benchmark::State& state, const peer_message& message) {
  Encoded(state, message);
}
BENCHMARK_CAPTURE(MessageBytes, suspicion_report,
                  suspicion_report{{kId}, {kId}, 40, true});
BENCHMARK_CAPTURE(MessageBytes, record_news, record_update{{kId}, Record()});
BENCHMARK_CAPTURE(MessageBytes, revision_news, revision_update{kRevision});
BENCHMARK_CAPTURE(MessageBytes, catalogue_request,
                  catalogue_request{kRevision});
BENCHMARK_CAPTURE(MessageBytes, loan_request, loan_request{{kId}, 3, kId});
BENCHMARK_CAPTURE(MessageBytes, loan_grant,
                  loan_grant{{kId}, 3, kId, std::chrono::seconds(2)});
BENCHMARK_CAPTURE(MessageBytes, loan_return, loan_return{{kId}, 3, kId});
BENCHMARK_CAPTURE(MessageBytes, farewell, leave_notice{});

/// The whole catalogue as one message, by its number of groups.
void CatalogueBytes(benchmark::State& state) {
  catalogue_update news;
  news.value.revision = kRevision;
  news.value.services.emplace(
      "ledger", MakeService(static_cast<std::size_t>(state.range(0))));
  Encoded(state, news);
}
BENCHMARK(CatalogueBytes)->Arg(3)->Arg(10)->Arg(60)->Arg(600);

/// A group's record as stored, by the forks that its history has.
void RecordBytes(benchmark::State& state) {
  group_record record = Record().record;
  std::vector<fork_point> forks;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const auto term = static_cast<term_number>(i + 1);
    forks.push_back({term, term - 1, kRevision * term});
  }
  record.forks = fork_history(forks);
  std::string text;
  for (auto _ : state) {
    text = FormatRecord(record);
    benchmark::DoNotOptimize(text.data());
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(RecordBytes)->Arg(1)->Arg(10)->Arg(100)->Arg(1000);

double StoredBytes(kv::key_value_store& store, const std::string& directory) {
  double bytes = 0;
  const auto found = Attempt([&] { return store.Range(directory, false); });
  if (!found) {
    return bytes;
  }
  for (const kv::entry& one : found->entries) {
    bytes = std::max(bytes, static_cast<double>(one.value.size()));
  }
  return bytes;
}

/// A service of so many groups: its record and the note that declares it,
/// and the note that makes one endpoint leave.
void StoredNoteBytes(benchmark::State& state) {
  const kv::key_space keys("/marjoramslip/");
  for (auto _ : state) {
    kv::memory_store store;
    const kv::note_store notes(store, keys);
    release_note note;
    note.author = "platform desk";
    note.summary = "Declare a ledger";
    note.token = "3f0c9a52-1d7e-4c57-9b1c-5a5f2a1f7c11";
    note.put.push_back(MakeService(static_cast<std::size_t>(state.range(0))));
    const auto accepted =
        Attempt([&] { return notes.Accept(note, std::chrono::seconds(1)); });
    if (!accepted) {
      state.SkipWithError(accepted.failure.message.c_str());
      return;
    }
    state.counters["service_bytes"] = StoredBytes(store, keys.Services());
    state.counters["note_bytes"] = StoredBytes(store, keys.Log());
    note.put.clear();
    note.base = 1;
    note.summary = "Let one endpoint leave";
    note.leave = {"ledger-0-2"};
    state.counters["leave_note_bytes"] =
        static_cast<double>(FormatNote(note).size());
  }
}
BENCHMARK(StoredNoteBytes)
    ->Arg(3)
    ->Arg(10)
    ->Arg(60)
    ->Arg(600)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace marjoramslip::bench
