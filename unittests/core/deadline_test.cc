// Tests that waiting requests end at their deadline. Frequent endpoint updates
// must neither postpone their timers nor raise the rate of probes.

#include "harness.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

Test(deadlines, endpoint_updates_do_not_postpone_them) {
  harness world;
  world.ignores_probes = true;
  world.AdvanceTime(milliseconds(600));
  SECTION("a read waits for a sample without a permit") {
    const request_id read = world.SendStatement(statement_kind::kRead);
    EXPECT(!world.IsInFlight(read));
    world.AdvanceTimeWithProbes(milliseconds(4900), microseconds(500), "b");
    EXPECT(!world.FailureOf(read).has_value());
    world.AdvanceTimeWithProbes(milliseconds(200), microseconds(500), "b");
    REQUIRE(world.FailureOf(read).has_value());
    EXPECT(world.FailureOf(read)->effect == verdict::kNotRun);
  }
  SECTION("a write waits for a permit and a replica") {
    const request_id write = world.SendStatement(statement_kind::kWrite);
    REQUIRE(world.IsInFlight(write));
    world.State("a").position = 11;
    world.AnswerStatement(write);
    world.AdvanceTimeWithProbes(milliseconds(5100), microseconds(500), "b");
    REQUIRE(world.FailureOf(write).has_value());
    EXPECT(world.FailureOf(write)->effect == verdict::kMayHaveRun);
  }
  EXPECT(world.violations == 0);
}

Test(deadlines, an_unconfirmed_write_ends_at_its_deadline) {
  harness world;
  const request_id write = world.SendStatement(statement_kind::kWrite);
  REQUIRE(world.IsInFlight(write));
  world.AdvanceTime(milliseconds(1900));
  world.State("a").position = 11;
  world.AnswerStatement(write);
  world.AdvanceTime(milliseconds(3200));
  REQUIRE(world.FailureOf(write).has_value());
  EXPECT(world.FailureOf(write)->effect == verdict::kMayHaveRun);
  EXPECT(world.violations == 0);
}

Test(deadlines, probe_rate_is_limited) {
  SECTION("the primary reports that it is a replica") {
    harness world;
    world.State("a").role = endpoint_role::kReplica;
    const request_id read = world.SendStatement(statement_kind::kRead);
    EXPECT(!world.IsInFlight(read));
    const std::uint64_t before = world.probes;
    world.AdvanceTime(milliseconds(200));
    // Three endpoints, each at most once in 5 ms.
    EXPECT(world.probes - before <= 3 * 200 / 5 + 3);
  }
  SECTION("the instance has no permit") {
    harness world;
    world.ignores_probes = true;
    world.AdvanceTime(milliseconds(600));
    world.SendStatement(statement_kind::kRead);
    const std::uint64_t before = world.probes;
    world.AdvanceTimeWithProbes(milliseconds(200), microseconds(500), "b");
    EXPECT(world.probes - before <= 3 * 200 / 5 + 3);
  }
}

}  // namespace marjoramslip
