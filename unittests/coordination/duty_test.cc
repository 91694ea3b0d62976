// Tests the claim of the duty to promote when answers of the store are lost.

#include <utility>
#include <vector>

#include "hooked_store.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/memory_store.h"
#include "plain_decoder.h"
#include "recording_loop.h"
#include "story.h"

namespace marjoramslip::shell {
namespace {

using std::chrono::seconds;

constexpr char kPrefix[] = "/t/";

}  // namespace

Test(duty, a_claim_that_takes_effect_late_is_noticed) {
  kv::memory_store store;
  const kv::key_space keys(kPrefix);
  plain_decoder decoder;
  recording_loop loop;
  hooked_store hooked(store, keys.Duty());
  std::vector<kv::condition> conditions;
  std::vector<kv::mutation> claim;
  // The first claim is lost. It takes effect after this instance has read that
  // nobody holds the duty, and before it claims again.
  hooked.on_write = [&](const std::vector<kv::condition>& required,
                        const std::vector<kv::mutation>& writes) {
    const bool first = writes[0].key == keys.Duty() && claim.empty();
    if (first) {
      conditions = required;
      claim = writes;
    }
    return !first;
  };
  hooked.after_read = [&, made = false]() mutable {
    if (!std::exchange(made, true)) {
      REQUIRE(store.Transact(conditions, claim).has_value());
    }
  };
  instance_settings settings;
  settings.name = "i-1";
  settings.failure_domain = "d";
  settings.key_prefix = kPrefix;
  settings.membership_lease = seconds(2);
  const auto link = MakePlatformLink(
      settings, hooked, MakeRegistrySource(hooked, decoder), loop, "tcp://h:1");
  const auto seen = loop.Await<duty_seen>(
      [](const duty_seen& duty) { return duty.fence != 0; });
  REQUIRE(seen.has_value());
  EXPECT(seen->fence ==
         store.Range(keys.Duty(), true).value().entries.at(0).mod_revision);
}

}  // namespace marjoramslip::shell
