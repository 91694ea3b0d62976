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
      const request_id read = world.Ask(statement_kind::kRead);
      REQUIRE(world.Sent(read));
      world.Answer(read);
      EXPECT(world.Released(read));
      const request_id write = world.Ask(statement_kind::kWrite);
      REQUIRE(world.Sent(write));
      EXPECT(world.Where(write) == harness::Id("a"));
      world.Answer(write);
      EXPECT(world.Released(write));
      world.Pass(milliseconds(20));
    }
    EXPECT(world.probes - initial_probes <= 3);
  }
  SECTION("a write in an idle group causes one to three probes") {
    world.Pass(seconds(5));
    const std::uint64_t probes_before = world.probes;
    const request_id write = world.Ask(statement_kind::kWrite, {}, kFresh);
    world.Answer(write);
    world.Pass(milliseconds(20));
    EXPECT(world.Released(write));
    EXPECT(world.probes - probes_before >= 1 &&
           world.probes - probes_before <= 3);
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, a_read_names_the_position_it_needs) {
  promoted_world world;
  const request_id write = world.Ask(statement_kind::kWrite);
  world.State("a").position = 11;
  world.Answer(write);
  REQUIRE(world.Released(write));
  world.State("b").position = 11;
  const request_id first = world.Ask(statement_kind::kRead);
  world.Pass(milliseconds(100));
  REQUIRE(world.Sent(first));
  EXPECT((world.Statement(first).after == log_point{1, 11}));
  SECTION(
      "after a replica answers that it is behind, the read is retried and the "
      "connection kept") {
    const connection_id used = world.Connection(first);
    world.Answer(first, transaction_status::kIdle, answer_outcome::kBehind);
    EXPECT(world.Open(used));
    world.Pass(milliseconds(100));
    REQUIRE(world.Sent(first));
    world.Answer(first);
    EXPECT(world.Released(first));
  }
  SECTION("a route with fresh reads goes to the primary") {
    const request_id fresh = world.Ask(statement_kind::kRead, {}, kFresh);
    REQUIRE(world.Sent(fresh));
    EXPECT(world.Where(fresh) == harness::Id("a"));
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, replicas_far_behind_are_seldom_tried) {
  promoted_world world;
  constexpr int kRounds = 100;
  int failed_attempts = 0;
  int immediate = 0;
  for (int i = 0; i < kRounds; ++i) {
    const request_id write = world.Ask(statement_kind::kWrite);
    ++world.State("a").position;
    REQUIRE(world.Sent(write));
    world.Answer(write);
    const request_id read = world.Ask(statement_kind::kRead);
    int steps = 0;
    while (!world.Released(read)) {
      world.Pass(milliseconds(5));
      REQUIRE(++steps < 100);
      if (!world.Sent(read)) {
        continue;
      }
      const bool behind = world.Where(read) != harness::Id("a");
      failed_attempts += behind ? 1 : 0;
      world.Answer(
          read, transaction_status::kIdle,
          behind ? answer_outcome::kBehind : answer_outcome::kSucceeded);
    }
    immediate += steps <= 4 ? 1 : 0;
    world.Pass(milliseconds(30 - std::min(steps, 5) * 5));
  }
  SECTION("each is tried about twice a second") {
    EXPECT(failed_attempts <= 2 * 30 * kRounds / 500 + 2);
  }
  SECTION("the log reports each once") {
    const auto count_events = [&world](const char* name) {
      return std::count_if(
          world.lines.begin(), world.lines.end(),
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
  world.Give(caller_opened{reader, "ledger", "tenant"});
  const std::uint64_t initial_probes = world.probes;
  for (int i = 0; i < 90; ++i) {
    const request_id write = world.Ask(statement_kind::kWrite);
    ++world.State("a").position;
    world.Answer(write);
    const request_id read = world.Ask(statement_kind::kRead, {}, reader);
    REQUIRE(world.Sent(read));
    world.Answer(read);
    world.Pass(milliseconds(20));
  }
  const auto behind = std::count_if(
      world.lines.begin(), world.lines.end(),
      [](const log_line& line) { return line.event == "endpoint.behind"; });
  EXPECT(behind >= 1);
  EXPECT(world.probes - initial_probes <= 3);
}

Test(replica_reads, a_replica_that_caught_up_is_used_again) {
  promoted_world world;
  const request_id warmup = world.Ask(statement_kind::kWrite);
  world.State("a").position = 50;
  world.Answer(warmup);
  REQUIRE(world.Released(warmup));
  const auto read_at = [&world] {
    const request_id read = world.Ask(statement_kind::kRead);
    endpoint_id where;
    for (int i = 0; i < 100 && !world.Released(read); ++i) {
      world.Pass(milliseconds(5));
      if (!world.Sent(read)) {
        continue;
      }
      where = world.Where(read);
      const bool replica = where != harness::Id("a");
      const char* const name = where == harness::Id("b") ? "b" : "c";
      const bool behind = replica && world.State(name).position < 50;
      world.Answer(
          read, transaction_status::kIdle,
          behind ? answer_outcome::kBehind : answer_outcome::kSucceeded);
    }
    world.Pass(milliseconds(60));
    return where;
  };
  SECTION("while both replicas lag, the primary serves") {
    int at_primary = 0;
    for (int i = 0; i < 10; ++i) {
      at_primary += read_at() == harness::Id("a") ? 1 : 0;
    }
    EXPECT(at_primary >= 4);
  }
  world.State("b").position = 50;
  world.State("c").position = 50;
  SECTION("after the replicas have caught up, they serve again") {
    int at_primary = 0;
    for (int i = 0; i < 20; ++i) {
      at_primary += read_at() == harness::Id("a") ? 1 : 0;
    }
    EXPECT(at_primary <= 2);
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, what_waits_at_the_primary_is_taken_over) {
  promoted_world world;
  const auto report_replicas = [&world](log_position position) {
    for (const char* name : {"b", "c"}) {
      world.State(name).position = position;
      world.Give(
          probe_answered{harness::Id(name), world.Now(), world.State(name)});
    }
  };
  const auto send = [&world](std::uint64_t caller, const char* route,
                             statement_kind kind) {
    world.Give(caller_opened{caller_id{caller}, route, {}});
    return world.Ask(kind, {}, caller_id{caller});
  };
  world.State("a").position = 50;
  world.Pass(seconds(3));
  world.Give(probe_answered{harness::Id("a"), world.Now(), world.State("a")});
  report_replicas(10);
  // Occupies the primary's three connections while both replicas lag.
  for (std::uint64_t i = 10; i < 13; ++i) {
    REQUIRE(world.Sent(send(i, "fresh", statement_kind::kWrite)));
  }
  std::vector<request_id> waiting;
  for (std::uint64_t i = 20; i < 24; ++i) {
    waiting.push_back(send(i, "ledger", statement_kind::kRead));
  }
  world.Pass(milliseconds(100));
  const auto count_sent = [&world, &waiting] {
    return std::count_if(
        waiting.begin(), waiting.end(),
        [&world](request_id read) { return world.Sent(read); });
  };
  REQUIRE(count_sent() == 0);
  SECTION(
      "a replica that has caught up takes one read over when its connection is "
      "free") {
    report_replicas(50);
    const request_id fresh = send(40, "ledger", statement_kind::kRead);
    REQUIRE(world.Sent(fresh));
    REQUIRE(world.Where(fresh) != harness::Id("a"));
    world.Answer(fresh);
    EXPECT(count_sent() == 1);
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, read_only_transactions_stay_on_a_replica) {
  promoted_world world;
  const request_id warmup = world.Ask(statement_kind::kRead, {}, kFresh);
  world.Answer(warmup);
  const request_id begin = world.Ask(statement_kind::kBeginRead);
  world.Pass(milliseconds(50));
  REQUIRE(world.Sent(begin));
  const endpoint_id where = world.Where(begin);
  EXPECT(where != harness::Id("a"));
  world.Answer(begin, transaction_status::kOpen);
  REQUIRE(world.Released(begin));
  SECTION("statements of the transaction need no permit") {
    world.silent = true;
    world.Pass(seconds(1));
    const request_id read = world.Ask(statement_kind::kRead);
    REQUIRE(world.Sent(read));
    EXPECT(world.Where(read) == where);
    world.Answer(read, transaction_status::kOpen);
    EXPECT(world.Released(read));
    const request_id commit = world.Ask(statement_kind::kCommit);
    world.Answer(commit);
    EXPECT(world.Released(commit));
  }
  EXPECT(world.violations == 0);
}

Test(replica_reads, reads_of_a_stated_age_go_on_during_a_change) {
  promoted_world world;
  const request_id warmup = world.Ask(statement_kind::kWrite);
  world.Answer(warmup);
  REQUIRE(world.Released(warmup));
  world.HoldDuty();
  world.LosePrimary();
  REQUIRE(world.Wrote(group_phase::kSealed));
  const request_id read = world.Ask(statement_kind::kRead);
  world.Pass(milliseconds(10));
  REQUIRE(world.Sent(read));
  EXPECT(world.Where(read) != harness::Id("a"));
  world.Answer(read);
  EXPECT(world.Released(read));
  EXPECT(world.violations == 0);
}

}  // namespace marjoramslip
