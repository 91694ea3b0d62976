// Tests of the change of primary where the platform promotes on request.

#include <algorithm>

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The primary is unreachable, and the record is sealed. Another instance is
/// listed and has not acknowledged the sealed record.
struct sealed_term_world : promoted_world {
  explicit sealed_term_world(bool lease_store_answers = true,
                             duration listed_for = seconds(12)) {
    HoldDuty(seconds(60));
    SetMembers({{IdOf<instance_id>("i"), "i", {}, {}, false, 0, 30},
                {IdOf<instance_id>("j"), "j", {}, {}, false, 1, 31},
                {IdOf<instance_id>("k"), "k", {}, {}, false, 2, 32}});
    AdvanceTime(listed_for);
    MakePrimaryUnreachable();
    lease_store_available = lease_store_answers;
    suspicion_report agreed;
    agreed.group = Group();
    agreed.endpoint = Id("a");
    agreed.term = 1;
    agreed.suspected = true;
    ApplyEvent(peer_received{IdOf<instance_id>("j"), agreed});
    AdvanceTime(milliseconds(20));
    REQUIRE(HasWrittenRecord(group_phase::kSealed));
    Acknowledge("k");
  }
  void Acknowledge(const char* peer = "j") {
    ApplyEvent(
        peer_received{IdOf<instance_id>(peer), record_ack{Group(), 1000}});
  }
  std::ptrdiff_t CountRecordMessages() const {
    return std::count_if(
        peer_messages.begin(), peer_messages.end(),
        [](const peer_message& message) {
          return std::holds_alternative<record_update>(message);
        });
  }
  bool IsRecordOpen() const {
    return written_records.back().phase == group_phase::kOpen;
  }
};

}  // namespace

Test(promotion, a_record_is_read_until_it_is_known) {
  promoted_world world;
  endpoint_state ahead = world.State("b");
  ahead.term = 2;
  const std::uint64_t reads_before = world.record_reads;
  world.ApplyEvent(probe_answered{harness::Id("b"), world.Now(), ahead});
  SECTION("repeatedly while the store does not answer") {
    world.record_store_available = false;
    world.AdvanceTime(seconds(1));
    EXPECT(world.record_reads - reads_before >= 3);
  }
  SECTION("no more once the store reports that there is no newer record") {
    world.record_store_available = true;
    world.AdvanceTime(milliseconds(300));
    const std::uint64_t reads_until_answer = world.record_reads;
    world.AdvanceTime(seconds(5));
    EXPECT(world.record_reads == reads_until_answer);
  }
}

Test(promotion, the_holder_of_the_duty_replaces_a_dead_primary) {
  promoted_world world;
  world.HoldDuty();
  world.State("b").received_point = {1, 12};
  world.State("c").received_point = {1, 14};
  world.MakePrimaryUnreachable();
  REQUIRE(world.HasWrittenRecord(group_phase::kSealed));
  world.AdvanceTime(milliseconds(500));
  SECTION("the replica that has received most is promoted with the fence") {
    REQUIRE(world.promotions.size() == 1);
    EXPECT(world.promotions[0].endpoint == harness::Id("c"));
    EXPECT(world.promotions[0].fence == kFence);
  }
  SECTION("the record stays sealed until the platform has promoted") {
    EXPECT(world.written_records.back().phase == group_phase::kSealed);
  }
  world.Promote("c", 2);
  world.State("b") = {2, 2, 14, endpoint_role::kReplica};
  world.AdvanceTime(seconds(1));
  SECTION("the next term is open and takes writes") {
    REQUIRE(world.written_records.back().phase == group_phase::kOpen);
    EXPECT(world.written_records.back().term == 2);
    EXPECT(world.written_records.back().primary == harness::Id("c"));
    const request_id write = world.SendStatement(statement_kind::kWrite);
    world.AdvanceTime(milliseconds(20));
    REQUIRE(world.IsInFlight(write));
    EXPECT(world.EndpointOf(write) == harness::Id("c"));
    world.AnswerStatement(write);
    world.AdvanceTime(milliseconds(20));
    EXPECT(world.IsReleased(write));
  }
  EXPECT(world.violations == 0);
}

Test(promotion, a_group_that_lost_its_majority_for_good_serves_again) {
  promoted_world world;
  world.HoldDuty(seconds(60));
  catalogue remaining = world.MakeCatalogue(2);
  std::erase_if(
      remaining.services.at("ledger").groups[0].endpoints,
      [](const endpoint_spec& endpoint) { return endpoint.name != "b"; });
  world.ApplyEvent(catalogue_seen{remaining});
  world.AdvanceTime(seconds(4));
  REQUIRE(world.promotions.size() == 1);
  EXPECT(world.promotions[0].endpoint == harness::Id("b"));
  world.Promote("b", 2);
  world.AdvanceTime(seconds(8));
  REQUIRE(world.written_records.back().phase == group_phase::kOpen);
  const request_id write = world.SendStatement(statement_kind::kWrite);
  world.AdvanceTime(milliseconds(50));
  REQUIRE(world.IsInFlight(write));
  world.AnswerStatement(write);
  world.AdvanceTime(seconds(1));
  EXPECT(world.IsReleased(write));
  SECTION("removed databases are no longer witnesses") {
    EXPECT(world.written_records.back().witnesses ==
           std::vector<endpoint_id>{harness::Id("b")});
  }
  EXPECT(world.violations == 0);
}

