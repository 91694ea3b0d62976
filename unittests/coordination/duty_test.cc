// Tests the claim of the duty to promote when answers of the store are lost and
// when the store goes back to an older copy.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "hooked_store.h"
#include "marjoramslip/base/clock.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/memory_store.h"
#include "plain_decoder.h"
#include "recording_loop.h"
#include "story.h"

namespace marjoramslip::shell {
namespace {

using std::chrono::seconds;

constexpr char kPrefix[] = "/t/";
constexpr seconds kLease{1};

/// The time in which a claim's holder may promote.
struct use_of_duty {
  std::string holder;
  std::uint64_t fence = 0;
  instant from;
  instant until;
};

/// Instances before a store that can lose the claim of the duty.
struct duty_world {
  explicit duty_world(bool tells_history) {
    if (tells_history) {
      store.TellHistory();
    }
    hooked.on_write = [this](const auto&, const auto& writes) {
      if (writes[0].key == keys.Duty()) {
        before_claim = store.Copy();
      }
      return true;
    };
  }

  void Start(const std::string& name) {
    instance_settings settings;
    settings.name = name;
    settings.failure_domain = "d";
    settings.key_prefix = kPrefix;
    settings.membership_lease = kLease;
    loops[name] = std::make_unique<recording_loop>();
    links[name] =
        MakePlatformLink(settings, hooked, MakeRegistrySource(hooked, decoder),
                         *loops[name], "tcp://h:1");
  }

  /// The claims of all instances, in order of their fences.
  std::vector<use_of_duty> Uses() {
    std::map<std::uint64_t, use_of_duty> uses;
    for (const auto& [name, loop] : loops) {
      for (const duty_seen& seen : loop->All<duty_seen>()) {
        if (seen.fence == 0) {
          continue;
        }
        const auto known = uses.try_emplace(seen.fence).first;
        EXPECT(known->second.holder.empty() || known->second.holder == name);
        known->second = {name, seen.fence, seen.usable_from, seen.held_until};
      }
    }
    std::vector<use_of_duty> ordered;
    for (const auto& [fence, use] : uses) {
      ordered.push_back(use);
    }
    return ordered;
  }

