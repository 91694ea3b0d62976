// Keeps granted tokens until they expire.

#include "limit_purse.h"

#include <algorithm>
#include <cmath>

namespace marjoramslip {
namespace {

/// Time over which demand is averaged.
constexpr double kAverageSeconds = 1;
/// Time for whose demand tokens are held. Requests follow each other within
/// 100 ms; the rest covers a lost one.
constexpr double kHeldSeconds = 0.2;

}  // namespace

void limit_purse::Add(std::uint32_t tokens, instant expires_at, instant now) {
  if (tokens == 0 || now >= expires_at) {
    return;
  }
  const auto after =
      std::ranges::upper_bound(batches_, expires_at, {}, &batch::expires_at);
  batches_.insert(after, {expires_at, tokens});
}

std::optional<instant> limit_purse::Take(instant now) {
  Expire(now);
  if (batches_.empty()) {
    return std::nullopt;
  }
  batch& first = batches_.front();
  const instant expires_at = first.expires_at;
  --first.tokens;
  if (first.tokens == 0) {
    batches_.pop_front();
  }
  return expires_at;
}

std::uint32_t limit_purse::Held(instant now) {
  Expire(now);
  std::uint32_t sum = 0;
  for (const batch& held : batches_) {
    sum += held.tokens;
  }
  return sum;
}

void limit_purse::OnDemand(instant now) {
  Decay(now);
  demand_ += 1 / kAverageSeconds;
}

std::uint32_t limit_purse::Target(instant now) {
  Decay(now);
  return static_cast<std::uint32_t>(demand_ * kHeldSeconds);
}

void limit_purse::Expire(instant now) {
  while (!batches_.empty() && now >= batches_.front().expires_at) {
    batches_.pop_front();
  }
}

void limit_purse::Decay(instant now) {
  const std::chrono::duration<double> elapsed = now - demand_at_;
  demand_ *= std::exp(-elapsed.count() / kAverageSeconds);
  demand_at_ = now;
}

}  // namespace marjoramslip
