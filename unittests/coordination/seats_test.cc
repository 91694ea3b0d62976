// Tests how seats are read, chosen and formatted.

#include "seats.h"

#include "story.h"

namespace marjoramslip::shell {

Test(seats, are_read_and_chosen) {
  kv::range_result range;
  const auto add = [&range](const std::string& key, const std::string& value) {
    kv::entry entry;
    entry.key = key;
    entry.value = value;
    range.entries.push_back(entry);
  };
  add("/s/0", "one 17");
  add("/s/1", "two 18");
  add("/s/2", "one 19");
  add("/s/odd", "one 20");
  add("/s/4", "no claim");
  const seat_map seats = ReadSeats("/s/", range, {"one", 17});
  SECTION("every numbered key is a taken seat, whatever its value") {
    EXPECT((seats.taken == std::set<std::uint32_t>{0, 1, 2, 4}));
  }
  SECTION("the own seat is claimed under the current lease") {
    EXPECT(seats.own == 0);
  }
  SECTION("seats of an earlier process have the same name and another lease") {
    EXPECT((seats.former_leases == std::set<std::uint64_t>{19}));
  }
  SECTION(
      "the preferred seat is chosen if it is free, else the lowest free one") {
    EXPECT(ChooseSeat(seats.taken, 7, 6, 0) == 7);
    EXPECT(ChooseSeat(seats.taken, 1, 6, 0) == 3);
    EXPECT(ChooseSeat(seats.taken, std::nullopt, 6, 0) == 3);
  }
  SECTION("after a conflict, a free seat below the limit is drawn") {
    EXPECT(ChooseSeat(seats.taken, 1, 6, 8) == 3);
    EXPECT(ChooseSeat(seats.taken, 1, 6, 9) == 5);
  }
  SECTION("if none is free below the limit, one above it is drawn") {
    EXPECT(ChooseSeat(seats.taken, 1, 3, 0) == 3);
    EXPECT(ChooseSeat(seats.taken, 1, 3, 1) == 5);
    EXPECT(ChooseSeat(seats.taken, 1, 3, 997) == 1000);
  }
}

Test(seats, claims_round_trip) {
  SECTION("a name may contain spaces") {
    const auto claim = ParseClaim(FormatClaim({"a b", 5}));
    REQUIRE(claim.has_value());
    EXPECT(claim->name == "a b");
    EXPECT(claim->lease == 5);
  }
  SECTION("malformed claims are rejected") {
    EXPECT(!ParseClaim("name"));
    EXPECT(!ParseClaim("name x"));
    EXPECT(!ParseClaim(""));
  }
}

}  // namespace marjoramslip::shell
