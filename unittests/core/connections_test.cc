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
  world.Give(caller_opened{other, "fresh", {}});
  const request_id first = world.Ask(statement_kind::kWrite, {}, kFresh);
  const request_id second = world.Ask(statement_kind::kWrite, {}, other);
  REQUIRE(world.Sent(first) && world.Sent(second));
  const std::pair<connection_id, connection_id> used = {
      world.Connection(first), world.Connection(second)};
  world.Answer(first);
  world.Answer(second);
  return used;
}

}  // namespace

Test(connections, unused_connections_are_closed) {
  promoted_world world;
  const auto [first, second] = OpenTwo(world);
  SECTION("unused connections stay open for 1 s") {
    world.Pass(seconds(1));
    EXPECT(world.Open(first) && world.Open(second));
  }
  SECTION(
      "after 1.5 s all but one are closed, which serves the next statement") {
    world.Pass(seconds(1));
    EXPECT(!world.Open(first));
    EXPECT(world.Open(second));
    world.Pass(seconds(10));
    EXPECT(world.Open(second));
    const request_id next = world.Ask(statement_kind::kWrite, {}, kFresh);
    REQUIRE(world.Sent(next));
    EXPECT(world.Connection(next) == second);
  }
  EXPECT(world.violations == 0);
}

Test(connections, an_endpoint_that_is_full_is_there) {
  promoted_world world;
  world.HoldDuty();
  world.silent = true;
  const auto fail_probes = [&world](bool full) {
    for (int i = 0; i < 60; ++i) {
      world.Give(probe_failed{.endpoint = harness::Id("a"),
                              .asked = world.Now(),
                              .new_connection = !full,
                              .full = full});
      world.Pass(milliseconds(5));
    }
  };
  SECTION("a primary that refuses at its connection limit is not replaced") {
    fail_probes(true);
    EXPECT(!world.Wrote(group_phase::kSealed));
  }
  SECTION("a primary that cannot be reached is replaced") {
    fail_probes(false);
    EXPECT(world.Wrote(group_phase::kSealed));
  }
}

Test(connections, none_is_opened_before_the_instance_is_listed) {
  promoted_world world;
  const auto list_with_seat = [&world](std::optional<std::uint32_t> seat) {
    world.List({{.id = IdOf<instance_id>("i"),
                 .name = "i",
                 .peer_address = {},
                 .failure_domain = {},
                 .leaving = false,
                 .seat = seat}});
  };
  list_with_seat(std::nullopt);
  const request_id write = world.Ask(statement_kind::kWrite, {}, kFresh);
  EXPECT(!world.Sent(write));
  SECTION(
      "an instance whose seat is beyond all shares may open one connection") {
    list_with_seat(7);
    world.Pass(milliseconds(50));
    EXPECT(world.Sent(write));
  }
  EXPECT(world.violations == 0);
}

}  // namespace marjoramslip
