// Claims the duty by compare-and-swap and proves the claim by the store's
// history or by reading it.

#include "promotion_duty.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/base/clock.h"
#include "seats.h"

namespace marjoramslip::shell {
namespace {

constexpr duration kRetryPause = std::chrono::milliseconds(200);
/// Number of low bits of a fence that count the claims of one history. The
/// others are the history's number, so that the first fence of a history is
/// above all of earlier ones, also of those that nobody remembers. Up to
/// history 2^21, fences stay below 2^53, to which readers of JSON are exact.
constexpr unsigned kClaimBits = 32;

std::uint64_t ParseFence(const std::string& text) {
  std::uint64_t fence = 0;
  std::from_chars(text.data(), text.data() + text.size(), fence);
  return fence;
}

std::uint64_t NextFence(std::uint64_t highest, const kv::history_id& history) {
  return std::max(highest, history.value_or(0) << kClaimBits) + 1;
}

}  // namespace

promotion_duty::promotion_duty(platform_context& context, std::string name,
                               duration validity, std::function<void()> on_due)
    : context_(context),
      name_(std::move(name)),
      id_(IdOf<instance_id>(name_)),
      validity_(validity),
      on_due_(std::move(on_due)) {}

void promotion_duty::OnHolderSeen(const std::optional<kv::entry>& holder,
                                  duration delay) {
  std::string held;
  {
    const std::lock_guard lock(mutex_);
    held = held_value_;
    if (holder) {
      // Earlier releases used the revision of this key as the fence.
      fence_.highest = std::max(fence_.highest, holder->mod_revision);
    }
  }
  if (!held.empty() && (!holder || holder->value != held)) {
    verify_requested_ = true;
    on_due_();
  }
  if (!holder) {
    duration::rep unset = 0;
    const instant due = BootTime() + delay;
    if (claim_at_.compare_exchange_strong(unset,
                                          due.time_since_epoch().count())) {
      on_due_();
    }
    return;
  }
  // A claim of this instance that took effect although its answer was lost is
  // made again.
  const bool own = holder->lease == lease_ && holder->value != held;
  ClaimAt(own ? BootTime() : instant{});
}

void promotion_duty::OnFenceSeen(const std::optional<kv::entry>& fence,
                                 std::uint64_t revision,
                                 const kv::history_id& history) {
  const std::lock_guard lock(mutex_);
  fence_.highest =
      std::max(fence_.highest, fence ? ParseFence(fence->value) : revision);
  fence_.key_revision = fence ? fence->mod_revision : 0;
  fence_.read_in = history;
}

promotion_duty::seen_fence promotion_duty::SeenFence() {
  const std::lock_guard lock(mutex_);
  return fence_;
}

void promotion_duty::ClaimAt(instant due) {
  claim_at_ = due.time_since_epoch().count();
}

void promotion_duty::NoteHistory() {
  const kv::history_id newest = context_.Store().History();
  if (newest != history_ || history_since_ == instant{}) {
    history_ = newest;
    history_since_ = BootTime();
  }
}

std::optional<duration> promotion_duty::TimeUntilDue() const {
  if (hold_) {
    return verify_requested_ ? std::optional(duration::zero()) : std::nullopt;
  }
  const duration::rep due = claim_at_;
  if (due == 0) {
    return std::nullopt;
  }
  return std::max(duration::zero(), instant(duration(due)) - BootTime());
}

void promotion_duty::Step(std::uint64_t lease, instant extended_at) {
  NoteHistory();
  lease_extended_at_ = extended_at;
  lease_ = lease;
  if (TimeUntilDue() != duration::zero() || lease == 0) {
    return;
  }
  if (!hold_) {
    Claim();
  } else {
    verify_requested_ = false;
    Verify();
  }
}

void promotion_duty::Claim() {
  const kv::history_id history = context_.Store().History();
  // A revision is a condition only in the history in which it was read.
  if (!history || SeenFence().read_in != history) {
    if (!ReadKeys()) {
      return;
    }
  }
  const kv::key_space& keys = context_.Keys();
  const seen_fence seen = SeenFence();
  const std::uint64_t fence = NextFence(seen.highest, history);
  const std::string value = FormatClaim({name_, fence});
  const std::string fence_text = std::to_string(fence);
  const instant requested_at = BootTime();
  const auto claimed = Attempt([&] {
    return context_.Store().Transact(
        {{keys.Duty(), std::exchange(expected_revision_, 0)},
         {keys.Fence(), seen.key_revision}},
        {{keys.Duty(), value, false, lease_},
         {keys.Fence(), fence_text, false, 0}});
  });
  context_.RecordCallResult(claimed);
  if (claimed && context_.Store().History() == history) {
    kv::entry written;
    written.value = fence_text;
    written.mod_revision = *claimed;
    OnFenceSeen(written, *claimed, history);
    Hold(fence, value, history, requested_at);
    return;
  }
  const bool readable = claimed || claimed.Failed(error_kind::kUnknown) ||
                        claimed.Failed(error_kind::kConflict);
  const instant read_at = BootTime();
  if (readable && !ReadKeys()) {
    return;
  }
  if (readable && found_value_ == value &&
      context_.Store().History() == history) {
    // Only the answer was lost.
    Hold(fence, value, history, read_at);
    return;
  }
  ClaimAt(BootTime() + kRetryPause);
}

bool promotion_duty::ReadKeys() {
  const kv::key_space& keys = context_.Keys();
  const kv::history_id history = context_.Store().History();
  const auto duty =
      Attempt([&] { return context_.Store().Range(keys.Duty(), true); });
  const auto fence =
      Attempt([&] { return context_.Store().Range(keys.Fence(), true); });
  context_.RecordCallResult(fence);
  if (!duty || !fence || context_.Store().History() != history) {
    ClaimAt(BootTime() + kRetryPause);
    return false;
  }
  const auto first = [](const kv::range_result& found) {
    return found.entries.empty() ? std::nullopt
                                 : std::optional(found.entries[0]);
  };
  OnFenceSeen(first(*fence), fence->revision, history);
  const std::optional<kv::entry> holder = first(*duty);
  if (holder && holder->lease != lease_) {
    ClaimAt(instant{});
    return false;
  }
  expected_revision_ = holder ? holder->mod_revision : 0;
  found_value_ = holder ? holder->value : "";
  ClaimAt(BootTime());
  return true;
}

void promotion_duty::Hold(std::uint64_t fence, std::string value,
                          const kv::history_id& history, instant requested_at) {
  NoteHistory();
  const instant since = history ? history_since_ : BootTime();
  {
    const std::lock_guard lock(mutex_);
    held_value_ = value;
  }
  hold_ =
      hold{fence, std::move(value), history, requested_at, since + validity_};
  verify_requested_ = false;
  ClaimAt(instant{});
  Post();
}

void promotion_duty::Lose(instant lost_at) {
  if (!hold_) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    held_value_.clear();
  }
  hold_.reset();
  context_.Post(duty_seen{id_, 0, lost_at});
}

