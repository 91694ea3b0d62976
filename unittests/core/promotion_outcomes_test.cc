// Tests of what the platform may answer to a request for a promotion.

#include <algorithm>

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The primary "a" is unreachable, and the promotion of "b", which has received
/// most, was requested once.
struct requested_world : promoted_world {
  requested_world() {
    HoldDuty(seconds(120));
    State("b").received_point = {1, 14};
    State("c").received_point = {1, 12};
    MakePrimaryUnreachable();
    AdvanceTime(milliseconds(500));
    REQUIRE(promotions.size() == 1);
    REQUIRE(promotions[0].endpoint == Id("b"));
  }
  void Answer(promotion_outcome outcome) {
    ApplyEvent(promotion_answered{promotions.back().endpoint, outcome, "test"});
  }
  std::ptrdiff_t CountSeals() const {
    return std::count_if(
        log_lines.begin(), log_lines.end(),
        [](const log_line& line) { return line.event == "group.seal"; });
  }
  const group_record& Record() const { return written_records.back(); }
};

}  // namespace

// Guards against a group that stays closed because the platform accepts a
// promotion that has no effect.
Test(promotion_outcomes, an_accepted_promotion_without_effect) {
  requested_world world;
  world.Answer(promotion_outcome::kAccepted);
  SECTION("is waited for") {
    world.AdvanceTime(milliseconds(1300));
    EXPECT(world.promotions.size() == 1);
  }
  SECTION("is followed by the promotion of another, without a new seal") {
    world.AdvanceTime(seconds(1));
    REQUIRE(world.promotions.size() == 2);
    EXPECT(world.promotions[1].endpoint == harness::Id("c"));
    EXPECT(world.CountSeals() == 1);
  }
  SECTION("the other leads: its term is opened") {
    world.Promote("c", 2);
    world.AdvanceTime(milliseconds(200));
    EXPECT(world.Record().phase == group_phase::kOpen);
    EXPECT(world.Record().primary == harness::Id("c"));
  }
  EXPECT(world.violations == 0);
}

Test(promotion_outcomes, a_candidate_that_does_not_run_is_replaced_at_once) {
  requested_world world;
  world.Answer(promotion_outcome::kNotRunning);
  world.AdvanceTime(milliseconds(600));
  REQUIRE(world.promotions.size() == 2);
  EXPECT(world.promotions[1].endpoint == harness::Id("c"));
  EXPECT(world.CountSeals() == 1);
  SECTION("if no candidate runs, they are tried again ever more rarely") {
    for (int i = 0; i < 2000; ++i) {
      if (world.promotions.size() >= 2) {
        world.Answer(promotion_outcome::kNotRunning);
      }
      world.AdvanceTime(milliseconds(5));
    }
    EXPECT(world.promotions.size() >= 4);
    EXPECT(world.promotions.size() <= 22);
    EXPECT(world.CountSeals() == 1);
  }
}

Test(promotion_outcomes, a_refusal_over_the_limit_is_repeated_with_delays) {
  requested_world world;
  std::size_t answered = 0;
  for (int i = 0; i < 600; ++i) {
    if (world.promotions.size() > answered) {
      answered = world.promotions.size();
      world.Answer(promotion_outcome::kOverLimit);
    }
    world.AdvanceTime(milliseconds(5));
  }
  EXPECT(world.promotions.size() >= 4);
  EXPECT(world.promotions.size() <= 8);
  EXPECT(world.promotions.back().endpoint == harness::Id("b"));
  EXPECT(world.CountSeals() == 1);
}

Test(promotion_outcomes, no_answer) {
  requested_world world;
  SECTION("is not asked again while the call may still be answered") {
    world.AdvanceTime(milliseconds(300));
    EXPECT(world.promotions.size() == 1);
  }
  SECTION("is asked again, the same candidate") {
    world.Answer(promotion_outcome::kUnknown);
    world.AdvanceTime(milliseconds(150));
    REQUIRE(world.promotions.size() == 2);
    EXPECT(world.promotions[1].endpoint == harness::Id("b"));
  }
  SECTION("for long: the same candidate, as the others have received less") {
    world.AdvanceTime(seconds(5));
    EXPECT(world.promotions.size() >= 4);
    EXPECT(world.promotions.back().endpoint == harness::Id("b"));
    EXPECT(world.CountSeals() == 1);
  }
}

// Guards against a record that names another primary than the one whose
// promotion took effect after all.
Test(promotion_outcomes, an_effect_that_comes_late_is_adopted) {
  requested_world world;
  world.Answer(promotion_outcome::kAccepted);
  world.AdvanceTime(seconds(3));
  REQUIRE(world.promotions.back().endpoint == harness::Id("c"));
  world.Promote("b", 2);
  world.AdvanceTime(milliseconds(200));
  REQUIRE(world.Record().phase == group_phase::kOpen);
  EXPECT(world.Record().primary == harness::Id("b"));
  EXPECT(world.violations == 0);
}

