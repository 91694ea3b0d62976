// Tests the store's part in the serving lease.

#include "marjoramslip/base/clock.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/memory_store.h"
#include "plain_decoder.h"
#include "recording_loop.h"
#include "story.h"

namespace marjoramslip::shell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPrefix[] = "/t/";

/// Two instances of a fleet whose databases the platform promotes.
struct two_links {
  two_links() {
    settings.name = "i-1";
    settings.failure_domain = "d";
    settings.key_prefix = kPrefix;
    settings.membership_lease = seconds(3);
    first = MakePlatformLink(
        settings, store, MakeRegistrySource(store, decoder), loop, "tcp://h:1");
    instance_settings other = settings;
    other.name = "i-2";
    second = MakePlatformLink(other, store, MakeRegistrySource(store, decoder),
                              other_loop, "tcp://h:2");
  }

  /// Waits until the first link has seen the second instance on the list.
  member AwaitSecond() {
    const auto seen = loop.Await<members_seen>(
        [](const members_seen& list) { return list.members.size() == 2; });
    REQUIRE(seen.has_value());
    return seen->members[0].name == "i-2" ? seen->members[0] : seen->members[1];
  }

  kv::memory_store store;
  plain_decoder decoder;
  recording_loop loop;
  recording_loop other_loop;
  instance_settings settings;
  std::unique_ptr<platform_link> first;
  std::unique_ptr<platform_link> second;
};

}  // namespace

Test(serving_lease, renewals_follow_each_other_within_a_serving_lease) {
  two_links links;
  const auto renewal = links.loop.Await<membership_renewed>(
      [](const membership_renewed&) { return true; });
  REQUIRE(renewal.has_value());
  SECTION("the records are read after the announcement") {
    EXPECT(links.loop.Await<records_read>([&](const records_read& read) {
      return read.requested_at >= renewal->announced_at;
    }));
  }
  SECTION("the next renewal comes before the lease expires") {
    const auto next = links.loop.Await<membership_renewed>(
        [&](const membership_renewed& later) {
          return later.requested_at > renewal->requested_at;
        });
    REQUIRE(next.has_value());
    EXPECT(next->requested_at - renewal->requested_at < milliseconds(1000));
  }
}

// Guards against an instance that still renews its lease after a promoter has
// stopped waiting for its acknowledgement.
Test(serving_lease, an_ended_membership_is_not_renewed) {
  two_links links;
  const member second = links.AwaitSecond();
  REQUIRE(second.lease != 0);
  const instant begun_at = BootTime();
  links.first->EndMembership({second.id, second.lease});
  REQUIRE(links.loop.Await<membership_ended>(
      [&](const membership_ended& seen) { return seen.member == second.id; }));
  const instant ended_at = BootTime();
  SECTION("the instance renews only once it was announced again") {
    const auto again = links.other_loop.Await<membership_renewed>(
        [&](const membership_renewed& renewal) {
          return renewal.requested_at > ended_at;
        });
    REQUIRE(again.has_value());
    EXPECT(again->announced_at > begun_at);
    SECTION("and has read the records after that") {
      EXPECT(
          links.other_loop.Await<records_read>([&](const records_read& read) {
            return read.requested_at >= again->announced_at;
          }));
    }
  }
  SECTION("a lease that the list does not name cannot be ended") {
    links.first->EndMembership({second.id, 0});
    EXPECT(links.loop.Await<fault_reported>([](const fault_reported& seen) {
      return seen.name == "member.lease_unknown";
    }));
  }
}

}  // namespace marjoramslip::shell
