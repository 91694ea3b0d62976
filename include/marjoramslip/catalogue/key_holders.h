// Which account holds a key that several accounts were given.

#ifndef MARJORAMSLIP_CATALOGUE_KEY_HOLDERS_H_
#define MARJORAMSLIP_CATALOGUE_KEY_HOLDERS_H_

#include <compare>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip {

/// Two accounts that were given the same key, by name. The key itself is a
/// secret and is left out.
struct shared_key {
  std::string holder;  ///< The account that has the key.
  std::string other;   ///< The account that does without it.

  auto operator<=>(const shared_key&) const = default;
};

/// The accounts by their keys.
struct key_holders {
  std::unordered_map<std::string_view, const client_account*> by_key;
  /// The keys that several accounts were given, in order of name.
  std::vector<shared_key> shared;
};

/// Returns who holds each key: of several accounts the first one by name. An
/// empty key belongs to none. The result refers to `value`, and is empty if
/// accounts are not in use.
key_holders HoldersOfKeys(const catalogue& value);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CATALOGUE_KEY_HOLDERS_H_
