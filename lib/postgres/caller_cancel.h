// Which caller a cancel request means.

#ifndef MARJORAMSLIP_LIB_POSTGRES_CALLER_CANCEL_H_
#define MARJORAMSLIP_LIB_POSTGRES_CALLER_CANCEL_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "marjoramslip/base/ids.h"

namespace marjoramslip::shell {

/// What a caller shows to cancel what it runs.
struct cancel_key {
  std::uint32_t process = 0;
  std::uint32_t secret = 0;
};

/// Gives out keys and finds callers by them.
class cancel_registry {
 public:
  /// A new key from the system's source of randomness; empty if it fails.
  std::optional<cancel_key> Register(caller_id caller);
  void Forget(cancel_key key);
  std::optional<caller_id> Find(cancel_key key) const;

 private:
  struct entry {
    std::uint32_t secret = 0;
    caller_id caller;
  };

  std::unordered_map<std::uint32_t, entry> entries_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_CALLER_CANCEL_H_
