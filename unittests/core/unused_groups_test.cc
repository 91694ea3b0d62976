// Groups that no caller uses are not probed, and are probed again once needed.

#include "harness.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

Test(unused_groups, no_probes) {
  harness world;
  world.AdvanceTime(seconds(3));
  const std::uint64_t probes_before = world.probes;
  world.AdvanceTime(seconds(10));
  EXPECT(world.probes == probes_before);
  SECTION("a read is served after one sample") {
    const request_id read = world.SendStatement(statement_kind::kRead);
    EXPECT(world.IsInFlight(read));
    EXPECT(world.probes > probes_before);
    world.AnswerStatement(read);
    EXPECT(world.IsReleased(read));
  }
  world.AdvanceTime(seconds(10));
  SECTION("a write is sent at once and released once there is a permit") {
    const request_id write = world.SendStatement(statement_kind::kWrite);
    REQUIRE(world.IsInFlight(write));
    world.State("a").position = 11;
    world.State("b").position = 11;
    world.AnswerStatement(write);
    world.AdvanceTime(milliseconds(20));
    EXPECT(world.IsReleased(write));
  }
  world.AdvanceTime(seconds(10));
  const std::uint64_t probes_while_unused = world.probes;
  SECTION("a suspicion reported by another instance resumes probing") {
    suspicion_report report;
    report.group = harness::Group();
    report.endpoint = harness::Id("a");
    report.term = 1;
    report.suspected = true;
    world.ApplyEvent(peer_received{IdOf<instance_id>("j"), report});
    world.AdvanceTime(milliseconds(20));
    EXPECT(world.probes > probes_while_unused);
  }
  EXPECT(world.violations == 0);
}

Test(unused_groups, probed_while_work_is_in_progress) {
  SECTION("an open transaction") {
    harness world;
    const request_id begin = world.SendStatement(statement_kind::kBegin);
    REQUIRE(world.IsInFlight(begin));
    world.AnswerStatement(begin, transaction_status::kOpen);
    world.AdvanceTime(seconds(3));
    const std::uint64_t probes_before = world.probes;
    world.AdvanceTime(seconds(1));
    EXPECT(world.probes > probes_before);
    EXPECT(world.violations == 0);
  }
  SECTION("a lagging replica") {
    harness world;
    world.State("a").position = 11;
    world.AdvanceTime(seconds(3));
    const std::uint64_t probes_before = world.probes;
    world.AdvanceTime(milliseconds(300));
    EXPECT(world.probes > probes_before);
    EXPECT(world.violations == 0);
  }
}

}  // namespace marjoramslip
