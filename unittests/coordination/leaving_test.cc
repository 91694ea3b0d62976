// Tests that an instance that has left is not listed again by its own writes.

#include <atomic>
#include <functional>
#include <future>
#include <thread>

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

/// A store that calls back before each write and after each read of the seats.
class hooked_store final : public kv::key_value_store {
 public:
  explicit hooked_store(kv::key_value_store& store) : store_(store) {}

  result<kv::range_result> Range(std::string_view prefix, bool exact) override {
    auto found = store_.Range(prefix, exact);
    if (prefix == kv::key_space(kPrefix).Seats()) {
      after_seats_read();
    }
    return found;
  }
  result<std::uint64_t> Transact(
      const std::vector<kv::condition>& conditions,
      const std::vector<kv::mutation>& writes) override {
    before_write();
    return store_.Transact(conditions, writes);
  }
  result<std::uint64_t> GrantLease(std::chrono::seconds ttl) override {
    return store_.GrantLease(ttl);
  }
  result<void> KeepAlive(std::uint64_t lease) override {
    return store_.KeepAlive(lease);
  }
  result<void> RevokeLease(std::uint64_t lease) override {
    return store_.RevokeLease(lease);
  }
  result<std::unique_ptr<kv::watch_handle>> Watch(
      std::string_view prefix, std::uint64_t revision,
      std::function<void(const kv::change&)> on_change,
      std::function<void()> on_reset) override {
    return store_.Watch(prefix, revision, std::move(on_change),
                        std::move(on_reset));
  }

  std::function<void()> before_write = [] {};
  std::function<void()> after_seats_read = [] {};

 private:
  kv::key_value_store& store_;
};

}  // namespace

Test(leaving, an_instance_that_left_while_it_claimed_a_seat_is_not_listed) {
  kv::memory_store store;
  const kv::key_space keys(kPrefix);
  plain_decoder decoder;
  recording_loop loop;
  hooked_store hooked(store);
  std::promise<platform_link*> started;
  const auto link_of = started.get_future().share();
  std::atomic<bool> claimed = false;
  std::atomic<bool> left = false;
  // The first claim conflicts, so that the seats are read again; meanwhile the
  // instance leaves.
  hooked.before_write = [&] {
    if (!claimed.exchange(true)) {
      REQUIRE(store.Transact({}, {{keys.Seat(0), "other 1", false, 0}})
                  .has_value());
    }
  };
  hooked.after_seats_read = [&] {
    link_of.get()->Leave();
    left = true;
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
