// Tests of promotions that take effect after another database was opened.

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The promotion of "b" was not answered and was given up. "c" leads term 2,
/// whose record this instance has from another.
struct unsettled_world : promoted_world {
  unsettled_world() {
    State("a") = {2, 2, 14, endpoint_role::kReplica};
    State("b") = {2, 2, 14, endpoint_role::kReplica};
    Promote("c", 2);
    State("c").position = 14;
    group_record record;
    record.term = 2;
    record.primary = Id("c");
    record.forks = fork_history({{1, 0, 0}, {2, 1, 14}});
    record.witnesses = {Id("a"), Id("b"), Id("c")};
    record.unsettled = {{Id("b"), 5}};
    ApplyEvent(record_seen{Group(), {record, 7}});
    AdvanceTime(milliseconds(200));
  }
  request_id Write() {
    const request_id write =
        SendStatement(statement_kind::kWrite, {}, kFreshCaller);
    AdvanceTime(milliseconds(20));
    REQUIRE(IsInFlight(write));
    REQUIRE(EndpointOf(write) == Id("c"));
    return write;
  }
};

}  // namespace

// Guards against writes acknowledged at a primary after a promotion that was
// given up has taken effect.
Test(late_promotion, no_write_is_acknowledged_after_it) {
  unsettled_world world;
  const request_id write = world.Write();
  // Takes effect before the write is committed.
  world.Promote("b", 3);
  world.AnswerStatement(write);
  world.AdvanceTime(seconds(1));
  EXPECT(!world.IsReleased(write));
  EXPECT(world.violations == 0);
}

Test(late_promotion, a_write_waits_for_the_state_of_the_database) {
  unsettled_world world;
  world.unreachable_endpoint = harness::Id("b");
  const request_id write = world.Write();
  world.AnswerStatement(write);
  world.AdvanceTime(milliseconds(300));
  EXPECT(!world.IsReleased(write));
  SECTION("it is acknowledged once that database has not been promoted") {
    world.unreachable_endpoint = {};
    world.AdvanceTime(milliseconds(300));
    EXPECT(world.IsReleased(write));
  }
  SECTION("and so is the next, about a probe later") {
    const request_id next = world.Write();
    world.AnswerStatement(next);
    world.AdvanceTime(milliseconds(150));
    EXPECT(world.IsReleased(next));
  }
  SECTION("while it is out of reach, also after the request had its time") {
    world.unreachable_endpoint = harness::Id("b");
    world.AdvanceTime(core_options{}.promotion_effect_limit);
    const request_id blind = world.Write();
    world.AnswerStatement(blind);
    world.AdvanceTime(seconds(1));
    EXPECT(!world.IsReleased(blind));
    world.unreachable_endpoint = {};
    world.AdvanceTime(milliseconds(300));
    EXPECT(world.IsReleased(blind));
  }
  SECTION("without a wait once the request can't take effect any more") {
    const request_id late = world.Write();
    world.AnswerStatement(late);
    world.AdvanceTime(milliseconds(20));
    EXPECT(world.IsReleased(late));
  }
  EXPECT(world.violations == 0);
}

Test(late_promotion, is_awaited_at_the_process_that_has_the_name_now) {
  unsettled_world world;
  catalogue declared = world.MakeCatalogue(2);
  for (endpoint_spec& endpoint :
       declared.services.at("ledger").groups[0].endpoints) {
    if (endpoint.name == "b") {
      endpoint.name = "b.2";
      endpoint.identity = "b";
    }
  }
  world.Promote("b.2", 3);
  world.ApplyEvent(catalogue_seen{declared});
  const request_id write = world.Write();
  world.AnswerStatement(write);
  world.AdvanceTime(seconds(1));
  EXPECT(!world.IsReleased(write));
}

