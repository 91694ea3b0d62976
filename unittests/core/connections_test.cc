// Tests of an endpoint's connections: how many are open, and when.

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs two statements concurrently, so that two connections are open. Returns
/// the connections.
std::pair<connection_id, connection_id> OpenTwo(promoted_world& world) {
  const caller_id other{3};
  world.ApplyEvent(caller_opened{other, "fresh", {}});
  const request_id first =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  const request_id second =
      world.SendStatement(statement_kind::kWrite, {}, other);
  REQUIRE(world.IsInFlight(first) && world.IsInFlight(second));
  const std::pair<connection_id, connection_id> used = {
      world.ConnectionOf(first), world.ConnectionOf(second)};
  world.AnswerStatement(first);
  world.AnswerStatement(second);
  return used;
}

}  // namespace

Test(connections, unused_connections_are_closed) {
  promoted_world world;
  const auto [first, second] = OpenTwo(world);
  SECTION("unused connections stay open for 1 s") {
    world.AdvanceTime(seconds(1));
    EXPECT(world.IsOpen(first) && world.IsOpen(second));
  }
  SECTION(
      "after 1.5 s all but one are closed, which serves the next statement") {
    world.AdvanceTime(seconds(1));
    EXPECT(!world.IsOpen(first));
    EXPECT(world.IsOpen(second));
    world.AdvanceTime(seconds(10));
    EXPECT(world.IsOpen(second));
    const request_id next =
        world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
    REQUIRE(world.IsInFlight(next));
    EXPECT(world.ConnectionOf(next) == second);
  }
  EXPECT(world.violations == 0);
}

Test(connections, an_endpoint_that_is_full_is_there) {
  promoted_world world;
  world.HoldDuty();
  world.ignores_probes = true;
  const auto fail_probes = [&world](bool full) {
    for (int i = 0; i < 60; ++i) {
      world.ApplyEvent(probe_failed{.endpoint = harness::Id("a"),
                                    .sent_at = world.Now(),
                                    .new_connection = !full,
                                    .limit_reached = full});
      world.AdvanceTime(milliseconds(5));
    }
  };
  SECTION("a primary that refuses at its connection limit is not replaced") {
    fail_probes(true);
    EXPECT(!world.HasWrittenRecord(group_phase::kSealed));
  }
  SECTION("a primary that cannot be reached is replaced") {
    fail_probes(false);
    EXPECT(world.HasWrittenRecord(group_phase::kSealed));
  }
}

Test(connections, none_is_opened_before_the_instance_is_listed) {
  promoted_world world;
  const auto list_with_seat = [&world](std::optional<std::uint32_t> seat) {
    world.SetMembers({{.id = IdOf<instance_id>("i"),
                       .name = "i",
                       .peer_address = {},
                       .failure_domain = {},
                       .leaving = false,
                       .seat = seat}});
  };
  list_with_seat(std::nullopt);
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  EXPECT(!world.IsInFlight(write));
  SECTION(
      "an instance whose seat is beyond all shares may open one connection") {
    list_with_seat(7);
    world.AdvanceTime(milliseconds(50));
    EXPECT(world.IsInFlight(write));
  }
  EXPECT(world.violations == 0);
}

}  // namespace marjoramslip
