// Tests the lease under which an instance releases answers of primaries.

#include <algorithm>
#include <variant>

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instance_id kSelf = IdOf<instance_id>("i");
const instance_id kPeer = IdOf<instance_id>("j");
const instance_id kThird = IdOf<instance_id>("k");

/// Three instances are listed. The store does not renew this one's lease any
/// more; the databases answer as before.
struct cut_off_world : promoted_world {
  cut_off_world() {
    SetMembers({{kSelf, "i", {}, {}, false, 0, 30},
                {kPeer, "j", {}, {}, false, 1, 31},
                {kThird, "k", {}, {}, false, 2, 32}});
    AdvanceTime(seconds(1));
    lease_store_available = false;
  }

  /// Returns the newest request to the peers.
  serving_status NewestRequest() const {
    const auto found =
        std::find_if(peer_messages.rbegin(), peer_messages.rend(),
                     [](const peer_message& message) {
                       return std::holds_alternative<serving_status>(message);
                     });
    REQUIRE(found != peer_messages.rend());
    return std::get<serving_status>(*found);
  }

  /// Lets a peer answer the request with this number.
  void Confirm(instance_id peer, std::uint64_t echoed,
               duration store_lease = {}, std::uint64_t revision = 1,
               bool informed = true) {
    serving_status status;
    status.sequence = 1;
    status.informed = informed;
    status.store_lease = store_lease;
    status.echoes = {{kSelf, echoed}};
    status.records = {{Group(), revision}};
    ApplyEvent(peer_received{peer, status});
  }

  /// Sends a write and returns whether it goes to the primary at once.
  bool MaySendWrite() {
    return IsInFlight(SendStatement(statement_kind::kWrite, {}, kFreshCaller));
  }

  /// Runs a write at the primary and returns whether it is acknowledged.
  bool IsWriteAcknowledged() {
    const request_id write =
        SendStatement(statement_kind::kWrite, {}, kFreshCaller);
    REQUIRE(IsInFlight(write));
    AnswerStatement(write);
    AdvanceTime(milliseconds(10));
    return IsReleased(write);
  }
};

}  // namespace

// Guards against an instance that reaches the primary, but neither the store
// nor any other instance, and acknowledges writes after a promotion.
Test(serving_lease, an_instance_that_nobody_reaches_stops_serving) {
  cut_off_world world;
  SECTION("it serves until its lease expires") {
    EXPECT(world.IsWriteAcknowledged());
  }
  world.AdvanceTime(milliseconds(800));
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  REQUIRE(world.IsInFlight(write));
  world.AdvanceTime(core_options{}.serving_lease - milliseconds(800));
  SECTION("then it acknowledges no write") {
    world.AnswerStatement(write);
    world.AdvanceTime(seconds(1));
    EXPECT(!world.IsReleased(write));
  }
  SECTION("and serves again once the store renews the lease") {
    world.lease_store_available = true;
    world.AdvanceTime(milliseconds(50));
    EXPECT(world.IsReleased(write));
  }
  EXPECT(world.violations == 0);
}

Test(serving_lease, a_peer_with_a_lease_from_the_store_renews_it) {
  cut_off_world world;
  world.AdvanceTime(milliseconds(1300));
  const std::uint64_t request = world.NewestRequest().sequence;
  SECTION("for as long as the peer's lease lasts") {
    world.Confirm(kPeer, request, milliseconds(900));
    world.AdvanceTime(milliseconds(500));
    EXPECT(world.IsWriteAcknowledged());
    // The majority of two instances confirms for longer than this peer alone.
    world.SetMembers({{kSelf, "i", {}, {}, false, 0, 30},
                      {kPeer, "j", {}, {}, false, 1, 31},
                      {kThird, "k", {}, {}, false, 2, 32},
                      {IdOf<instance_id>("l"), "l", {}, {}, false, 3, 33}});
    world.AdvanceTime(milliseconds(600));
    EXPECT(!world.MaySendWrite());
  }
  EXPECT(world.violations == 0);
}

