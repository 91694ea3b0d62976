// Tests of the database that is promoted where replicas acknowledge commits.

#include <algorithm>
#include <string>
#include <utility>

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A group whose primary "a" answers a commit once one of its replicas "b" and
/// "c" has received it.
struct acknowledging_world : promoted_world {
  acknowledging_world() {
    HoldDuty(seconds(120));
    Declare([](endpoint_spec&) { return true; });
    AdvanceTime(seconds(2));
    State("a").position = 20;
    State("a").received_point = {1, 20};
    SetReceived("b", 12);
    SetReceived("c", 20);
  }

  /// Declares the databases that `edit` keeps.
  template <typename editor>
  void Declare(editor edit) {
    catalogue declared = MakeCatalogue(++revision_);
    service_spec& service = declared.services.at("ledger");
    service.acknowledging_replicas = 1;
    std::vector<endpoint_spec>& endpoints = service.groups[0].endpoints;
    std::vector<endpoint_spec> kept;
    for (endpoint_spec& endpoint : endpoints) {
      if (edit(endpoint)) {
        kept.push_back(endpoint);
      }
    }
    endpoints = std::move(kept);
    ApplyEvent(catalogue_seen{declared});
  }
  void Remove(const std::string& name) {
    Declare(
        [&](const endpoint_spec& endpoint) { return endpoint.name != name; });
  }

  void SetReceived(const char* name, log_position position) {
    State(name).position = position;
    State(name).received_point = {1, position};
  }

  void CrashPrimary() {
    MakePrimaryUnreachable();
    REQUIRE(HasWrittenRecord(group_phase::kSealed));
  }
  bool IsPromoted(const char* name) const {
    return !promotions.empty() && promotions.back().endpoint == Id(name);
  }

 private:
  std::uint64_t revision_ = 1;
};

}  // namespace

// Guards against the loss of acknowledged commits: the only replica that has
// them is too busy to report its log.
Test(replica_choice, awaits_the_report_of_each_replica) {
  acknowledging_world world;
  world.silent_endpoint = harness::Id("c");
  world.CrashPrimary();
  world.AdvanceTime(seconds(20));
  SECTION("nothing is promoted while one may have received more") {
    EXPECT(world.promotions.empty());
  }
  SECTION("its report ends the wait, and it is promoted") {
    world.silent_endpoint = {};
    world.AdvanceTime(seconds(5));
    EXPECT(world.IsPromoted("c"));
  }
  EXPECT(world.violations == 0);
}

// Guards against a group that stays closed when its primary is back.
Test(replica_choice, a_returned_primary_ends_the_wait) {
  acknowledging_world world;
  world.silent_endpoint = harness::Id("c");
  world.CrashPrimary();
  world.AdvanceTime(seconds(5));
  REQUIRE(world.promotions.empty());
  world.unreachable_endpoint = {};
  world.AdvanceTime(seconds(1));
  EXPECT(world.written_records.back().phase == group_phase::kOpen);
  EXPECT(world.written_records.back().term == 1);
  EXPECT(world.violations == 0);
}

// Guards against a report from before the last acknowledged commit.
Test(replica_choice, counts_reports_from_after_the_seal_only) {
  acknowledging_world world;
  world.AdvanceTime(seconds(1));
  world.AddPeer();
  world.MakePrimaryUnreachable();
  suspicion_report agreed;
  agreed.group = harness::Group();
  agreed.endpoint = harness::Id("a");
  agreed.term = 1;
  agreed.suspected = true;
  world.ApplyEvent(peer_received{IdOf<instance_id>("j"), agreed});
  world.AdvanceTime(milliseconds(200));
  REQUIRE(world.HasWrittenRecord(group_phase::kSealed));
  // The other instance, which has not acknowledged the seal, passes a commit on
  // that "b" alone has received.
  world.SetReceived("b", 25);
  world.silent_endpoint = harness::Id("b");
  world.ApplyEvent(peer_received{IdOf<instance_id>("j"),
                                 record_ack{harness::Group(), 1000}});
  world.AdvanceTime(seconds(5));
  EXPECT(world.promotions.empty());
  world.silent_endpoint = {};
  world.AdvanceTime(seconds(5));
  EXPECT(world.IsPromoted("b"));
}

// Guards against the next best replica after the best one was given up.
Test(replica_choice,
     a_candidate_that_is_gone_is_not_replaced_by_one_behind_it) {
  acknowledging_world world;
  world.CrashPrimary();
  world.AdvanceTime(milliseconds(600));
  REQUIRE(world.IsPromoted("c"));
  const std::size_t calls = world.promotions.size();
  world.ApplyEvent(promotion_answered{
      harness::Id("c"), promotion_outcome::kNotRunning, "not running"});
  world.Remove("c");
  world.AdvanceTime(seconds(10));
  EXPECT(std::none_of(
      world.promotions.begin() + static_cast<std::ptrdiff_t>(calls),
      world.promotions.end(), [](const promote_endpoint& call) {
        return call.endpoint == harness::Id("b");
      }));
  SECTION("one that has as much is promoted") {
    world.SetReceived("b", 20);
    world.AdvanceTime(seconds(5));
    EXPECT(world.IsPromoted("b"));
  }
}

// Guards against a preference for databases that stay over those that have
// every acknowledged commit.
Test(replica_choice, a_leaving_replica_that_has_more_is_promoted) {
  acknowledging_world world;
  world.Declare([](endpoint_spec& endpoint) {
    endpoint.leaving = endpoint.name == "c";
    return true;
  });
  world.CrashPrimary();
  world.AdvanceTime(seconds(1));
  EXPECT(world.IsPromoted("c"));
}

// Guards against the loss of commits that only a replica received which left
// before the primary crashed.
Test(replica_choice, a_departed_replica_counts) {
  acknowledging_world world;
  SECTION("until another has the primary's log from after its departure") {
    world.Remove("c");
    world.AdvanceTime(milliseconds(300));
    world.CrashPrimary();
    world.AdvanceTime(seconds(20));
    EXPECT(world.promotions.empty());
  }
  SECTION("and no longer") {
    world.SetReceived("b", 20);
    world.AdvanceTime(seconds(5));
    EXPECT(world.IsPromoted("b"));
  }
}

// Guards against a planned change that loses commits, or waits for a replica
// that it does not need.
Test(replica_choice,
     a_planned_change_needs_only_the_primary_and_the_candidate) {
  acknowledging_world world;
  world.silent_endpoint = harness::Id("b");
  world.Declare([](endpoint_spec& endpoint) {
    endpoint.leaving = endpoint.name == "a";
    return true;
  });
  world.AdvanceTime(seconds(4));
  EXPECT(world.IsPromoted("c"));
}

}  // namespace marjoramslip
