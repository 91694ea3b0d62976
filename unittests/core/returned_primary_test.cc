// Tests of a primary that returns while its group is sealed.

#include <algorithm>

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The group is sealed because its primary "a" was unreachable. Another
/// instance does not acknowledge the seal, so nothing may be promoted yet.
struct sealed_world : promoted_world {
  sealed_world() {
    HoldDuty(seconds(60));
    SetMembers({{IdOf<instance_id>("i"), "i", {}, {}, false, 0, 30},
                {IdOf<instance_id>("j"), "j", {}, {}, false, 1, 31},
                {IdOf<instance_id>("k"), "k", {}, {}, false, 2, 32}});
    AdvanceTime(seconds(12));
    Seal();
  }
  void Seal() {
    MakePrimaryUnreachable();
    suspicion_report agreed;
    agreed.group = Group();
    agreed.endpoint = Id("a");
    agreed.term = 1;
    agreed.suspected = true;
    ApplyEvent(peer_received{IdOf<instance_id>("j"), agreed});
    AdvanceTime(milliseconds(20));
    REQUIRE(written_records.back().phase == group_phase::kSealed);
    ApplyEvent(
        peer_received{IdOf<instance_id>("k"), record_ack{Group(), 1000}});
  }
  /// The primary answers again, with its role and its log.
  void ReturnPrimary() {
    unreachable_endpoint = {};
    AdvanceTime(milliseconds(150));
  }
  /// The primary's process has started again, which gives it another id.
  void RestartPrimary(const char* id, std::uint64_t catalogue_revision) {
    State(id) = State("a");
    catalogue declared = MakeCatalogue(catalogue_revision);
    for (endpoint_spec& endpoint :
         declared.services.at("ledger").groups[0].endpoints) {
      if (endpoint.name == "a") {
        endpoint.name = id;
        endpoint.identity = "a";
      }
    }
    ApplyEvent(catalogue_seen{declared});
    AdvanceTime(milliseconds(150));
  }
  bool IsOpen() const {
    return written_records.back().phase == group_phase::kOpen;
  }
  endpoint_id RecordedPrimary() const { return written_records.back().primary; }
  bool IsWriteAccepted(const char* endpoint) {
    const request_id write =
        SendStatement(statement_kind::kWrite, {}, kFreshCaller);
    AdvanceTime(milliseconds(50));
    if (!IsInFlight(write) || EndpointOf(write) != Id(endpoint)) {
      return false;
    }
    AnswerStatement(write);
    AdvanceTime(milliseconds(150));
    return IsReleased(write);
  }
};

}  // namespace

// Guards against a group that stays closed although its primary is back.
Test(returned_primary, is_handed_its_group_back) {
  sealed_world world;
  SECTION("under its id, if it was only out of reach") {
    world.ReturnPrimary();
    REQUIRE(world.IsOpen());
    EXPECT(world.RecordedPrimary() == harness::Id("a"));
    EXPECT(world.written_records.back().term == 1);
    EXPECT(world.IsWriteAccepted("a"));
    SECTION("and replaced when it fails again") {
      world.Seal();
      world.State("b").received_point = {1, 14};
      world.AdvanceTime(seconds(3));
      REQUIRE(!world.promotions.empty());
      EXPECT(world.promotions.back().endpoint == harness::Id("b"));
    }
  }
  EXPECT(world.violations == 0);
}

// Guards against a promotion of the present primary, for which the platform
// answers 200 and changes nothing.
Test(returned_primary, is_known_under_another_id) {
  sealed_world world;
  world.State("a").position = 20;
  world.State("a").received_point = {1, 20};
  world.RestartPrimary("a.2", 2);
  REQUIRE(world.IsOpen());
  EXPECT(world.RecordedPrimary() == harness::Id("a.2"));
  EXPECT(world.promotions.empty());
  EXPECT(world.IsWriteAccepted("a.2"));
  const auto& witnesses = world.written_records.back().witnesses;
  EXPECT(std::count(witnesses.begin(), witnesses.end(), harness::Id("a.2")) ==
         1);
  EXPECT(std::count(witnesses.begin(), witnesses.end(), harness::Id("a")) == 0);
  EXPECT(world.violations == 0);
}

