// Limits retries to a fixed fraction of the requests.

#ifndef MARJORAMSLIP_LIB_CORE_RETRY_BUDGET_H_
#define MARJORAMSLIP_LIB_CORE_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace marjoramslip {

/// A token bucket: each request adds a token, each retry removes
/// `kTokensPerRetry`.
class retry_budget {
 public:
  /// Adds the token of a new request.
  void OnRequest() { tokens_ = std::min(tokens_ + 1, kMaxTokens); }

  /// Consumes the tokens of one retry. Returns false if too few are left.
  bool TryConsume() {
    if (tokens_ < kTokensPerRetry) {
      return false;
    }
    tokens_ -= kTokensPerRetry;
    return true;
  }

 private:
  /// Number of requests that allow one retry.
  static constexpr std::uint32_t kTokensPerRetry = 4;
  /// Capacity of the bucket. Limits a burst of retries.
  static constexpr std::uint32_t kMaxTokens = 800;

  std::uint32_t tokens_ = kMaxTokens;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_RETRY_BUDGET_H_
