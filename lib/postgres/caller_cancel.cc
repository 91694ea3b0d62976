// Keys of cancel requests.

#include "caller_cancel.h"

#include <unistd.h>

namespace marjoramslip::shell {
namespace {

/// Drivers read the process as a signed number.
constexpr std::uint32_t kProcessMask = 0x7FFFFFFFU;

}  // namespace

std::optional<cancel_key> cancel_registry::Register(caller_id caller) {
  cancel_key key;
  do {
    if (getentropy(&key, sizeof(key)) != 0) {
      return std::nullopt;
    }
    key.process &= kProcessMask;
  } while (key.process == 0 || entries_.contains(key.process));
  entries_.emplace(key.process, entry{key.secret, caller});
  return key;
}

void cancel_registry::Forget(cancel_key key) { entries_.erase(key.process); }

std::optional<caller_id> cancel_registry::Find(cancel_key key) const {
  const auto found = entries_.find(key.process);
  if (found == entries_.end() || found->second.secret != key.secret) {
    return std::nullopt;
  }
  return found->second.caller;
}

}  // namespace marjoramslip::shell
