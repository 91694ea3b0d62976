// Tests that an instance that has left is not listed again by its own writes.

#include <atomic>
#include <future>
#include <thread>

#include "hooked_store.h"
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

}  // namespace

Test(leaving, an_instance_that_left_while_it_claimed_a_seat_is_not_listed) {
  kv::memory_store store;
  const kv::key_space keys(kPrefix);
  plain_decoder decoder;
  recording_loop loop;
  hooked_store hooked(store, keys.Seats());
  std::promise<platform_link*> started;
  const auto link_of = started.get_future().share();
  std::atomic<bool> claimed = false;
  std::atomic<bool> left = false;
  // The first claim conflicts, so that the seats are read again; meanwhile the
  // instance leaves.
  hooked.on_write = [&](const std::vector<kv::condition>&,
                        const std::vector<kv::mutation>&) {
    if (!claimed.exchange(true)) {
      REQUIRE(store.Transact({}, {{keys.Seat(0), "other 1", false, 0}})
                  .has_value());
    }
    return true;
  };
  hooked.after_read = [&] {
    // The first claim may follow a read of its own, if the follower's is late.
    if (claimed) {
      link_of.get()->Leave();
      left = true;
    }
  };
  instance_settings settings;
  settings.name = "i-1";
  settings.failure_domain = "d";
  settings.key_prefix = kPrefix;
  settings.membership_lease = seconds(2);
  const auto link = MakePlatformLink(
      settings, hooked, MakeRegistrySource(hooked, decoder), loop, "tcp://h:1");
  started.set_value(link.get());
  for (int i = 0; i < 300 && !left; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  REQUIRE(left);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT(store.Range(keys.Instances(), false).value().entries.empty());
  EXPECT(store.Range(keys.Seats(), false).value().entries.size() == 1);
}

}  // namespace marjoramslip::shell
