// Builds the index of keys.

#include "account_directory.h"

#include <utility>

namespace marjoramslip {

std::vector<shared_key> account_directory::SetAccounts(const catalogue& value) {
  in_use_ = value.accounts_in_use;
  holders_.clear();
  names_.clear();
  if (!in_use_) {
    return {};
  }
  for (const auto& [name, account] : value.accounts) {
    names_.emplace(account.Id(), name);
  }
  key_holders holders = HoldersOfKeys(value);
  for (const auto& [key, account] : holders.by_key) {
    holders_.emplace(key, account->Id());
  }
  return std::move(holders.shared);
}

std::optional<account_id> account_directory::Find(std::string_view key) const {
  const auto found = holders_.find(key);
  return found == holders_.end() ? std::nullopt : std::optional(found->second);
}

std::string account_directory::NameOf(account_id account) const {
  const auto found = names_.find(account);
  return found == names_.end() ? std::string() : found->second;
}

}  // namespace marjoramslip
