// Tests of requests through the whole reducer.

#include "harness.h"
#include "story.h"

namespace marjoramslip {

Test(reducer, reads_follow_writes) {
  harness world;
  SECTION("a write is released once a replica has it") {
    const request_id write = world.SendStatement(statement_kind::kWrite);
    REQUIRE(world.IsInFlight(write));
    EXPECT(world.EndpointOf(write) == harness::Id("a"));
    world.State("a").position = 11;
    world.AnswerStatement(write);
    EXPECT(!world.IsReleased(write));
    world.State("b").position = 11;
    world.AdvanceTime(std::chrono::milliseconds(20));
    EXPECT(world.IsReleased(write));
    SECTION("the next read goes to the replica that has the write") {
      const request_id read = world.SendStatement(statement_kind::kRead);
      REQUIRE(world.IsInFlight(read));
      EXPECT(world.EndpointOf(read) == harness::Id("b"));
      world.AnswerStatement(read);
      EXPECT(world.IsReleased(read));
    }
    SECTION(
        "a read whose floor no replica reaches waits, then goes to the "
        "primary") {
      const request_id read =
          world.SendStatement(statement_kind::kRead, {.session = {},
                                                      .token = log_point{1, 12},
                                                      .max_staleness = {},
                                                      .idempotency_key = {}});
      world.State("a").position = 12;
      EXPECT(!world.IsInFlight(read));
      world.AdvanceTime(std::chrono::milliseconds(100));
      REQUIRE(world.IsInFlight(read));
      EXPECT(world.EndpointOf(read) == harness::Id("a"));
    }
  }
  EXPECT(world.violations == 0);
}

Test(reducer, no_permit_no_acknowledgement) {
  harness world(ack_policy::kPrimary);
  const request_id write = world.SendStatement(statement_kind::kWrite);
  REQUIRE(world.IsInFlight(write));
  world.ignores_probes = true;
  world.AdvanceTime(std::chrono::milliseconds(600));
  world.AnswerStatement(write);
  EXPECT(!world.IsReleased(write));
  world.AdvanceTime(std::chrono::seconds(6));
  REQUIRE(world.FailureOf(write).has_value());
  EXPECT(world.FailureOf(write)->effect == verdict::kMayHaveRun);
  EXPECT(world.violations == 0);
}

Test(reducer, verdicts_of_lost_connections) {
  harness world;
  SECTION("a write of which no byte was sent is sent again") {
    const request_id write = world.SendStatement(statement_kind::kWrite);
    world.ApplyEvent(connection_lost{world.ConnectionOf(write), false, false});
    EXPECT(!world.FailureOf(write).has_value());
    world.AdvanceTime(std::chrono::milliseconds(50));
    EXPECT(world.IsInFlight(write));
    SECTION("a write that may have been sent is not sent again") {
      world.ApplyEvent(connection_lost{world.ConnectionOf(write), true, true});
      REQUIRE(world.FailureOf(write).has_value());
      EXPECT(world.FailureOf(write)->effect == verdict::kMayHaveRun);
    }
  }
  SECTION(
      "a write with an idempotency key is retried and never reported as not "
      "run") {
    const request_id write =
        world.SendStatement(statement_kind::kWrite, {.session = {},
                                                     .token = {},
                                                     .max_staleness = {},
                                                     .idempotency_key = "k"});
    world.ApplyEvent(connection_lost{world.ConnectionOf(write), true, true});
    EXPECT(!world.FailureOf(write).has_value());
    world.ApplyEvent(cancel_received{caller_id{1}});
    REQUIRE(world.FailureOf(write).has_value());
    EXPECT(world.FailureOf(write)->effect == verdict::kMayHaveRun);
  }
  SECTION("a statement that times out closes its connection") {
    const request_id read = world.SendStatement(statement_kind::kRead);
    REQUIRE(world.IsInFlight(read));
    const connection_id connection = world.ConnectionOf(read);
    world.AdvanceTime(std::chrono::milliseconds(2100));
    EXPECT(world.FailureOf(read).has_value());
    EXPECT(!world.IsOpen(connection));
  }
  EXPECT(world.violations == 0);
}

Test(reducer, a_transaction_has_its_connection) {
  harness world;
  const request_id begin = world.SendStatement(statement_kind::kBegin);
  const connection_id pinned = world.ConnectionOf(begin);
  world.AnswerStatement(begin, transaction_status::kOpen);
  EXPECT(world.IsReleased(begin));
  SECTION("another caller's write uses another connection") {
    world.ApplyEvent(caller_opened{caller_id{2}, "ledger", "tenant"});
    const request_id other =
        world.SendStatement(statement_kind::kWrite, {}, caller_id{2});
    REQUIRE(world.IsInFlight(other));
    EXPECT(world.ConnectionOf(other) != pinned);
  }
  SECTION("the statements of the transaction use its connection") {
    const request_id write = world.SendStatement(statement_kind::kWrite);
    EXPECT(world.ConnectionOf(write) == pinned);
    world.AnswerStatement(write, transaction_status::kOpen);
    EXPECT(world.IsReleased(write));
  }
  SECTION(
      "a transaction whose connection is lost before COMMIT is rolled back") {
    world.ApplyEvent(connection_lost{pinned, true, true});
    const request_id write = world.SendStatement(statement_kind::kWrite);
    REQUIRE(world.FailureOf(write).has_value());
    EXPECT(world.FailureOf(write)->sqlstate == "25P02");
    const request_id commit = world.SendStatement(statement_kind::kCommit);
    REQUIRE(world.FailureOf(commit).has_value());
    EXPECT(world.FailureOf(commit)->effect == verdict::kNotRun);
  }
  EXPECT(world.violations == 0);
}

Test(reducer, sessions_that_open_after_the_drain_are_closed) {
  harness world;
  world.ApplyEvent(drain_requested{});
  world.AdvanceTime(std::chrono::milliseconds(10));
  REQUIRE(world.is_drained);
  world.closed_callers.clear();
  const caller_id late{7};
  world.ApplyEvent(caller_opened{late, "ledger", "tenant"});
  EXPECT(world.closed_callers == std::vector<caller_id>{late});
  SECTION("a statement behind the startup is answered, too") {
    world.closed_callers.clear();
    world.ApplyEvent(statement_received{.caller = late,
                                        .request = request_id{70},
                                        .kind = statement_kind::kRead,
                                        .settings = {}});
    EXPECT(world.closed_callers == std::vector<caller_id>{late});
  }
  SECTION("nothing else goes on") {
    world.peer_messages.clear();
    world.probes = 0;
    world.AdvanceTime(std::chrono::seconds(2));
    EXPECT(world.peer_messages.empty() && world.probes == 0);
  }
  EXPECT(world.violations == 0);
}

Test(reducer, a_shutdown_lets_transactions_finish) {
  harness world;
  const request_id begin = world.SendStatement(statement_kind::kBegin);
  world.AnswerStatement(begin, transaction_status::kOpen);
  world.ApplyEvent(drain_requested{});
  EXPECT(!world.is_drained);
  world.ApplyEvent(caller_opened{caller_id{2}, "ledger", "tenant"});
  EXPECT(world.closed_callers == std::vector<caller_id>{caller_id{2}});
  const request_id commit = world.SendStatement(statement_kind::kCommit);
  REQUIRE(world.IsInFlight(commit));
  world.AnswerStatement(commit);
  world.AdvanceTime(std::chrono::milliseconds(20));
  EXPECT(world.IsReleased(commit));
  EXPECT(world.is_drained);
  EXPECT(world.violations == 0);
}

Test(reducer, notes_apply_forwards_only) {
  harness world;
  world.ApplyEvent(catalogue_seen{world.MakeCatalogue(3)});
  EXPECT(world.Report().catalogue_revision == 3);
  world.ApplyEvent(catalogue_seen{world.MakeCatalogue(2)});
  EXPECT(world.Report().catalogue_revision == 3);
  SECTION("a newer catalogue is requested from a peer that announces it") {
    world.peer_messages.clear();
    world.ApplyEvent(peer_received{instance_id{9}, revision_update{4}});
    REQUIRE(world.peer_messages.size() == 1);
    EXPECT(std::holds_alternative<catalogue_request>(world.peer_messages[0]));
  }
}

}  // namespace marjoramslip
