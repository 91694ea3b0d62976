// Tests loans of connections: the instances together never exceed the limit of
// an endpoint, even if messages are lost, delayed or reordered and instances
// pause.

#include <rapidcheck.h>

#include "lending_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns an arbitrary number below `limit`. The full range is in use from the
/// first case on.
int ArbitraryBelow(int limit) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, limit));
}

}  // namespace

Test(lending, idle_connections_are_lent_to_busy_instances) {
  lending_world world(
      {.seed = 1, .loss_percent = 0, .longest_delay = {}, .longest_pause = {}});
  world.Run(seconds(8));
  EXPECT(world.grants > 0);
  EXPECT(world.max_connections_of_one >
         lending_world::kConnections / lending_world::kInstances);
  EXPECT(world.max_connections <= lending_world::kConnections);
  EXPECT(world.failures == 0);
  EXPECT(world.violations == 0);
}

Test(lending, the_limit_holds) {
  EXPECT(rc::check("loss, reordering and pauses", [] {
    const lending_faults faults{
        .seed = *rc::gen::arbitrary<std::uint64_t>(),
        .loss_percent = ArbitraryBelow(60),
        .longest_delay = milliseconds(ArbitraryBelow(1500)),
        .longest_pause = milliseconds(ArbitraryBelow(280)),
        .longest_statement = milliseconds(ArbitraryBelow(900))};
    lending_world world(faults);
    world.Run(seconds(6));
    RC_ASSERT(world.max_connections <= lending_world::kConnections);
    RC_ASSERT(world.violations == 0U);
    RC_ASSERT(world.answers > 0U);
  }));
}

}  // namespace marjoramslip
