// The differences between two catalogues, for operators.

#ifndef MARJORAMSLIP_CATALOGUE_DIFFERENCES_H_
#define MARJORAMSLIP_CATALOGUE_DIFFERENCES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip {

enum class change_kind : std::uint8_t { kAdded, kChanged, kWithdrawn };

/// One difference. No text contains a key of an account.
struct catalogue_difference {
  change_kind kind = change_kind::kChanged;
  /// What differs: "service", "endpoint", "account", "route" or
  /// "configuration".
  std::string subject;
  /// Its name, and for a part of it the part's: "red keys".
  std::string name;
  std::string before = {};  ///< Empty if it was added.
  std::string after = {};   ///< Empty if it was withdrawn.
  /// What it means to callers; empty if they lose nothing that is known.
  std::string effect = {};

  bool operator==(const catalogue_difference&) const = default;
};

/// Returns the differences between two catalogues.
std::vector<catalogue_difference> FindDifferences(const catalogue& from,
                                                  const catalogue& to);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CATALOGUE_DIFFERENCES_H_
