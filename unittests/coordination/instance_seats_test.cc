// Tests which instance holds which seat.

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

namespace {

/// Returns the seat of an instance according to the list of members.
std::optional<std::uint32_t> SeatOf(const members_seen& seen,
                                    const std::string& name) {
  for (const member& listed : seen.members) {
    if (listed.name == name) {
      return listed.seat;
    }
  }
  return std::nullopt;
}

}  // namespace

Test(platform_link, each_instance_holds_a_seat) {
  platform_link_fixture s;
  const auto holds = [](const std::string& name, std::uint32_t seat) {
    return [name, seat](const members_seen& seen) {
      return SeatOf(seen, name) == seat;
    };
  };
  REQUIRE(s.loop.Await<members_seen>(holds("i-1", 0)));
  instance_settings other = s.settings;
  other.name = "i-2";
  recording_loop other_loop;
  auto second = MakePlatformLink(other, s.store, other_loop, "tcp://h:2");
  SECTION("a new instance takes the lowest free seat") {
    REQUIRE(s.loop.Await<members_seen>(holds("i-2", 1)));
    EXPECT(other_loop.Await<members_seen>(holds("i-1", 0)));
  }
  SECTION("an instance keeps its seat during a store outage") {
    s.loop.Forget();
    s.store.SetDown(true);
    std::this_thread::sleep_for(seconds(1));
    s.store.SetDown(false);
    s.store.ResetWatches();
    EXPECT(s.loop.Await<members_seen>(holds("i-1", 0)));
  }
  SECTION("a restarted instance takes its seat back at once after a crash") {
    // A crash does not revoke the lease in the store.
    recording_loop loop;
    REQUIRE(s.loop.Await<members_seen>(holds("i-2", 1)));
    second.reset();
    const auto third = MakePlatformLink(other, s.store, loop, "tcp://h:2");
    EXPECT(loop.Await<members_seen>(holds("i-2", 1)));
    EXPECT(s.AwaitSeats(2));
  }
  SECTION("an instance that leaves releases its seat") {
    const kv::key_space keys(kPrefix);
    s.link->Leave();
    EXPECT(s.store.Range(keys.Seat(0), true).value().entries.empty());
    instance_settings third = s.settings;
    third.name = "i-3";
    recording_loop loop;
    const auto next = MakePlatformLink(third, s.store, loop, "tcp://h:3");
    EXPECT(loop.Await<members_seen>(holds("i-3", 0)));
  }
}

Test(platform_link, a_seat_beyond_the_limit_is_exchanged) {
  platform_link_fixture s;
  REQUIRE(s.AwaitCatalogue(1));
  release_note note = MakeNote(1, "few");
  note.put[0].seats = 1;
  const kv::note_store notes(s.store, kv::key_space(kPrefix));
  REQUIRE(notes.Accept(note, seconds(1)).has_value());
  REQUIRE(s.AwaitCatalogue(2));
  REQUIRE(s.AwaitSeats(1));
  instance_settings other = s.settings;
  other.name = "i-2";
  recording_loop loop;
  const auto second = MakePlatformLink(other, s.store, loop, "tcp://h:2");
  const auto holds = [](std::uint32_t seat) {
    return [seat](const members_seen& seen) {
      return SeatOf(seen, "i-2") == seat;
    };
  };
  REQUIRE(loop.Await<members_seen>(holds(1)));
  SECTION("a lower seat is claimed once it is free") {
    s.link->Leave();
    EXPECT(loop.Await<members_seen>(holds(0)));
    EXPECT(s.AwaitSeats(1));
  }
}

Test(platform_link, each_seat_has_one_holder) {
  platform_link_fixture s;
  REQUIRE(s.AwaitMembers(1));
  const kv::key_space keys(kPrefix);
  const auto seats = [&] {
    return s.store.Range(keys.Seats(), false).value().entries;
  };
  SECTION("a claim whose response is lost holds one seat") {
    s.store.ExpireLeases();
    s.store.DropAnswers(3);
    REQUIRE(s.AwaitSeats(1));
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT(seats().size() == 1);
  }
  SECTION("instances that start at the same time hold different seats") {
    std::vector<std::unique_ptr<recording_loop>> loops;
    std::vector<std::unique_ptr<platform_link>> links;
    for (int number = 0; number < 8; ++number) {
      instance_settings settings = s.settings;
      settings.name = "many-" + std::to_string(number);
      loops.push_back(std::make_unique<recording_loop>());
      links.push_back(
          MakePlatformLink(settings, s.store, *loops.back(), "tcp://h:9"));
    }
    REQUIRE(s.AwaitSeats(9));
    std::set<std::string> holders;
    for (const kv::entry& entry : seats()) {
      holders.insert(entry.value);
    }
    EXPECT(holders.size() == 9);
    // Every seat with a share of its own is taken before one without.
    for (std::uint32_t seat = 0; seat < service_spec().seats; ++seat) {
      EXPECT(!s.store.Range(keys.Seat(seat), true).value().entries.empty());
    }
  }
  SECTION("a free seat is claimed if the seat of an expired lease was taken") {
    // The other claim must come first, but the instance may be faster.
    bool taken = false;
    for (int i = 0; i < 100 && !taken; ++i) {
      s.store.ExpireLeases();
      taken = static_cast<bool>(Attempt([&] {
        return s.store.Transact({{keys.Seat(0), 0}},
                                {{keys.Seat(0), "another", false, 0}});
      }));
    }
    REQUIRE(taken);
    EXPECT(s.AwaitSeats(2));
    EXPECT(s.store.Range(keys.Seat(0), true).value().entries[0].value ==
           "another");
  }
}

}  // namespace marjoramslip::shell
