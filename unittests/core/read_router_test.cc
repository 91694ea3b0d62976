// Tests which endpoint a read is routed to.

#include "read_router.h"

#include <array>

#include "story.h"

namespace marjoramslip {
namespace {

using std::chrono::milliseconds;

constexpr endpoint_id kPrimary{1};
constexpr endpoint_id kLocalReplica{2};
constexpr endpoint_id kRemoteReplica{3};

/// Routes a read among a primary, a replica in this failure domain and a
/// replica in another one, with these expected durations.
std::optional<endpoint_id> Choose(duration primary, duration local,
                                  duration remote) {
  const std::array<read_candidate, 3> all = {{
      {kPrimary, true, false, true, primary, {}},
      {kLocalReplica, false, true, true, local, {}},
      {kRemoteReplica, false, false, true, remote, {}},
  }};
  return RouterOf(read_policy::kPosition)
      .Choose({.candidates = all,
               .waited = {},
               .replica_wait = milliseconds(40),
               .time_since_write = {},
               .sticky_duration = {}});
}

}  // namespace

Test(read_router, the_local_replica_serves_until_it_is_busy) {
  SECTION("with equal durations, the local replica serves") {
    EXPECT(Choose(milliseconds(20), milliseconds(20), milliseconds(20)) ==
           kLocalReplica);
  }
  SECTION("while the local replica has a queue, the remote replica serves") {
    EXPECT(Choose(milliseconds(60), milliseconds(60), milliseconds(20)) ==
           kRemoteReplica);
  }
  SECTION("while both replicas have queues, an idle primary serves") {
    EXPECT(Choose(milliseconds(20), milliseconds(200), milliseconds(200)) ==
           kPrimary);
  }
  SECTION("a primary that is only 2.5 times faster is kept free for writes") {
    EXPECT(Choose(milliseconds(20), milliseconds(50), milliseconds(50)) !=
           kPrimary);
  }
}

}  // namespace marjoramslip