// Guards against a wait for the declaration of a process that is gone.
Test(returned_primary, that_restarted_before_anyone_missed_it) {
  promoted_world world;
  world.HoldDuty(seconds(60));
  world.State("a.2") = world.State("a");
  catalogue declared = world.MakeCatalogue(2);
  for (endpoint_spec& endpoint :
       declared.services.at("ledger").groups[0].endpoints) {
    if (endpoint.name == "a") {
      endpoint.name = "a.2";
      endpoint.identity = "a";
    }
  }
  world.ApplyEvent(catalogue_seen{declared});
  world.AdvanceTime(milliseconds(300));
  REQUIRE(!world.written_records.empty());
  EXPECT(world.written_records.back().phase == group_phase::kOpen);
  EXPECT(world.written_records.back().primary == harness::Id("a.2"));
  EXPECT(world.promotions.empty());
}

// Guards against a group whose witnesses are replaced one after the other while
// none of them is left.
Test(returned_primary, with_all_other_databases_under_other_ids) {
  promoted_world world;
  world.HoldDuty(seconds(60));
  catalogue declared = world.MakeCatalogue(2);
  for (endpoint_spec& endpoint :
       declared.services.at("ledger").groups[0].endpoints) {
    endpoint.identity = endpoint.name;
    endpoint.name += ".2";
    world.State(endpoint.name.c_str()) = world.State(endpoint.identity.c_str());
  }
  world.ApplyEvent(catalogue_seen{declared});
  world.AdvanceTime(milliseconds(1500));
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  world.AdvanceTime(milliseconds(50));
  REQUIRE(world.IsInFlight(write));
  world.AnswerStatement(write);
  world.AdvanceTime(milliseconds(200));
  EXPECT(world.IsReleased(write));
}

Test(returned_primary, serves_a_group_without_replicas_again) {
  sealed_world world;
  catalogue alone = world.MakeCatalogue(2);
  std::erase_if(
      alone.services.at("ledger").groups[0].endpoints,
      [](const endpoint_spec& endpoint) { return endpoint.name != "a"; });
  world.ApplyEvent(catalogue_seen{alone});
  world.AdvanceTime(seconds(8));
  REQUIRE(!world.IsOpen());
  world.ReturnPrimary();
  REQUIRE(world.IsOpen());
  EXPECT(world.RecordedPrimary() == harness::Id("a"));
}

Test(returned_primary, is_not_handed_back_what_it_lacks) {
  SECTION("if a replica has received more") {
    sealed_world world;
    world.State("b").received_point = {1, 30};
    world.ReturnPrimary();
    EXPECT(!world.IsOpen());
  }
  SECTION("if another database leads a later term") {
    sealed_world world;
    world.Promote("c", 2);
    world.ReturnPrimary();
    EXPECT(!world.IsOpen());
    world.AdvanceTime(seconds(3));
    REQUIRE(world.IsOpen());
    EXPECT(world.RecordedPrimary() == harness::Id("c"));
  }
  SECTION("if it is no primary any more") {
    sealed_world world;
    world.State("a").role = endpoint_role::kReplica;
    world.ReturnPrimary();
    EXPECT(!world.IsOpen());
  }
}

Test(returned_primary, after_the_promotion_was_requested) {
  sealed_world world;
  world.State("b").received_point = {1, 14};
  world.AdvanceTime(seconds(3));
  REQUIRE(world.promotions.size() == 1);
  world.State("a").position = 20;
  world.ReturnPrimary();
  SECTION("the promotion goes on") { EXPECT(!world.IsOpen()); }
  SECTION("the candidate's term is opened, the old primary steps down") {
    world.Promote("b", 2);
    world.AdvanceTime(milliseconds(150));
    REQUIRE(world.IsOpen());
    EXPECT(world.RecordedPrimary() == harness::Id("b"));
    const auto steps_down = [](const move_endpoint& move) {
      return move.endpoint == harness::Id("a") && move.term == 2 &&
             !move.stop_replication;
    };
    EXPECT(std::any_of(world.moves.begin(), world.moves.end(), steps_down));
  }
  EXPECT(world.violations == 0);
}

}  // namespace marjoramslip
