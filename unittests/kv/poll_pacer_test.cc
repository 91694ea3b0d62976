// Tests the pace of a watch's polls under isolated and clustered changes.

#include "marjoramslip/kv/poll_pacer.h"

#include "story.h"

namespace marjoramslip::kv {
namespace {

using std::chrono::milliseconds;

/// Returns the polls that a watch makes while a change occurs each
/// `change_interval` for `length`.
int CountPolls(duration change_interval, duration length) {
  poll_pacer pacer;
  int polls = 0;
  duration now{};
  duration delivered{};
  while (now < length) {
    ++polls;
    // The poll returns at once if there is a change already, else at the next.
    duration next = delivered + change_interval;
    now = std::max(now, next);
    const auto changes =
        static_cast<std::size_t>((now - delivered) / change_interval);
    delivered += change_interval * static_cast<std::int64_t>(changes);
    now += pacer.PauseAfter(changes);
  }
  return polls;
}

}  // namespace

Test(poll_pacer, spaces_polls_by_how_close_changes_come) {
  SECTION("an isolated change is followed by a short pause") {
    poll_pacer pacer;
    EXPECT(pacer.PauseAfter(1) == poll_pacer::kMinPause);
  }
  SECTION("a start of many instances takes few polls") {
    EXPECT(CountPolls(milliseconds(4), milliseconds(1000)) <= 6);
  }
  SECTION("the pause stays below the bound and is reset by a quiet poll") {
    poll_pacer pacer;
    for (int i = 0; i < 20; ++i) {
      EXPECT(pacer.PauseAfter(1) <= poll_pacer::kMaxPause);
    }
    EXPECT(pacer.PauseAfter(0) == duration::zero());
    EXPECT(pacer.PauseAfter(1) == poll_pacer::kMinPause);
  }
}

}  // namespace marjoramslip::kv