void promotion_duty::OnLeaseRenewed(instant requested_at,
                                    const kv::history_id& history) {
  NoteHistory();
  lease_extended_at_ = requested_at;
  if (!hold_) {
    return;
  }
  // A key under a lease goes with it, or with the history.
  if (history && history == hold_->history &&
      history == context_.Store().History()) {
    hold_->proven_at = requested_at;
    Post();
    return;
  }
  Verify();
}

void promotion_duty::Verify() {
  const kv::history_id history = context_.Store().History();
  const instant requested_at = BootTime();
  const auto found = Attempt(
      [&] { return context_.Store().Range(context_.Keys().Duty(), true); });
  context_.RecordCallResult(found);
  if (!found) {
    return;  // The duty lapses unless a later proof succeeds.
  }
  const bool own = !found->entries.empty() &&
                   found->entries[0].value == hold_->value &&
                   found->entries[0].lease == lease_;
  // Where the history is not told, a claim that was lost and came back in a gap
  // between two proofs may have been followed by another holder's.
  const bool continuous =
      history == hold_->history && context_.Store().History() == history &&
      (history || BootTime() - hold_->proven_at < validity_);
  if (own && continuous) {
    hold_->proven_at = requested_at;
    Post();
    return;
  }
  Lose(requested_at);
  if (ReadKeys()) {
    on_due_();
  }
}

void promotion_duty::Post() {
  context_.Post(
      duty_seen{id_, hold_->fence,
                std::min(hold_->proven_at, lease_extended_at_) + validity_,
                hold_->usable_from});
}

}  // namespace marjoramslip::shell
