// Tests who writes the first record of a group, and what that costs the store.

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::seconds;

/// A second group, "new", whose databases are up and which has no record yet.
struct new_group_world : promoted_world {
  new_group_world() {
    for (const char* name : {"x", "y", "z"}) {
      State(name) = {1, 1, 10, endpoint_role::kReplica};
    }
    State("x").role = endpoint_role::kPrimary;
    catalogue notes = MakeCatalogue(2);
    service_spec service = notes.services.at("ledger");
    service.name = "new";
    service.groups[0].name = "new";
    for (std::size_t i = 0; i < 3; ++i) {
      service.groups[0].endpoints[i].name = std::string(1, "xyz"[i]);
    }
    notes.services.emplace("new", service);
    ApplyEvent(catalogue_seen{notes});
    ApplyEvent(record_seen{IdOf<group_id>("new"), versioned_record{}});
    record_reads = 0;
  }
};

}  // namespace

Test(first_record, is_written_by_the_holder_of_the_duty_alone) {
  new_group_world world;
  SECTION("an instance without the duty makes no call while there is none") {
    world.AdvanceTime(seconds(5));
    EXPECT(world.written_records.empty());
    EXPECT(world.record_reads == 0);
  }
  SECTION("the holder of the duty writes it") {
    world.HoldDuty(seconds(30));
    world.AdvanceTime(seconds(5));
    REQUIRE(world.written_records.size() == 1);
    EXPECT(world.written_records[0].primary == harness::Id("x"));
    EXPECT(world.written_records[0].witnesses.size() == 3);
  }
  EXPECT(world.violations == 0);
}

Test(first_record, is_completed_before_any_caller_uses_the_group) {
  // Of three databases, two register seconds after the record was written. A
  // set of one witness gives a permit to whoever reaches the old primary alone.
  promoted_world world;
  world.HoldDuty(seconds(60));
  for (const char* name : {"x", "y", "z"}) {
    world.State(name) = {1, 1, 10, endpoint_role::kReplica};
  }
  world.State("x").role = endpoint_role::kPrimary;
  catalogue notes = world.MakeCatalogue(2);
  service_spec late = notes.services.at("ledger");
  late.name = "late";
  late.groups[0].name = "late";
  late.groups[0].endpoints.clear();
  for (const std::string name : {"x", "y", "z"}) {
    endpoint_spec endpoint;
    endpoint.name = name;
    endpoint.connections = 3;
    late.groups[0].endpoints.push_back(endpoint);
    notes.services.insert_or_assign("late", late);
    world.ApplyEvent(catalogue_seen{notes});
    if (name == "x") {
      world.ApplyEvent(record_seen{IdOf<group_id>("late"), versioned_record{}});
    }
    world.AdvanceTime(seconds(4));
    ++notes.revision;
  }
  REQUIRE(!world.written_records.empty());
  SECTION("each database becomes a witness without a statement of a caller") {
    EXPECT(world.written_records.back().witnesses.size() == 3);
  }
  EXPECT(world.violations == 0);
}

Test(first_record, is_written_in_a_fleet_with_home_instances) {
  new_group_world world;
  std::vector<member> fleet = {{IdOf<instance_id>("i"), "i", {}, {}, false, 0}};
  for (std::uint32_t seat = 1; seat < 40; ++seat) {
    const std::string name = std::to_string(seat);
    fleet.push_back({IdOf<instance_id>(name), name, {}, {}, false, seat});
  }
  world.SetMembers(fleet);
  SECTION("an instance without the duty leaves the databases alone") {
    world.probes = 0;
    world.AdvanceTime(seconds(5));
    EXPECT(world.written_records.empty());
    EXPECT(world.probes == 0);
  }
  SECTION("the holder of the duty finds out their states by itself") {
    world.HoldDuty(seconds(30));
    world.AdvanceTime(seconds(5));
    EXPECT(world.written_records.size() == 1);
  }
}

}  // namespace marjoramslip
