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

/// Returns the sum of the shares of `count` instances, of which the first hold
/// the seats below six and the others seats of their own draw.
std::uint32_t SumOfShares(int count, std::uint32_t connections) {
  std::vector<member> all;
  for (int i = 0; i < count; ++i) {
    const auto number = static_cast<std::uint32_t>(i);
    all.push_back(Member(("i-" + std::to_string(i)).c_str(),
                         number < 6 ? number : number * 97));
  }
  std::uint32_t sum = 0;
  for (const member& self : all) {
    membership members(self.id);
    members.OnMembers(all, instant{});
    sum += members.Share(6, connections);
  }
  return sum;
}

Test(membership, shares_follow_the_size_of_the_fleet) {
  SECTION("the fleet never holds more than an endpoint accepts") {
    EXPECT(SumOfShares(5, 23) <= 23);
    EXPECT(SumOfShares(31, 46) == 46);
    EXPECT(SumOfShares(78, 108) == 108);
  }
  SECTION("with fewer connections than instances, each may try one") {
    EXPECT(SumOfShares(300, 108) == 300);
  }
  SECTION("an instance that is not listed has none of the fleet's shares") {
    membership members(IdOf<instance_id>("i"));
    members.OnMembers(std::vector<member>{Member("j", 0)}, instant{});
    EXPECT(members.Share(6, 46) == 1);
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
