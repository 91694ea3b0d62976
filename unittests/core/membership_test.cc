// Tests seats, shares and the list of peers.

#include "membership.h"

#include <rapidcheck.h>

#include "story.h"

namespace marjoramslip {
namespace {

member Member(const char* name, std::optional<std::uint32_t> seat,
              bool leaving = false) {
  member entry;
  entry.id = IdOf<instance_id>(name);
  entry.name = name;
  entry.seat = seat;
  entry.leaving = leaving;
  return entry;
}

}  // namespace

Test(membership, seats_share_the_connections) {
  SECTION("the shares of all seats add up to the connections") {
    EXPECT(rc::check("sum of shares", [] {
      const auto seats = *rc::gen::inRange<std::uint32_t>(1, 20);
      const auto connections = *rc::gen::inRange<std::uint32_t>(seats, 500);
      std::uint32_t sum = 0;
      for (std::uint32_t seat = 0; seat < seats; ++seat) {
        sum += ShareOf(seat, seats, connections);
      }
      RC_ASSERT(sum == connections);
    }));
  }
  SECTION("an instance without a seat gets one connection for monitoring") {
    EXPECT(ShareOf(std::nullopt, 6, 20) == 1);
    EXPECT(ShareOf(6, 6, 20) == 1);
  }
}

Test(membership, peers_and_seat_follow_the_list) {
  membership members(IdOf<instance_id>("i"));
  EXPECT(members.LiveCount() == 1);
  EXPECT(!members.Seat().has_value());
  const std::vector<member> all = {Member("i", 4), Member("j", 0),
                                   Member("k", 1, true)};
  members.OnMembers(all, instant{});
  EXPECT(members.Seat() == std::optional<std::uint32_t>(4));
  EXPECT(members.LiveCount() == 3);
  SECTION("a leaving instance is not a peer, so it is not asked for loans") {
    REQUIRE(members.Peers().size() == 1);
    EXPECT(members.Peers()[0] == IdOf<instance_id>("j"));
  }
  SECTION("an instance that left is not a peer until it is listed again") {
    members.OnLeaveNotice(IdOf<instance_id>("j"));
    EXPECT(members.LiveCount() == 2);
    EXPECT(members.Peers().empty());
    members.OnMembers(std::vector<member>{Member("i", 4)}, instant{});
    members.OnMembers(all, instant{});
    EXPECT(members.Peers().size() == 1);
  }
  SECTION("an instance that is not listed has no seat") {
    members.OnMembers(std::vector<member>{Member("j", 0)}, instant{});
    EXPECT(!members.Seat().has_value());
  }
}

}  // namespace marjoramslip
