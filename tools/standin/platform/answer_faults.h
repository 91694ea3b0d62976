// Databases that answer twice, or refuse statements.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_ANSWER_FAULTS_H_
#define MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_ANSWER_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

#include "../json_text.h"

namespace standin {

/// How an answer is sent a second time.
struct repeated_answer {
  std::chrono::milliseconds late{0};  ///< After the first time.
  /// The pause in the middle of its bytes; 0: none.
  std::chrono::milliseconds pause{0};
};

/// Decides which answers are sent twice. Safe for use by several threads.
class answer_faults {
 public:
  explicit answer_faults(std::uint64_t seed) : random_(seed) {}

  /// `order` has `share` (0 to 1), `least_ms` and `most_ms`.
  void Set(const json_object& order);
  /// This share of callers' statements is refused without being run.
  void SetRefused(double share);
  /// True if the next statement is refused.
  bool DrawRefusal();
  /// Empty if the next answer is sent once.
  std::optional<repeated_answer> Draw();
  /// Counts an answer that was sent a second time.
  void Count();
  std::uint64_t Repeats() const;

 private:
  mutable std::mutex mutex_;
  std::mt19937_64 random_;
  double share_ = 0.0;
  double refused_ = 0.0;
  std::int64_t least_ms_ = 0;
  std::int64_t most_ms_ = 0;
  std::uint64_t repeats_ = 0;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_ANSWER_FAULTS_H_
