// Samples of the primary's log position, ordered by sampling time.

#include "position_samples.h"

#include <algorithm>

namespace marjoramslip {

namespace {

constexpr std::size_t kMaxSamples = 512;
constexpr duration kMinSampleInterval = std::chrono::milliseconds(5);

}  // namespace

void position_samples::Add(instant sent_at, log_point point) {
  const auto later = [](instant time, const sample& s) {
    return time < s.sent_at;
  };
  const auto found =
      std::upper_bound(samples_.begin(), samples_.end(), sent_at, later);
  if (found != samples_.end()) {
    return;  // A newer sample has already been added.
  }
  const std::size_t count = samples_.size();
  // The newest sample is always kept. Older ones are kept at intervals of at
  // least kMinSampleInterval.
  if (count >= 2 &&
      sent_at - samples_[count - 2].sent_at < kMinSampleInterval) {
    samples_.back() = {sent_at, point};
    return;
  }
  samples_.push_back({sent_at, point});
  if (samples_.size() > kMaxSamples) {
    samples_.pop_front();
  }
}

void position_samples::Confirm(instant now) {
  confirmed_until_ = std::max(confirmed_until_, now);
}

void position_samples::DropUnconfirmed() {
  while (!samples_.empty() && samples_.back().sent_at > confirmed_until_) {
    samples_.pop_back();
  }
}

std::optional<log_point> position_samples::EarliestConfirmed(
    instant since) const {
  const auto found = std::lower_bound(
      samples_.begin(), samples_.end(), since,
      [](const sample& s, instant time) { return s.sent_at < time; });
  if (found == samples_.end() || found->sent_at > confirmed_until_) {
    return std::nullopt;
  }
  return found->point;
}

log_position position_samples::NewestPosition() const {
  return samples_.empty() ? 0 : samples_.back().point.position;
}

}  // namespace marjoramslip
