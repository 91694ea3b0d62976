// Tests of the platform link against a store with injected faults.

#include <set>
#include <thread>
#include <vector>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/core/record_codec.h"
#include "marjoramslip/kv/memory_store.h"
#include "marjoramslip/kv/note_store.h"
#include "platform_link_fixture.h"
#include "recording_loop.h"
#include "story.h"

namespace marjoramslip::shell {

Test(platform_link, catalogue_follows_release_notes) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  SECTION("a group without a record is reported with revision 0") {
    EXPECT(s.loop.Await<record_seen>([&](const record_seen& seen) {
      return seen.group == s.group && seen.record.revision == 0;
    }));
  }
  SECTION("a note accepted later is applied") {
    s.Accept(1, "two");
    EXPECT(s.AwaitCatalogue(2));
  }
  SECTION("changes missed by the watch are read after its reset") {
    s.loop.Forget();
    s.store.ResetWatches();
    EXPECT(s.AwaitCatalogue(2));
    s.Accept(2, "three");
    EXPECT(s.AwaitCatalogue(3));
  }
}

Test(platform_link, recovers_from_a_start_during_a_store_outage) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  s.store.SetDown(true);
  recording_loop loop;
  const auto late = MakePlatformLink(s.settings, s.store, loop, "tcp://h:2");
  const auto reports = [](bool reachable) {
    return [reachable](const store_reachability& seen) {
      return seen.reachable == reachable;
    };
  };
  EXPECT(loop.Await<store_reachability>(reports(false)).has_value());
  s.store.SetDown(false);
  EXPECT(loop.Await<store_reachability>(reports(true)).has_value());
  EXPECT(
      loop.Await<catalogue_seen>([](const auto&) { return true; }).has_value());
}

Test(platform_link, each_record_write_takes_effect_once) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  const record_written first = s.Write(0, 11);
  REQUIRE(first.outcome == write_outcome::kApplied);
  std::uint64_t newest = first.revision;
  SECTION("the watch reports the written record") {
    EXPECT(s.loop.Await<record_seen>([&](const record_seen& seen) {
      return seen.record.revision == first.revision &&
             seen.record.record.writer == 11;
    }));
  }
  SECTION("a lost response is resolved by reading the record") {
    s.store.DropAnswers(1);
    const record_written second = s.Write(first.revision, 12);
    EXPECT(second.outcome == write_outcome::kApplied);
    EXPECT(second.revision > first.revision);
    SECTION("a lost request is resolved by a retry") {
      s.store.DropRequests(2);
      const record_written third = s.Write(second.revision, 13);
      EXPECT(third.outcome == write_outcome::kApplied);
      newest = third.revision;
    }
  }
  SECTION("a conflicting write is rejected and the stored record is posted") {
    s.loop.Forget();
    EXPECT(s.Write(first.revision, 14).outcome == write_outcome::kConflict);
    EXPECT(s.loop.Await<record_seen>([](const record_seen& seen) {
      return seen.record.record.writer == 13;
    }));
  }
  SECTION("a write that cannot be resolved is reported as unknown") {
    s.store.DropRequests(1000);
    EXPECT(s.Write(newest, 15).outcome == write_outcome::kUnknown);
  }
  SECTION("a read posts the stored record") {
    s.store.DropRequests(0);
    s.loop.Forget();
    s.link->Read({s.group});
    EXPECT(s.loop.Await<record_seen>([&](const record_seen& seen) {
      return seen.group == s.group && seen.record.record.writer == 13;
    }));
  }
  SECTION("the record of a group that no catalogue names is not written") {
    write_record request;
    request.operation.value = 99;
    request.group.value = 5;
    s.link->Write(request);
    const auto end =
        s.loop.Await<record_written>([](const record_written& written) {
          return written.operation.value == 99;
        });
    EXPECT(end->outcome == write_outcome::kConflict);
  }
  SECTION("a group known only from a peer's catalogue is written") {
    catalogue from_peer;
    from_peer.revision = 9;
    from_peer.services["nine"] = MakeNote(8, "nine").put[0];
    s.link->Learn(from_peer);
    s.group = IdOf<group_id>("nine-g");
    EXPECT(s.Write(0, 16).outcome == write_outcome::kApplied);
  }
}

