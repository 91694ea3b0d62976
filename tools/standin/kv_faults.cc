// Faults of the key-value stand-in.

#include "kv_faults.h"

namespace standin {

std::optional<kv_mode> ParseKvMode(std::string_view text) {
  if (text == "up") return kv_mode::kUp;
  if (text == "down") return kv_mode::kDown;
  if (text == "slow") return kv_mode::kSlow;
  if (text == "lose_answers") return kv_mode::kLoseAnswers;
  if (text == "hang") return kv_mode::kHang;
  return std::nullopt;
}

void kv_faults::Set(kv_mode mode, std::chrono::milliseconds delay,
                    double probability) {
  const std::lock_guard lock(mutex_);
  mode_ = mode;
  delay_ = delay;
  probability_ = probability;
}

kv_mode kv_faults::Mode() {
  const std::lock_guard lock(mutex_);
  return mode_;
}

kv_fate kv_faults::Draw() {
  const std::lock_guard lock(mutex_);
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  if (mode_ == kv_mode::kUp || chance(random_) >= probability_) {
    return {};
  }
  return {mode_, delay_};
}

void kv_faults::Count(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  ++counts_[kind];
}

std::map<std::string, std::uint64_t> kv_faults::Counts() {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace standin