Test(promotion, a_record_is_not_created_while_databases_register) {
  promoted_world world;
  catalogue declared = world.MakeCatalogue(2);
  service_spec other = declared.services.at("ledger");
  other.name = "other";
  other.groups[0].name = "h";
  const std::vector<endpoint_spec> endpoints = other.groups[0].endpoints;
  other.groups[0].endpoints = {endpoints[0]};
  for (endpoint_spec& endpoint : other.groups[0].endpoints) {
    endpoint.name = "other-" + endpoint.name;
  }
  world.State("other-a") = {1, 1, 10, endpoint_role::kPrimary};
  world.State("other-b") = {1, 1, 10, endpoint_role::kReplica};
  declared.services.insert_or_assign("other", other);
  world.ApplyEvent(catalogue_seen{declared});
  world.HoldDuty(seconds(60));
  world.ApplyEvent(record_seen{IdOf<group_id>("h"), versioned_record{}});
  world.AdvanceTime(seconds(1));
  EXPECT(world.written_records.empty());
  endpoint_spec second = endpoints[1];
  second.name = "other-b";
  declared.services.at("other").groups[0].endpoints.push_back(second);
  declared.revision = 3;
  world.ApplyEvent(catalogue_seen{declared});
  world.AdvanceTime(seconds(1));
  EXPECT(world.written_records.empty());
  world.AdvanceTime(seconds(1));
  REQUIRE(!world.written_records.empty());
  EXPECT(world.written_records[0].witnesses.size() == 2);
}

Test(promotion, only_the_holder_of_the_duty_promotes) {
  SECTION("an instance without the duty") {
    promoted_world world;
    world.MakePrimaryUnreachable();
    world.AdvanceTime(seconds(1));
    EXPECT(world.promotions.empty());
    EXPECT(!world.HasWrittenRecord(group_phase::kSealed));
  }
  SECTION("an instance whose duty is about to lapse") {
    promoted_world world;
    world.HoldDuty(milliseconds(800));
    world.MakePrimaryUnreachable();
    world.AdvanceTime(seconds(1));
    EXPECT(world.promotions.empty());
  }
}

// Guards against writes acknowledged at the old primary, and reads released
// there, by an instance that the promoter does not reach.
Test(promotion, waits_until_no_other_instance_serves_the_old_term) {
  SECTION("all have acknowledged the seal: the promotion follows at once") {
    sealed_term_world world;
    world.Acknowledge();
    world.AdvanceTime(milliseconds(100));
    EXPECT(world.promotions.size() == 1);
    EXPECT(world.membership_ends.empty());
  }
  SECTION("a silent instance: its lease is ended and has to expire first") {
    sealed_term_world world;
    world.State("b").received_point = {1, 14};
    world.AdvanceTime(milliseconds(400));
    REQUIRE(world.membership_ends.size() == 1);
    EXPECT(world.membership_ends[0].member == IdOf<instance_id>("j"));
    EXPECT(world.membership_ends[0].lease == 31);
    world.AdvanceTime(core_options{}.serving_lease);
    EXPECT(world.promotions.empty());
    world.AdvanceTime(milliseconds(300));
    REQUIRE(world.promotions.size() == 1);
    world.Promote("b", 2);
    world.AdvanceTime(milliseconds(200));
    EXPECT(world.IsRecordOpen());
    EXPECT(world.violations == 0);
  }
  SECTION("the silent ones may be a majority: they may renew their leases") {
    // An instance that was listed only just now may be on no list of theirs.
    sealed_term_world world(true, seconds(1));
    world.AdvanceTime(seconds(7));
    EXPECT(world.promotions.empty());
    world.AdvanceTime(seconds(2));
    EXPECT(world.promotions.size() == 1);
  }
  SECTION("its lease cannot be ended: nothing is promoted") {
    sealed_term_world world(false);
    const std::ptrdiff_t messages_before = world.CountRecordMessages();
    world.AdvanceTime(seconds(5));
    EXPECT(world.promotions.empty());
    EXPECT(world.CountRecordMessages() > messages_before);
    SECTION("until it acknowledges") {
      world.Acknowledge();
      world.AdvanceTime(milliseconds(100));
      EXPECT(world.promotions.size() == 1);
    }
  }
  SECTION("databases in the next term do not show that it has stopped") {
    sealed_term_world world(false);
    world.Promote("b", 2);
    world.State("c") = {2, 2, 10, endpoint_role::kReplica};
    world.AdvanceTime(seconds(5));
    EXPECT(!world.IsRecordOpen());
  }
}

