// Tests of requests through the whole reducer.

#include "harness.h"
#include "story.h"

namespace marjoramslip {

Test(reducer, reads_follow_writes) {
  harness world;
  SECTION("a write is released once a replica has it") {
    const request_id write = world.Ask(statement_kind::kWrite);
    REQUIRE(world.Sent(write));
    EXPECT(world.Where(write) == harness::Id("a"));
    world.State("a").position = 11;
    world.Answer(write);
    EXPECT(!world.Released(write));
    world.State("b").position = 11;
    world.Pass(std::chrono::milliseconds(20));
    EXPECT(world.Released(write));
    SECTION("the next read goes to the replica that has the write") {
      const request_id read = world.Ask(statement_kind::kRead);
      REQUIRE(world.Sent(read));
      EXPECT(world.Where(read) == harness::Id("b"));
      world.Answer(read);
      EXPECT(world.Released(read));
    }
    SECTION(
        "a read whose floor no replica reaches waits, then goes to the "
        "primary") {
      const request_id read =
          world.Ask(statement_kind::kRead, {.session = {},
                                            .token = log_point{1, 12},
                                            .max_staleness = {},
                                            .idempotency_key = {}});
      world.State("a").position = 12;
      EXPECT(!world.Sent(read));
      world.Pass(std::chrono::milliseconds(100));
      REQUIRE(world.Sent(read));
      EXPECT(world.Where(read) == harness::Id("a"));
    }
  }
  EXPECT(world.violations == 0);
}

Test(reducer, no_permit_no_acknowledgement) {
  harness world(ack_policy::kPrimary);
  const request_id write = world.Ask(statement_kind::kWrite);
  REQUIRE(world.Sent(write));
  world.silent = true;
  world.Pass(std::chrono::milliseconds(600));
  world.Answer(write);
  EXPECT(!world.Released(write));
  world.Pass(std::chrono::seconds(6));
  REQUIRE(world.Failed(write).has_value());
  EXPECT(world.Failed(write)->effect == verdict::kMayHaveRun);
  EXPECT(world.violations == 0);
}

Test(reducer, verdicts_of_lost_connections) {
  harness world;
  SECTION("a write of which no byte was sent is sent again") {
    const request_id write = world.Ask(statement_kind::kWrite);
    world.Give(connection_lost{world.Connection(write), false, false});
    EXPECT(!world.Failed(write).has_value());
    world.Pass(std::chrono::milliseconds(50));
    EXPECT(world.Sent(write));
    SECTION("a write that may have been sent is not sent again") {
      world.Give(connection_lost{world.Connection(write), true, true});
      REQUIRE(world.Failed(write).has_value());
      EXPECT(world.Failed(write)->effect == verdict::kMayHaveRun);
    }
  }
  SECTION(
      "a write with an idempotency key is retried and never reported as not "
      "run") {
    const request_id write =
        world.Ask(statement_kind::kWrite, {.session = {},
                                           .token = {},
                                           .max_staleness = {},
                                           .idempotency_key = "k"});
    world.Give(connection_lost{world.Connection(write), true, true});
    EXPECT(!world.Failed(write).has_value());
    world.Give(cancel_received{caller_id{1}});
    REQUIRE(world.Failed(write).has_value());
    EXPECT(world.Failed(write)->effect == verdict::kMayHaveRun);
  }
  SECTION("a statement that times out closes its connection") {
    const request_id read = world.Ask(statement_kind::kRead);
    REQUIRE(world.Sent(read));
    const connection_id connection = world.Connection(read);
    world.Pass(std::chrono::milliseconds(2100));
    EXPECT(world.Failed(read).has_value());
    EXPECT(!world.Open(connection));
  }
  EXPECT(world.violations == 0);
}

Test(reducer, a_transaction_has_its_connection) {
  harness world;
  const request_id begin = world.Ask(statement_kind::kBegin);
  const connection_id pinned = world.Connection(begin);
  world.Answer(begin, transaction_status::kOpen);
  EXPECT(world.Released(begin));
  SECTION("another caller's write uses another connection") {
    world.Give(caller_opened{caller_id{2}, "ledger", "tenant"});
    const request_id other =
        world.Ask(statement_kind::kWrite, {}, caller_id{2});
    REQUIRE(world.Sent(other));
    EXPECT(world.Connection(other) != pinned);
  }
  SECTION("the statements of the transaction use its connection") {
    const request_id write = world.Ask(statement_kind::kWrite);
    EXPECT(world.Connection(write) == pinned);
    world.Answer(write, transaction_status::kOpen);
    EXPECT(world.Released(write));
  }
  SECTION(
      "a transaction whose connection is lost before COMMIT is rolled back") {
    world.Give(connection_lost{pinned, true, true});
    const request_id write = world.Ask(statement_kind::kWrite);
    REQUIRE(world.Failed(write).has_value());
    EXPECT(world.Failed(write)->sqlstate == "25P02");
    const request_id commit = world.Ask(statement_kind::kCommit);
    REQUIRE(world.Failed(commit).has_value());
    EXPECT(world.Failed(commit)->effect == verdict::kNotRun);
  }
  EXPECT(world.violations == 0);
}

Test(reducer, a_shutdown_lets_transactions_finish) {
  harness world;
  const request_id begin = world.Ask(statement_kind::kBegin);
  world.Answer(begin, transaction_status::kOpen);
  world.Give(drain_requested{});
  EXPECT(!world.is_drained);
  world.Give(caller_opened{caller_id{2}, "ledger", "tenant"});
  EXPECT(world.closed == std::vector<caller_id>{caller_id{2}});
  const request_id commit = world.Ask(statement_kind::kCommit);
  REQUIRE(world.Sent(commit));
  world.Answer(commit);
  world.Pass(std::chrono::milliseconds(20));
  EXPECT(world.Released(commit));
  EXPECT(world.is_drained);
  EXPECT(world.violations == 0);
}

Test(reducer, notes_apply_forwards_only) {
  harness world;
  world.Give(catalogue_seen{world.Notes(3)});
  EXPECT(world.Report().catalogue_revision == 3);
  world.Give(catalogue_seen{world.Notes(2)});
  EXPECT(world.Report().catalogue_revision == 3);
  SECTION("a newer catalogue is requested from a peer that announces it") {
    world.told.clear();
    world.Give(peer_received{instance_id{9}, revision_news{4}});
    REQUIRE(world.told.size() == 1);
    EXPECT(std::holds_alternative<catalogue_request>(world.told[0]));
  }
}

}  // namespace marjoramslip
