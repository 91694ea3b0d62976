// Tests what the start of a large fleet asks of the store.

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "marjoramslip/base/clock.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/memory_store.h"
#include "plain_decoder.h"
#include "recording_loop.h"
#include "story.h"

namespace marjoramslip::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 80;
/// Calls that one instance may make until all know all, beside the polls of its
/// watch and the renewals of its lease.
constexpr int kMaxCallsPerInstance = 8;
/// Shortest interval between renewals of a lease.
constexpr auto kMinRenewalInterval = milliseconds(500);
constexpr char kPrefix[] = "/t/";

/// Time within which all instances start.
constexpr auto kStartSpread = milliseconds(300);

/// Instances that start together before a store whose calls take 4 ms.
struct starting_fleet {
  starting_fleet() {
    REQUIRE(store.Transact({}, {{"/declared", "1", false, 0}}).has_value());
    store.SetDelay(milliseconds(4));
    calls_before = store.Calls();
    began_at = BootTime();
    for (int i = 0; i < kInstances; ++i) {
      instance_settings settings;
      settings.name = "i-" + std::to_string(i);
      settings.failure_domain = "d";
      settings.key_prefix = kPrefix;
      settings.membership_lease = seconds(30);
      loops.push_back(std::make_unique<recording_loop>());
      links.push_back(MakePlatformLink(settings, store,
                                       MakeRegistrySource(store, decoder),
                                       *loops.back(), "tcp://h:1"));
      std::this_thread::sleep_for(kStartSpread / kInstances);
    }
  }

  bool AllKnowAll() {
    for (const auto& loop : loops) {
      const auto seen = loop->Await<members_seen>([](const members_seen& list) {
        return list.members.size() == kInstances;
      });
      if (!seen) {
        return false;
      }
    }
    return true;
  }

  std::ptrdiff_t DutyHolders() {
    std::ptrdiff_t holders = 0;
    for (const auto& loop : loops) {
      holders += loop->Count<duty_seen>() > 0 ? 1 : 0;
    }
    return holders;
  }

  kv::memory_store store;
  plain_decoder decoder;
  std::uint64_t calls_before = 0;
  instant began_at;
  std::vector<std::unique_ptr<recording_loop>> loops;
  std::vector<std::unique_ptr<platform_link>> links;
};

}  // namespace

Test(fleet_start, costs_each_instance_a_bounded_number_of_calls) {
  starting_fleet fleet;
  REQUIRE(fleet.AllKnowAll());
  const std::uint64_t renewals = fleet.store.Renewals();
  const std::uint64_t calls =
      fleet.store.Calls() - fleet.calls_before - renewals;
  const auto intervals = (BootTime() - fleet.began_at) / kMinRenewalInterval;
  SECTION("whatever the size of the fleet") {
    cr_log_info("%llu calls of %d instances",
                static_cast<unsigned long long>(calls), kInstances);
    EXPECT(calls <= kMaxCallsPerInstance * kInstances);
    EXPECT(renewals <=
           (static_cast<std::uint64_t>(intervals) + 1) * kInstances);
  }
  SECTION("each holds a seat of its own, and one holds the duty") {
    const kv::key_space keys(kPrefix);
    EXPECT(fleet.store.Range(keys.Seats(), false).value().entries.size() ==
           kInstances);
    std::this_thread::sleep_for(seconds(1));
    EXPECT(fleet.DutyHolders() == 1);
  }
}

}  // namespace marjoramslip::shell
