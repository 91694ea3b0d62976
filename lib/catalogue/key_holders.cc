// Assigns keys to accounts.

#include "marjoramslip/catalogue/key_holders.h"

namespace marjoramslip {

key_holders HoldersOfKeys(const catalogue& value) {
  key_holders holders;
  if (!value.accounts_in_use) {
    return holders;
  }
  for (const auto& [name, account] : value.accounts) {
    for (const std::string& key : account.keys) {
      if (key.empty()) {
        continue;
      }
      const auto [held, added] = holders.by_key.emplace(key, &account);
      if (!added && held->second != &account) {
        holders.shared.push_back({held->second->name, name});
      }
    }
  }
  return holders;
}

}  // namespace marjoramslip