Test(promotion, the_list_of_instances_is_read_after_the_seal) {
  promoted_world world;
  world.HoldDuty(seconds(60));
  world.members_available = false;
  world.MakePrimaryUnreachable();
  world.AdvanceTime(seconds(2));
  SECTION("an older list is not enough: an instance may have joined since") {
    REQUIRE(world.HasWrittenRecord(group_phase::kSealed));
    EXPECT(world.promotions.empty());
    EXPECT(world.member_reads >= 2);
  }
  world.members_available = true;
  world.AdvanceTime(seconds(1));
  SECTION("a list read after the seal is enough") {
    EXPECT(world.promotions.size() == 1);
  }
  EXPECT(world.violations == 0);
}

// Guards against a new holder of the duty that does not know the instances that
// vanished before it started.
Test(promotion, a_new_instance_waits_for_leases_that_it_cannot_know_of) {
  harness world(ack_policy::kPrimary, true);
  world.ApplyEvent(
      duty_seen{IdOf<instance_id>("i"), kFence, world.Now() + seconds(60)});
  world.unreachable_endpoint = harness::Id("a");
  world.ApplyEvent(probe_failed{harness::Id("a"), world.Now(), true});
  world.AdvanceTime(core_options{}.majority_lease_limit);
  EXPECT(world.promotions.empty());
  world.AdvanceTime(milliseconds(600));
  EXPECT(world.promotions.size() == 1);
}

Test(promotion, a_primary_that_is_declared_again_takes_waiting_requests) {
  promoted_world world;
  catalogue without = world.MakeCatalogue(2);
  std::erase_if(
      without.services.at("ledger").groups[0].endpoints,
      [](const endpoint_spec& endpoint) { return endpoint.name == "a"; });
  world.ApplyEvent(catalogue_seen{without});
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  world.AdvanceTime(milliseconds(100));
  REQUIRE(!world.IsInFlight(write));
  world.ApplyEvent(catalogue_seen{world.MakeCatalogue(3)});
  EXPECT(world.IsInFlight(write));
  EXPECT(world.violations == 0);
}

Test(promotion, a_primary_that_is_slow_is_not_replaced) {
  promoted_world world;
  world.HoldDuty();
  world.ignores_probes = true;
  // New connections and probes time out. Statements are answered if `answered`.
  const auto overload = [&world](bool answered) {
    for (int i = 0; i < 20; ++i) {
      const instant probe_sent_at = world.Now();
      world.AdvanceTime(milliseconds(80));
      if (answered) {
        world.ApplyEvent(
            probe_answered{harness::Id("b"), probe_sent_at, world.State("b")});
        const request_id write =
            world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
        REQUIRE(world.IsInFlight(write));
        world.AnswerStatement(write);
        EXPECT(world.IsReleased(write));
      }
      world.ApplyEvent(probe_failed{harness::Id("a"), probe_sent_at, true});
    }
  };
  SECTION("not while it answers statements") {
    overload(true);
    EXPECT(!world.HasWrittenRecord(group_phase::kSealed));
  }
  SECTION("it is replaced if it answers nothing") {
    overload(false);
    EXPECT(world.HasWrittenRecord(group_phase::kSealed));
  }
  EXPECT(world.violations == 0);
}

Test(promotion, nothing_is_acknowledged_without_evidence) {
  promoted_world world;
  const request_id write = world.SendStatement(statement_kind::kWrite);
  REQUIRE(world.IsInFlight(write));
  world.ignores_probes = true;
  world.AdvanceTime(milliseconds(600));
  // The replicas move to a term of which this instance has no record.
  world.State("b") = {2, 2, 10, endpoint_role::kPrimary};
  world.State("c") = {2, 2, 10, endpoint_role::kReplica};
  world.ignores_probes = false;
  world.AnswerStatement(write);
  world.AdvanceTime(milliseconds(200));
  EXPECT(!world.IsReleased(write));
  world.AdvanceTime(seconds(6));
  REQUIRE(world.FailureOf(write).has_value());
  EXPECT(world.FailureOf(write)->effect == verdict::kMayHaveRun);
  EXPECT(world.violations == 0);
}

Test(promotion, a_drain_gives_transactions_half_of_its_time) {
  promoted_world world;
  const request_id begin = world.SendStatement(statement_kind::kBegin);
  world.AnswerStatement(begin, transaction_status::kOpen);
  world.AdvanceTime(milliseconds(20));
  REQUIRE(world.IsReleased(begin));
  world.ApplyEvent(drain_requested{});
  SECTION("idle callers are disconnected at once, the transaction continues") {
    EXPECT(world.closed_callers == std::vector<caller_id>{kFreshCaller});
    world.AdvanceTime(seconds(9));
    const request_id read = world.SendStatement(statement_kind::kRead);
    REQUIRE(world.IsInFlight(read));
    world.AnswerStatement(read, transaction_status::kOpen);
  }
  SECTION("after half of the limit the idle transaction is ended") {
    world.AdvanceTime(seconds(2));
    EXPECT(world.closed_callers.size() == 2);
    EXPECT(world.is_drained);
  }
}

}  // namespace marjoramslip