Test(serving_lease, a_majority_renews_it_for_a_limited_time) {
  cut_off_world world;
  world.AdvanceTime(milliseconds(1300));
  const auto confirm_for = [&world](duration length, bool all) {
    for (duration passed{}; passed < length; passed += milliseconds(200)) {
      const std::uint64_t request = world.NewestRequest().sequence;
      world.Confirm(kPeer, request);
      if (all) {
        world.Confirm(kThird, request);
      }
      world.AdvanceTime(milliseconds(200));
    }
  };
  confirm_for(seconds(5), false);
  SECTION("one that does not answer may be the promoter: it waits for that") {
    EXPECT(world.IsWriteAcknowledged());
    confirm_for(seconds(3), false);
    EXPECT(!world.MaySendWrite());
  }
  SECTION("all instances renew it without a limit") {
    confirm_for(seconds(2), true);
    EXPECT(world.IsWriteAcknowledged());
  }
  EXPECT(world.violations == 0);
}

Test(serving_lease, an_instance_with_a_newer_record_does_not_renew_it) {
  cut_off_world world;
  world.AdvanceTime(seconds(2));
  const std::uint64_t request = world.NewestRequest().sequence;
  world.Confirm(kPeer, request, {}, 2);
  world.Confirm(kThird, request, milliseconds(900), 2);
  EXPECT(!world.MaySendWrite());
}

Test(serving_lease, instances_that_restarted_need_an_informed_majority) {
  cut_off_world world;
  world.AdvanceTime(seconds(2));
  const std::uint64_t request = world.NewestRequest().sequence;
  world.Confirm(kPeer, request, {}, 1, false);
  world.Confirm(kThird, request, {}, 1, false);
  EXPECT(!world.MaySendWrite());
  world.Confirm(kThird, request, {}, 1, true);
  EXPECT(world.IsWriteAcknowledged());
  EXPECT(world.violations == 0);
}

// Guards against a peer that still echoes a request of the process before this
// one, whose number this one has reached since.
Test(serving_lease, requests_of_an_earlier_process_are_not_confirmed) {
  cut_off_world world;
  world.AdvanceTime(seconds(2));
  for (std::uint64_t number = 1; number < 100; ++number) {
    world.Confirm(kPeer, number, milliseconds(900));
    world.Confirm(kThird, number, milliseconds(900));
  }
  EXPECT(!world.MaySendWrite());
}

Test(serving_lease, peers_exchange_records_that_one_of_them_lacks) {
  cut_off_world world;
  world.peer_messages.clear();
  serving_status behind;
  behind.sequence = 1;
  behind.reply_requested = true;
  behind.records = {{harness::Group(), 0}};
  world.ApplyEvent(peer_received{kPeer, behind});
  REQUIRE(world.peer_messages.size() == 2);
  EXPECT(std::holds_alternative<record_update>(world.peer_messages[0]));
  SECTION("the answer echoes the request") {
    const auto answer = std::get<serving_status>(world.peer_messages[1]);
    REQUIRE(answer.echoes.size() == 1);
    EXPECT(answer.echoes[0].peer == kPeer);
    EXPECT(answer.echoes[0].sequence == 1);
    EXPECT(answer.informed);
    EXPECT(answer.store_lease > duration::zero());
  }
}

// Guards against an instance that was not listed when the promoter read the
// list, and whose records are older than that.
Test(serving_lease, renewals_count_once_the_records_were_read) {
  cut_off_world world;
  world.AdvanceTime(seconds(2));
  const instant announced_at = world.Now();
  world.ApplyEvent(membership_renewed{world.Now(), announced_at});
  EXPECT(!world.MaySendWrite());
  world.ApplyEvent(records_read{announced_at});
  world.AdvanceTime(milliseconds(50));
  EXPECT(world.IsWriteAcknowledged());
}

Test(serving_lease, an_instance_alone_has_no_lease_without_the_store) {
  promoted_world world;
  world.lease_store_available = false;
  world.AdvanceTime(seconds(2));
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  SECTION("a write is refused at once") {
    REQUIRE(world.FailureOf(write).has_value());
    EXPECT(world.FailureOf(write)->effect == verdict::kNotRun);
  }
}

}  // namespace marjoramslip
