// Faults of the key-value stand-in on command, and the count of its calls.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_KV_FAULTS_H_
#define MARJORAMSLIP_TOOLS_STANDIN_KV_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace standin {

/// How the service behaves.
enum class kv_mode : std::uint8_t {
  kUp,
  kDown,         ///< Connections are closed without an answer.
  kSlow,         ///< Each call is delayed.
  kLoseAnswers,  ///< Writes take effect, their answers are lost.
  kHang,         ///< Calls are never answered.
};

/// Reads "up", "down", "slow", "lose_answers" or "hang".
std::optional<kv_mode> ParseKvMode(std::string_view text);

/// What befalls one call.
struct kv_fate {
  kv_mode mode = kv_mode::kUp;
  std::chrono::milliseconds delay{0};
};

/// The mode in force and the counts; safe for use by several threads.
class kv_faults {
 public:
  explicit kv_faults(std::uint64_t seed) : random_(seed) {}

  /// Puts a mode in force; it befalls each call with `probability`.
  void Set(kv_mode mode, std::chrono::milliseconds delay, double probability);

  /// The mode in force, whatever its probability.
  kv_mode Mode();

  /// Decides what befalls the next call.
  kv_fate Draw();

  void Count(const std::string& kind);
  std::map<std::string, std::uint64_t> Counts();

 private:
  std::mutex mutex_;
  std::mt19937_64 random_;
  kv_mode mode_ = kv_mode::kUp;
  std::chrono::milliseconds delay_{0};
  double probability_ = 1.0;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_KV_FAULTS_H_
