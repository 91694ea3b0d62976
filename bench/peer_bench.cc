// What a connected peer costs an instance that has nothing to say.

#include <benchmark/benchmark.h>
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/peer/peer_transport.h"

namespace marjoramslip::bench {
namespace {

constexpr std::chrono::seconds kSettling{2};
constexpr std::chrono::seconds kIdle{3};
constexpr std::int64_t kDomains = 20;
constexpr double kMicroseconds = 1e6;

/// Resident memory of this process in bytes.
double Resident() {
  constexpr double kPageBytes = 4096;
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * kPageBytes;
}

double ProcessorSeconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / kMicroseconds;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

/// Both ends of every connection are in this process: half is the sender's.
/// The members are spread over 20 failure domains.
void IdlePeers(benchmark::State& state) {
  std::atomic<std::int64_t> arrived = 0;
  auto receiver = Attempt([&] {
    return peer::MakePeerTransport(
        "127.0.0.1", 0, instance_id{1},
        [&arrived](instance_id, const peer_message&) { ++arrived; });
  });
  auto sender = Attempt([&] {
    return peer::MakePeerTransport(
        "127.0.0.1", 0, IdOf<instance_id>("instance-0"),
        [](instance_id, const peer_message&) {},
        {.full_mesh_limit = static_cast<std::size_t>(state.range(1))});
  });
  if (!receiver || !sender) {
    state.SkipWithError("no transport");
    return;
  }
  std::vector<member> members;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    member one;
    one.name = "instance-" + std::to_string(i);
    one.id = IdOf<instance_id>(one.name);
    one.peer_address = (*receiver)->Address();
    one.failure_domain = "domain-" + std::to_string(i % kDomains);
    members.push_back(one);
  }
  for (auto _ : state) {
    const double memory = Resident();
    (*sender)->SetMembers(members);
    std::this_thread::sleep_for(kSettling);
    const double connected = Resident();
    const double before = ProcessorSeconds();
    std::this_thread::sleep_for(kIdle);
    const double used = ProcessorSeconds() - before;
    (*sender)->Send({}, leave_notice{});
    std::this_thread::sleep_for(kSettling);
    state.counters["bytes_both_ends"] = connected - memory;
    state.counters["idle_us/s_both_ends"] =
        used * kMicroseconds / static_cast<double>(kIdle.count());
    state.counters["connections"] = static_cast<double>(arrived);
  }
}
/// The first number is of members, the second the limit of a full mesh.
BENCHMARK(IdlePeers)
    ->ArgNames({"members", "full_mesh_limit"})
    ->Args({50, 4000})
    ->Args({200, 4000})
    ->Args({800, 4000})
    ->Args({200, 64})
    ->Args({800, 64})
    ->Args({2400, 64})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace marjoramslip::bench
