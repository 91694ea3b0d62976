// Tests when the rows of a read on a `primary` route are released.

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A read has run at "a", and its rows wait for a permit. Meanwhile "b" was
/// promoted, and the record of its term is open.
struct deposed_read_world : promoted_world {
  deposed_read_world() {
    AdvanceTime(seconds(1));
    ignores_probes = true;
    read = SendStatement(statement_kind::kRead, {}, kFreshCaller);
    REQUIRE(EndpointOf(read) == Id("a"));
    AnswerStatement(read);
    REQUIRE(!IsReleased(read));
    Promote("b", 2);
    State("a") = {2, 2, 10, endpoint_role::kReplica};
    State("c") = {2, 2, 10, endpoint_role::kReplica};
    group_record next;
    next.term = 2;
    next.primary = Id("b");
    next.forks = fork_history({{1, 0, 0}, {2, 1, 10}});
    next.witnesses = {Id("a"), Id("b"), Id("c")};
    ApplyEvent(record_seen{Group(), {next, 2}});
    ignores_probes = false;
    for (const char* name : {"a", "b", "c"}) {
      ApplyEvent(probe_answered{Id(name), Now(), State(name)});
    }
  }

  request_id read;
};

}  // namespace

// Guards against rows of a deposed primary that are released under a permit of
// the next term: they lack the writes acknowledged there.
Test(primary_reads, rows_of_a_deposed_primary_are_not_released) {
  deposed_read_world world;
  world.AdvanceTime(milliseconds(100));
  EXPECT(!world.IsReleased(world.read));
  SECTION("the read runs again at the next primary") {
    REQUIRE(world.IsInFlight(world.read));
    EXPECT(world.EndpointOf(world.read) == harness::Id("b"));
    world.AnswerStatement(world.read);
    world.AdvanceTime(milliseconds(20));
    EXPECT(world.IsReleased(world.read));
  }
  EXPECT(world.violations == 0);
}

}  // namespace marjoramslip
