// The tokens of one account that this instance holds.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_PURSE_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_PURSE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Granted tokens, those that expire first first, and the demand for them.
class limit_purse {
 public:
  /// Adds tokens that may be used until `expires_at`.
  void Add(std::uint32_t tokens, instant expires_at, instant now);
  /// Takes a token and returns when it expires; empty if none is held.
  std::optional<instant> Take(instant now);
  std::uint32_t Held(instant now);

  /// Counts one operation that asks for a token.
  void OnDemand(instant now);
  /// Returns how many tokens the demand of the near future needs; 0 if that is
  /// less than a whole one.
  std::uint32_t Target(instant now);

 private:
  struct batch {
    instant expires_at;
    std::uint32_t tokens = 0;
  };

  void Expire(instant now);
  void Decay(instant now);

  std::deque<batch> batches_;
  double demand_ = 0;  ///< Operations per second, averaged.
  instant demand_at_{};
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_PURSE_H_
