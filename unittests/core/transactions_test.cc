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
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  world.AnswerStatement(write);
  REQUIRE(world.IsReleased(write));
  const request_id begin =
      world.SendStatement(statement_kind::kBegin, {}, kFreshCaller);
  REQUIRE(world.IsInFlight(begin));
  world.ignores_probes = true;
  world.AdvanceTime(seconds(1));
  world.AnswerStatement(begin, transaction_status::kOpen);
  REQUIRE(!world.IsReleased(begin) && !world.FailureOf(begin));
  return begin;
}

/// Returns whether the caller's next write is sent once probes are answered.
bool NextWriteIsSent(promoted_world& world) {
  world.ignores_probes = false;
  world.AdvanceTime(milliseconds(500));
  const request_id next =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  world.AdvanceTime(milliseconds(100));
  return world.IsInFlight(next);
}

}  // namespace

Test(transactions, caller_is_usable_after_an_unconfirmed_begin) {
  promoted_world world;
  const request_id begin = BeginUnconfirmed(world);
  SECTION("the BEGIN is not confirmed in time") {
    world.AdvanceTime(seconds(10));
    REQUIRE(world.FailureOf(begin).has_value());
    EXPECT(NextWriteIsSent(world));
  }
  EXPECT(world.violations == 0);
}

Test(transactions, caller_is_usable_after_connection_loss_during_begin) {
  promoted_world world;
  const request_id write =
      world.SendStatement(statement_kind::kWrite, {}, kFreshCaller);
  const connection_id connection = world.ConnectionOf(write);
  world.AnswerStatement(write);
  const request_id begin = BeginUnconfirmed(world);
  world.ApplyEvent(connection_lost{connection, true, false});
  world.AdvanceTime(seconds(10));
  REQUIRE(world.FailureOf(begin).has_value());
  EXPECT(NextWriteIsSent(world));
}

}  // namespace marjoramslip