  /// Waits until so many claims were made.
  bool AwaitClaims(std::size_t count) {
    for (int i = 0; i < 500 && Uses().size() < count; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return Uses().size() >= count;
  }

  kv::memory_store store;
  const kv::key_space keys{kPrefix};
  plain_decoder decoder;
  hooked_store hooked{store, keys.Duty()};
  std::shared_ptr<const kv::memory_store::backup> before_claim;
  std::map<std::string, std::unique_ptr<recording_loop>> loops;
  std::map<std::string, std::unique_ptr<platform_link>> links;
};

/// Expects that the uses of no two claims overlap, and that they follow each
/// other in order of their fences.
void ExpectSuccession(const std::vector<use_of_duty>& uses) {
  for (std::size_t i = 1; i < uses.size(); ++i) {
    EXPECT(uses[i].from >= uses[i - 1].until);
  }
}

}  // namespace

Test(duty, a_claim_that_takes_effect_late_is_noticed) {
  kv::memory_store store;
  const kv::key_space keys(kPrefix);
  plain_decoder decoder;
  recording_loop loop;
  hooked_store hooked(store, keys.Duty());
  std::vector<kv::condition> conditions;
  std::vector<kv::mutation> claim;
  // The first claim is lost. It takes effect after this instance has read that
  // nobody holds the duty, and before it claims again.
  hooked.on_write = [&](const std::vector<kv::condition>& required,
                        const std::vector<kv::mutation>& writes) {
    const bool first = writes[0].key == keys.Duty() && claim.empty();
    if (first) {
      conditions = required;
      claim = writes;
    }
    return !first;
  };
  hooked.after_read = [&, made = false]() mutable {
    if (!std::exchange(made, true)) {
      REQUIRE(store.Transact(conditions, claim).has_value());
    }
  };
  instance_settings settings;
  settings.name = "i-1";
  settings.failure_domain = "d";
  settings.key_prefix = kPrefix;
  settings.membership_lease = seconds(2);
  const auto link = MakePlatformLink(
      settings, hooked, MakeRegistrySource(hooked, decoder), loop, "tcp://h:1");
  const auto seen = loop.Await<duty_seen>(
      [](const duty_seen& duty) { return duty.fence != 0; });
  REQUIRE(seen.has_value());
  EXPECT(std::to_string(seen->fence) ==
         store.Range(keys.Fence(), true).value().entries.at(0).value);
}

// Guards against claims without end while answers are lost.
Test(duty, a_claim_whose_answer_is_lost_is_held) {
  for (const bool tells_history : {true, false}) {
    duty_world world(tells_history);
    world.hooked.on_write = [&world](const auto&, const auto& writes) {
      if (writes[0].key == world.keys.Duty()) {
        world.store.DropAnswers(1);
      }
      return true;
    };
    world.Start("i-1");
    REQUIRE(world.AwaitClaims(1));
    EXPECT(
        std::to_string(world.Uses().back().fence) ==
        world.store.Range(world.keys.Fence(), true).value().entries[0].value);
    std::this_thread::sleep_for(kLease);
    EXPECT(world.Uses().size() == 1);
  }
}

// Guards against two holders of the duty: one that renews its lease after the
// store has lost its claim, and one that finds the duty vacant.
Test(duty, a_claim_that_the_store_lost_is_not_used) {
  for (const bool tells_history : {true, false}) {
    duty_world world(tells_history);
    world.Start("i-1");
    world.Start("i-2");
    REQUIRE(world.AwaitClaims(1));
    for (std::size_t lost = 1; lost <= 2; ++lost) {
      SECTION("it is made again, after the uses of all claims before") {
        world.store.GoBack(*world.before_claim);
        world.store.ResetWatches();
        REQUIRE(world.AwaitClaims(lost + 1));
        ExpectSuccession(world.Uses());
      }
    }
    SECTION("and later renewals keep it") {
      const std::size_t claims = world.Uses().size();
      std::this_thread::sleep_for(2 * kLease);
      EXPECT(world.Uses().size() == claims);
      EXPECT(world.Uses().back().until > BootTime());
    }
  }
}

// Guards against a fence that falls: a later holder's claim may have been lost
// while the claim before it came back.
Test(duty, a_claim_that_came_back_is_made_again_with_a_higher_fence) {
  duty_world world(true);
  world.Start("i-1");
  REQUIRE(world.AwaitClaims(1));
  const std::uint64_t first = world.Uses().back().fence;
  const auto copy = world.store.Copy();
  world.store.GoBack(*copy);
  REQUIRE(world.AwaitClaims(2));
  EXPECT(world.Uses().back().fence > first);
  SECTION("an instance that knows of no earlier claim has a higher one, too") {
    const std::uint64_t second = world.Uses().back().fence;
    world.links.clear();
    world.store.GoBack(*world.before_claim);
    world.store.ExpireLeases();
    world.Start("i-3");
    REQUIRE(world.AwaitClaims(3));
    EXPECT(world.Uses().back().holder == "i-3");
    EXPECT(world.Uses().back().fence > second);
    ExpectSuccession(world.Uses());
  }
}

// Guards against the renewal, or the end, of another instance's lease.
Test(duty, a_lease_that_the_store_gave_out_again_is_given_up) {
  duty_world world(true);
  const auto empty = world.store.Copy();
  world.Start("i-1");
  REQUIRE(world.AwaitClaims(1));
  world.store.GoBack(*empty);
  const std::uint64_t others = world.store.GrantLease(kLease).value();
  REQUIRE(world.store.Transact({}, {{"/other", "1", false, others}}));
  REQUIRE(world.AwaitClaims(2));
  const auto entry =
      world.store.Range(world.keys.Instance("i-1"), true).value();
  EXPECT(entry.entries.at(0).lease != others);
  world.links.clear();
  EXPECT(world.store.Range("/other", true).value().entries.size() == 1);
}

}  // namespace marjoramslip::shell
