// The client accounts of the catalogue in force, by key and by id.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/catalogue/key_holders.h"

namespace marjoramslip {

/// Finds accounts by their keys.
class account_directory {
 public:
  /// Replaces the content. Returns the keys that several accounts were given,
  /// in order of name.
  std::vector<shared_key> SetAccounts(const catalogue& value);

  /// False if callers are not identified, and keys are ignored.
  bool InUse() const { return in_use_; }
  /// Returns the account that holds a key. An empty key belongs to none.
  std::optional<account_id> Find(std::string_view key) const;
  /// Returns the name of an account; empty if there is no such account.
  std::string NameOf(account_id account) const;

 private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept {
      return std::hash<std::string_view>{}(text);
    }
  };

  bool in_use_ = false;
  std::unordered_map<std::string, account_id, text_hash, std::equal_to<>>
      holders_;
  std::unordered_map<account_id, std::string> names_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_ACCOUNT_DIRECTORY_H_
