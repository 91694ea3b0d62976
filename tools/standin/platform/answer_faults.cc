// Draws the answers that are sent twice and the statements that are refused.

#include "answer_faults.h"

#include <algorithm>

namespace standin {

namespace {

constexpr std::int64_t kLongestPauseMs = 5;

}  // namespace

void answer_faults::Set(const json_object& order) {
  const std::lock_guard lock(mutex_);
  share_ = NumberMember(order, "share", 0.0);
  least_ms_ = IntegerMember(order, "least_ms");
  most_ms_ = IntegerMember(order, "most_ms");
}

void answer_faults::SetRefused(double share) {
  const std::lock_guard lock(mutex_);
  refused_ = share;
}

bool answer_faults::DrawRefusal() {
  const std::lock_guard lock(mutex_);
  return std::bernoulli_distribution(refused_)(random_);
}

std::optional<repeated_answer> answer_faults::Draw() {
  const std::lock_guard lock(mutex_);
  if (!std::bernoulli_distribution(share_)(random_)) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::int64_t> late(least_ms_, most_ms_);
  std::uniform_int_distribution<std::int64_t> pause(-kLongestPauseMs,
                                                    kLongestPauseMs);
  return repeated_answer{
      std::chrono::milliseconds(late(random_)),
      std::chrono::milliseconds(std::max<std::int64_t>(0, pause(random_)))};
}

void answer_faults::Count() {
  const std::lock_guard lock(mutex_);
  ++repeats_;
}

std::uint64_t answer_faults::Repeats() const {
  const std::lock_guard lock(mutex_);
  return repeats_;
}

}  // namespace standin