// Guards against a planned change that closes the group while the platform is
// out.
Test(promotion_outcomes, a_planned_change_without_the_platform) {
  promoted_world world;
  world.HoldDuty(seconds(120));
  world.ApplyEvent(promote_requested{harness::Group(), harness::Id("b")});
  for (int i = 0; i < 500; ++i) {
    if (!world.promotions.empty()) {
      world.ApplyEvent(promotion_answered{
          world.promotions.back().endpoint, promotion_outcome::kNotSent, {}});
    }
    world.AdvanceTime(milliseconds(5));
  }
  REQUIRE(!world.promotions.empty());
  EXPECT(world.written_records.back().phase == group_phase::kOpen);
  EXPECT(world.written_records.back().primary == harness::Id("a"));
  SECTION("it is tried again after some seconds") {
    const std::size_t records = world.written_records.size();
    world.ApplyEvent(promote_requested{harness::Group(), harness::Id("b")});
    world.AdvanceTime(milliseconds(100));
    EXPECT(world.written_records.size() == records);
    world.AdvanceTime(seconds(5));
    world.ApplyEvent(promote_requested{harness::Group(), harness::Id("b")});
    world.AdvanceTime(milliseconds(100));
    EXPECT(world.written_records.size() > records);
  }
  EXPECT(world.violations == 0);
}

// Guards against an answer that is taken for that of another change.
Test(promotion_outcomes, an_answer_of_an_earlier_change_is_passed_over) {
  promoted_world world;
  world.HoldDuty(seconds(120));
  world.State("b").received_point = {1, 14};
  world.ApplyEvent(
      promotion_answered{harness::Id("b"), promotion_outcome::kAccepted, {}});
  world.MakePrimaryUnreachable();
  world.ApplyEvent(
      promotion_answered{harness::Id("c"), promotion_outcome::kAccepted, {}});
  world.AdvanceTime(milliseconds(500));
  REQUIRE(!world.promotions.empty());
  EXPECT(world.promotions[0].endpoint == harness::Id("b"));
  EXPECT(world.written_records.back().unsettled.empty());
}

Test(promotion_outcomes, a_primary_that_returns_meanwhile) {
  SECTION("is left alone while the promotion may take effect") {
    requested_world world;
    world.Answer(promotion_outcome::kAccepted);
    world.unreachable_endpoint = {};
    world.State("a").position = 20;
    world.AdvanceTime(seconds(1));
    EXPECT(world.Record().phase == group_phase::kSealed);
  }
  // Guards against a promotion that took effect before its database vanished.
  SECTION("is not handed the group back if the candidate may lead unseen") {
    requested_world world;
    world.Answer(promotion_outcome::kAccepted);
    world.unreachable_endpoint = harness::Id("b");
    world.State("a").position = 20;
    for (int i = 0; i < 300; ++i) {
      world.ApplyEvent(probe_failed{harness::Id("b"), world.Now(), true});
      world.AdvanceTime(milliseconds(5));
    }
    EXPECT(world.Record().phase == group_phase::kSealed);
    REQUIRE(world.promotions.size() == 2);
    EXPECT(world.promotions[1].endpoint == harness::Id("c"));
  }
  SECTION("is asked for, if no other is left, and handed the group back then") {
    requested_world world;
    catalogue remaining = world.MakeCatalogue(2);
    std::erase_if(
        remaining.services.at("ledger").groups[0].endpoints,
        [](const endpoint_spec& endpoint) { return endpoint.name == "c"; });
    world.ApplyEvent(catalogue_seen{remaining});
    world.Answer(promotion_outcome::kAccepted);
    world.unreachable_endpoint = harness::Id("b");
    world.State("a").position = 20;
    for (int i = 0; i < 300; ++i) {
      world.ApplyEvent(probe_failed{harness::Id("b"), world.Now(), true});
      world.AdvanceTime(milliseconds(5));
    }
    REQUIRE(world.promotions.size() == 2);
    EXPECT(world.promotions[1].endpoint == harness::Id("a"));
    world.Answer(promotion_outcome::kAccepted);
    world.AdvanceTime(milliseconds(1300));
    EXPECT(world.Record().phase == group_phase::kSealed);
    world.AdvanceTime(seconds(1));
    REQUIRE(world.Record().phase == group_phase::kOpen);
    EXPECT(world.Record().primary == harness::Id("a"));
  }
  // Guards against a group that stays closed while the platform is out.
  SECTION("is handed the group back if the platform can't be reached") {
    requested_world world;
    world.unreachable_endpoint = {};
    world.State("a").position = 20;
    for (int i = 0; i < 300 && world.Record().phase != group_phase::kOpen;
         ++i) {
      world.Answer(promotion_outcome::kNotSent);
      world.AdvanceTime(milliseconds(5));
    }
    REQUIRE(world.Record().phase == group_phase::kOpen);
    EXPECT(world.Record().primary == harness::Id("a"));
    EXPECT(world.Record().unsettled.empty());
  }
  SECTION("is handed the group back if the candidate does not run") {
    requested_world world;
    world.unreachable_endpoint = {};
    world.State("a").position = 20;
    world.AdvanceTime(milliseconds(200));
    world.Answer(promotion_outcome::kNotRunning);
    world.AdvanceTime(milliseconds(200));
    REQUIRE(world.Record().phase == group_phase::kOpen);
    EXPECT(world.Record().primary == harness::Id("a"));
  }
}

}  // namespace marjoramslip