Test(platform_link, an_unresolved_write_does_not_delay_other_groups) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  s.Accept(1, "two");
  REQUIRE(s.AwaitCatalogue(2));
  s.store.DropWritesTo(kv::key_space(kPrefix).Group("one-g"));
  write_record stuck;
  stuck.operation.value = 1000;
  stuck.group = s.group;
  s.link->Write(stuck);
  s.group = IdOf<group_id>("two-g");
  const auto began = std::chrono::steady_clock::now();
  EXPECT(s.Write(0, 21).outcome == write_outcome::kApplied);
  EXPECT(std::chrono::steady_clock::now() - began < seconds(1));
  const auto end =
      s.loop.Await<record_written>([](const record_written& written) {
        return written.operation.value == 1000;
      });
  REQUIRE(end.has_value());
  EXPECT(end->outcome == write_outcome::kUnknown);
}

Test(platform_link, a_lost_announcement_is_written_again) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  REQUIRE(s.AwaitSeats(1));
  SECTION("although the lease can still be renewed") {
    s.store.EraseKeysSilently();
    s.Accept(0, "one");
    s.store.ResetWatches();
    EXPECT(s.AwaitSeats(1));
    SECTION("other instances see the announcement") {
      recording_loop loop;
      instance_settings other = s.settings;
      other.name = "i-2";
      const auto second = MakePlatformLink(other, s.store, loop, "tcp://h:2");
      EXPECT(loop.Await<members_seen>(
          [](const members_seen& seen) { return seen.members.size() == 2; }));
    }
  }
}

Test(platform_link, an_instance_reloads_once_it_is_listed) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  REQUIRE(s.loop.Await<members_seen>([](const members_seen& seen) {
    return seen.members.size() == 1 && seen.members[0].seat.has_value();
  }));
  SECTION(
      "the catalogue is read again, for what was agreed before it was listed") {
    REQUIRE(s.AwaitReload());
    EXPECT(s.loop.Count<catalogue_seen>() >= 2);
  }
  SECTION("a later read of the members has a later request time") {
    const auto first = s.loop.Await<members_seen>([](const members_seen& seen) {
      return seen.requested_at != instant{};
    });
    REQUIRE(first.has_value());
    s.link->ReadMembers();
    EXPECT(s.loop.Await<members_seen>([&](const members_seen& seen) {
      return seen.requested_at > first->requested_at;
    }));
  }
}

Test(platform_link, an_announcement_lost_before_its_response_is_written_again) {
  platform_link_fixture s;
  s.store.DelayAnswers(milliseconds(300));
  REQUIRE(s.AwaitSeats(1));
  SECTION("the store loses its keys right after the write") {
    s.store.EraseKeysSilently();
    s.store.ResetWatches();
    EXPECT(s.AwaitSeats(1));
  }
}

Test(platform_link, faults_are_reported) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  const kv::key_space keys(kPrefix);
  SECTION("a malformed member entry") {
    REQUIRE(s.store.Transact({}, {{keys.Instance("odd"), "{", false, 0}})
                .has_value());
    EXPECT(s.loop.Await<fault_reported>([](const fault_reported& seen) {
      return seen.name == "member.malformed" &&
             seen.text.find("odd") != std::string::npos;
    }));
  }
  SECTION("a malformed group record") {
    REQUIRE(s.store.Transact({}, {{keys.Group("one-g"), "[]", false, 0}})
                .has_value());
    EXPECT(s.loop.Await<fault_reported>([](const fault_reported& seen) {
      return seen.name == "record.malformed";
    }));
  }
  SECTION("a store outage, with the error of the failed call") {
    s.store.SetDown(true);
    EXPECT(s.loop.Await<store_reachability>([](const store_reachability& seen) {
      return !seen.reachable && !seen.reason.empty();
    }));
  }
}

Test(platform_link, members_are_added_and_removed) {
  platform_link_fixture s;
  REQUIRE(s.AwaitMembers(1));
  // A list read while the leases expire may show one of them back already.
  REQUIRE(s.AwaitReload());
  recording_loop other_loop;
  instance_settings other = s.settings;
  other.name = "i-2";
  const auto second = MakePlatformLink(other, s.store, other_loop, "tcp://h:2");
  REQUIRE(s.AwaitMembers(2));
  SECTION("an expired lease is replaced") {
    s.loop.Forget();
    s.store.ExpireLeases();
    REQUIRE(s.AwaitMembers(1));
    bool back = false;
    for (int i = 0; i < 500 && !back; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
      const std::string all = kv::key_space(kPrefix).Instances();
      back = s.store.Range(all, false).value().entries.size() == 2;
    }
    EXPECT(back);
  }
  SECTION("an instance that leaves is removed at once") {
    s.loop.Forget();
    second->Leave();
    EXPECT(s.AwaitMembers(1));
    std::this_thread::sleep_for(milliseconds(300));
    const kv::key_space keys(kPrefix);
    EXPECT(s.store.Range(keys.Instance("i-2"), true).value().entries.empty());
  }
}

}  // namespace marjoramslip::shell