// Guards against a group that stays unusable because its record names a primary
// that another has replaced, whose term has no entry yet.
Test(late_promotion, is_followed) {
  promoted_world world;
  world.HoldDuty(seconds(60));
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  REQUIRE(world.IsInFlight(write));
  // The answer tells the term of the last entry, which is the old one.
  world.AnswerStatement(write, transaction_status::kIdle,
                        answer_outcome::kNotWritable);
  world.State("a") = {2, 2, 10, endpoint_role::kReplica};
  world.State("c") = {2, 2, 10, endpoint_role::kReplica};
  world.Promote("b", 2);
  world.AdvanceTime(seconds(1));
  REQUIRE(!world.written_records.empty());
  EXPECT(world.written_records.back().phase == group_phase::kOpen);
  EXPECT(world.written_records.back().primary == harness::Id("b"));
  EXPECT(world.written_records.back().term == 2);
  EXPECT(world.promotions.empty());
  EXPECT(world.violations == 0);
}

// Guards against a group that waits for the declaration of its recorded primary
// while another database already leads (random run 50089).
Test(late_promotion, is_followed_although_the_old_primary_is_not_declared) {
  promoted_world world;
  world.HoldDuty(seconds(60));
  catalogue others = world.MakeCatalogue(2);
  std::erase_if(
      others.services.at("ledger").groups[0].endpoints,
      [](const endpoint_spec& endpoint) { return endpoint.name == "a"; });
  world.ApplyEvent(catalogue_seen{others});
  world.Promote("b", 2);
  world.State("c") = {2, 2, 10, endpoint_role::kReplica};
  // A replica, which says no more than that there is a later term.
  world.ApplyEvent(
      probe_answered{harness::Id("c"), world.Now(), world.State("c")});
  world.AdvanceTime(seconds(1));
  REQUIRE(!world.written_records.empty());
  EXPECT(world.written_records.back().phase == group_phase::kOpen);
  EXPECT(world.written_records.back().primary == harness::Id("b"));
  EXPECT(world.violations == 0);
}

// Guards against acknowledgements while the old primary still acts.
Test(late_promotion, that_was_seen_ends_acknowledgements) {
  promoted_world world;
  world.HoldDuty(seconds(60));
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  REQUIRE(world.IsInFlight(write));
  world.Promote("b", 2);
  world.ApplyEvent(
      probe_answered{harness::Id("b"), world.Now(), world.State("b")});
  world.AnswerStatement(write);
  world.AdvanceTime(milliseconds(100));
  EXPECT(!world.IsReleased(write));
  SECTION("and the group is sealed although the old primary answers") {
    world.AdvanceTime(seconds(1));
    REQUIRE(!world.written_records.empty());
    EXPECT(world.written_records.back().primary == harness::Id("b"));
  }
  EXPECT(world.violations == 0);
}

// Guards against a record that forgets a request that may take effect.
Test(late_promotion, is_recorded_when_another_candidate_is_chosen) {
  promoted_world world;
  world.HoldDuty(seconds(120));
  world.State("b").received_point = {1, 14};
  world.State("c").received_point = {1, 12};
  world.MakePrimaryUnreachable();
  world.AdvanceTime(milliseconds(500));
  REQUIRE(world.promotions.size() == 1);
  const auto answer = [&world](promotion_outcome outcome) {
    world.ApplyEvent(
        promotion_answered{world.promotions.back().endpoint, outcome, {}});
  };
  SECTION("not if it was refused or not sent") {
    answer(promotion_outcome::kNotRunning);
    world.AdvanceTime(milliseconds(600));
    REQUIRE(world.promotions.size() == 2);
    EXPECT(world.written_records.back().unsettled.empty());
  }
  SECTION("if it was accepted and has no effect") {
    answer(promotion_outcome::kAccepted);
    world.AdvanceTime(milliseconds(2600));
    REQUIRE(world.promotions.size() == 3);
    const auto& unsettled = world.written_records.back().unsettled;
    REQUIRE(unsettled.size() == 1);
    EXPECT(unsettled[0].target == harness::Id("c"));
  }
  SECTION("and stays when the other one leads") {
    world.Promote("b", 2);
    world.AdvanceTime(milliseconds(200));
    REQUIRE(world.written_records.back().phase == group_phase::kOpen);
    EXPECT(!world.written_records.back().unsettled.empty());
  }
}

}  // namespace marjoramslip
