// Tests reads in groups whose primary is promoted by the platform: what answers
// report about the databases, and which replica serves a read.

#include <algorithm>

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

Test(replica_reads, answers_replace_probes) {
  promoted_world world;
  const std::uint64_t initial_probes = world.probes;
  SECTION("a busy group is not probed") {
    for (int i = 0; i < 100; ++i) {
      const request_id read = world.SendStatement(statement_kind::kRead);
      REQUIRE(world.IsInFlight(read));
      world.AnswerStatement(read);
      EXPECT(world.IsReleased(read));
      const request_id write = world.SendStatement(statement_kind::kWrite);
      REQUIRE(world.IsInFlight(write));
      EXPECT(world.EndpointOf(write) == harness::Id("a"));
      world.AnswerStatement(write);
      EXPECT(world.IsReleased(write));
      world.AdvanceTime(milliseconds(20));
    }
    EXPECT(world.probes - initial_probes <= 3);
  }
  SECTION("a write in an idle group causes one to three probes") {
    world.AdvanceTime(seconds(5));
    const std::uint64_t probes_before = world.probes;
    const request_id write =
        world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
    world.AnswerStatement(write);
    world.AdvanceTime(milliseconds(20));
    EXPECT(world.IsReleased(write));
    EXPECT(world.probes - probes_before >= 1 &&
           world.probes - probes_before <= 3);
  }
  EXPECT(world.violations == 0);
}

// Guards against an error for a read whose database is in a term of which the
// record has not arrived.
Test(replica_reads, an_answer_of_an_unknown_term_is_asked_for_again) {
  promoted_world world;
  const request_id write = world.SendStatement(statement_kind::kWrite);
  world.State("a").position = 11;
  world.AnswerStatement(write);
  REQUIRE(world.IsReleased(write));
  world.State("b").position = 11;
  world.ApplyEvent(
      probe_answered{harness::Id("b"), world.Now(), world.State("b")});
  // The primary's connections are busy, so a replica is asked.
  for (std::uint64_t other = 3; other < 6; ++other) {
    world.ApplyEvent(caller_opened{caller_id{other}, "fresh", {}});
    world.SendStatement(statement_kind::kWrite, {}, caller_id{other});
  }
  const request_id read = world.SendStatement(statement_kind::kRead);
  world.AdvanceTime(milliseconds(100));
  REQUIRE(world.IsInFlight(read));
  const endpoint_id asked = world.EndpointOf(read);
  REQUIRE(asked != harness::Id("a"));
  world.State(asked == harness::Id("b") ? "b" : "c") = {
      2, 2, 12, endpoint_role::kPrimary, true, false, {2, 12}};
  world.AnswerStatement(read);
  EXPECT(!world.IsReleased(read));
  EXPECT(!world.FailureOf(read).has_value());
  EXPECT(world.violations == 0);
}

