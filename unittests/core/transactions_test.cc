// Tests callers whose transaction failed to begin: its BEGIN was not confirmed,
// or its connection was lost first. The next statement must be served.

#include "promoted_world.h"
#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sends a BEGIN that the endpoint answers while probes fail, so that nothing
/// confirms that the endpoint is still the primary.
request_id BeginUnconfirmed(promoted_world& world) {
  const request_id write = world.Ask(statement_kind::kWrite, {}, kFresh);
  world.Answer(write);
  REQUIRE(world.Released(write));
  const request_id begin = world.Ask(statement_kind::kBegin, {}, kFresh);
  REQUIRE(world.Sent(begin));
  world.silent = true;
  world.Pass(seconds(1));
  world.Answer(begin, transaction_status::kOpen);
  REQUIRE(!world.Released(begin) && !world.Failed(begin));
  return begin;
}

/// Returns whether the caller's next write is sent once probes are answered.
bool NextWriteIsSent(promoted_world& world) {
  world.silent = false;
  world.Pass(milliseconds(500));
  const request_id next = world.Ask(statement_kind::kWrite, {}, kFresh);
  world.Pass(milliseconds(100));
  return world.Sent(next);
}

}  // namespace

Test(transactions, caller_is_usable_after_an_unconfirmed_begin) {
  promoted_world world;
  const request_id begin = BeginUnconfirmed(world);
  SECTION("the BEGIN is not confirmed in time") {
    world.Pass(seconds(10));
    REQUIRE(world.Failed(begin).has_value());
    EXPECT(NextWriteIsSent(world));
  }
  EXPECT(world.violations == 0);
}

Test(transactions, caller_is_usable_after_connection_loss_during_begin) {
  promoted_world world;
  const request_id write = world.Ask(statement_kind::kWrite, {}, kFresh);
  const connection_id connection = world.Connection(write);
  world.Answer(write);
  const request_id begin = BeginUnconfirmed(world);
  world.Give(connection_lost{connection, true, false});
  world.Pass(seconds(10));
  REQUIRE(world.Failed(begin).has_value());
  EXPECT(NextWriteIsSent(world));
}

}  // namespace marjoramslip