Test(replica_reads, a_read_names_the_position_it_needs) {
  promoted_world world;
  const request_id write = world.SendStatement(statement_kind::kWrite);
  world.State("a").position = 11;
  world.AnswerStatement(write);
  REQUIRE(world.IsReleased(write));
  world.State("b").position = 11;
  const request_id first = world.SendStatement(statement_kind::kRead);
  world.AdvanceTime(milliseconds(100));
  REQUIRE(world.IsInFlight(first));
  EXPECT((world.Statement(first).required_point == log_point{1, 11}));
  SECTION(
      "after a replica answers that it is behind, the read is retried and the "
      "connection kept") {
    const connection_id used = world.ConnectionOf(first);
    world.AnswerStatement(first, transaction_status::kIdle,
                          answer_outcome::kLogBehind);
    EXPECT(world.IsOpen(used));
    world.AdvanceTime(milliseconds(100));
    REQUIRE(world.IsInFlight(first));
    world.AnswerStatement(first);
    EXPECT(world.IsReleased(first));
  }
  SECTION("a route with fresh reads goes to the primary") {
    const request_id fresh =
        world.SendStatement(statement_kind::kRead, {}, kFreshCaller);
    REQUIRE(world.IsInFlight(fresh));
    EXPECT(world.EndpointOf(fresh) == harness::Id("a"));
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, replicas_far_behind_are_seldom_tried) {
  promoted_world world;
  constexpr int kRounds = 100;
  int failed_attempts = 0;
  int immediate = 0;
  for (int i = 0; i < kRounds; ++i) {
    const request_id write = world.SendStatement(statement_kind::kWrite);
    ++world.State("a").position;
    REQUIRE(world.IsInFlight(write));
    world.AnswerStatement(write);
    const request_id read = world.SendStatement(statement_kind::kRead);
    int steps = 0;
    while (!world.IsReleased(read)) {
      world.AdvanceTime(milliseconds(5));
      REQUIRE(++steps < 100);
      if (!world.IsInFlight(read)) {
        continue;
      }
      const bool behind = world.EndpointOf(read) != harness::Id("a");
      failed_attempts += behind ? 1 : 0;
      world.AnswerStatement(
          read, transaction_status::kIdle,
          behind ? answer_outcome::kLogBehind : answer_outcome::kSucceeded);
    }
    immediate += steps <= 4 ? 1 : 0;
    world.AdvanceTime(milliseconds(30 - std::min(steps, 5) * 5));
  }
  SECTION("each is tried about twice a second") {
    EXPECT(failed_attempts <= 2 * 30 * kRounds / 500 + 2);
  }
  SECTION("the log reports each once") {
    const auto count_events = [&world](const char* name) {
      return std::count_if(
          world.log_lines.begin(), world.log_lines.end(),
          [name](const log_line& line) { return line.event == name; });
    };
    EXPECT(count_events("endpoint.behind") == 2);
    EXPECT(count_events("endpoint.caught_up") == 0);
  }
  SECTION("reads go to the primary immediately") {
    EXPECT(immediate >= kRounds * 8 / 10);
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, answers_tell_how_far_a_replica_lags) {
  promoted_world world;
  const caller_id reader{2};
  world.ApplyEvent(caller_opened{reader, "ledger", "tenant"});
  const std::uint64_t initial_probes = world.probes;
  for (int i = 0; i < 90; ++i) {
    const request_id write = world.SendStatement(statement_kind::kWrite);
    ++world.State("a").position;
    world.AnswerStatement(write);
    const request_id read =
        world.SendStatement(statement_kind::kRead, {}, reader);
    REQUIRE(world.IsInFlight(read));
    world.AnswerStatement(read);
    world.AdvanceTime(milliseconds(20));
  }
  const auto behind = std::count_if(
      world.log_lines.begin(), world.log_lines.end(),
      [](const log_line& line) { return line.event == "endpoint.behind"; });
  EXPECT(behind >= 1);
  EXPECT(world.probes - initial_probes <= 3);
}

Test(replica_reads, a_replica_that_caught_up_is_used_again) {
  promoted_world world;
  const request_id warmup = world.SendStatement(statement_kind::kWrite);
  world.State("a").position = 50;
  world.AnswerStatement(warmup);
  REQUIRE(world.IsReleased(warmup));
  const auto read_at = [&world] {
    const request_id read = world.SendStatement(statement_kind::kRead);
    endpoint_id where;
    for (int i = 0; i < 100 && !world.IsReleased(read); ++i) {
      world.AdvanceTime(milliseconds(5));
      if (!world.IsInFlight(read)) {
        continue;
      }
      where = world.EndpointOf(read);
      const bool replica = where != harness::Id("a");
      const char* const name = where == harness::Id("b") ? "b" : "c";
      const bool behind = replica && world.State(name).position < 50;
      world.AnswerStatement(
          read, transaction_status::kIdle,
          behind ? answer_outcome::kLogBehind : answer_outcome::kSucceeded);
    }
    world.AdvanceTime(milliseconds(60));
    return where;
  };
  SECTION("while both replicas lag, the primary serves") {
    int sent_to_primary = 0;
    for (int i = 0; i < 10; ++i) {
      sent_to_primary += read_at() == harness::Id("a") ? 1 : 0;
    }
    EXPECT(sent_to_primary >= 4);
  }
  world.State("b").position = 50;
  world.State("c").position = 50;
  SECTION("after the replicas have caught up, they serve again") {
    int sent_to_primary = 0;
    for (int i = 0; i < 20; ++i) {
      sent_to_primary += read_at() == harness::Id("a") ? 1 : 0;
    }
    EXPECT(sent_to_primary <= 2);
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, what_waits_at_the_primary_is_taken_over) {
  promoted_world world;
  const auto report_replicas = [&world](log_position position) {
    for (const char* name : {"b", "c"}) {
      world.State(name).position = position;
      world.ApplyEvent(
          probe_answered{harness::Id(name), world.Now(), world.State(name)});
    }
  };
  const auto send = [&world](std::uint64_t caller, const char* route,
                             statement_kind kind) {
    world.ApplyEvent(caller_opened{caller_id{caller}, route, {}});
    return world.SendStatement(kind, {}, caller_id{caller});
  };
  world.State("a").position = 50;
  world.AdvanceTime(seconds(3));
  world.ApplyEvent(
      probe_answered{harness::Id("a"), world.Now(), world.State("a")});
  report_replicas(10);
  // Occupies the primary's three connections while both replicas lag.
  for (std::uint64_t i = 10; i < 13; ++i) {
    REQUIRE(world.IsInFlight(send(i, "fresh", statement_kind::kWrite)));
  }
  std::vector<request_id> waiting;
  for (std::uint64_t i = 20; i < 24; ++i) {
    waiting.push_back(send(i, "ledger", statement_kind::kRead));
  }
  world.AdvanceTime(milliseconds(100));
  const auto count_sent = [&world, &waiting] {
    return std::count_if(
        waiting.begin(), waiting.end(),
        [&world](request_id read) { return world.IsInFlight(read); });
  };
  REQUIRE(count_sent() == 0);
  SECTION(
      "a replica that has caught up takes one read over when its connection is "
      "free") {
    report_replicas(50);
    const request_id fresh = send(40, "ledger", statement_kind::kRead);
    REQUIRE(world.IsInFlight(fresh));
    REQUIRE(world.EndpointOf(fresh) != harness::Id("a"));
    world.AnswerStatement(fresh);
    EXPECT(count_sent() == 1);
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, read_only_transactions_stay_on_a_replica) {
  promoted_world world;
  const request_id warmup =
      world.SendStatement(statement_kind::kRead, {}, kFreshCaller);
  world.AnswerStatement(warmup);
  const request_id begin = world.SendStatement(statement_kind::kBeginRead);
  world.AdvanceTime(milliseconds(50));
  REQUIRE(world.IsInFlight(begin));
  const endpoint_id where = world.EndpointOf(begin);
  EXPECT(where != harness::Id("a"));
  world.AnswerStatement(begin, transaction_status::kOpen);
  REQUIRE(world.IsReleased(begin));
  SECTION("statements of the transaction need no permit") {
    world.ignores_probes = true;
    world.AdvanceTime(seconds(1));
    const request_id read = world.SendStatement(statement_kind::kRead);
    REQUIRE(world.IsInFlight(read));
    EXPECT(world.EndpointOf(read) == where);
    world.AnswerStatement(read, transaction_status::kOpen);
    EXPECT(world.IsReleased(read));
    const request_id commit = world.SendStatement(statement_kind::kCommit);
    world.AnswerStatement(commit);
    EXPECT(world.IsReleased(commit));
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, reads_of_a_stated_age_go_on_during_a_change) {
  promoted_world world;
  world.HoldDuty();
  // The second answer comes under a permit, which confirms its position.
  for (int i = 0; i < 2; ++i) {
    const request_id warmup = world.SendStatement(statement_kind::kWrite);
    world.AnswerStatement(warmup);
    REQUIRE(world.IsReleased(warmup));
  }
  world.MakePrimaryUnreachable();
  REQUIRE(world.HasWrittenRecord(group_phase::kSealed));
  const request_id read = world.SendStatement(statement_kind::kRead);
  world.AdvanceTime(milliseconds(10));
  REQUIRE(world.IsInFlight(read));
  EXPECT(world.EndpointOf(read) != harness::Id("a"));
  world.AnswerStatement(read);
  EXPECT(world.IsReleased(read));
  EXPECT(world.violations == 0);
}

}  // namespace marjoramslip
