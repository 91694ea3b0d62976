// Names of what the catalogue declares, for logs, metrics and status.

#ifndef MARJORAMSLIP_LIB_RUNTIME_NAME_TABLE_H_
#define MARJORAMSLIP_LIB_RUNTIME_NAME_TABLE_H_

#include <string>
#include <unordered_map>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip::shell {

/// Ids without a name are given as numbers, and id 0 as an empty string.
class name_table {
 public:
  /// Names of earlier catalogues are forgotten.
  void SetCatalogue(const catalogue& value);

  std::string NameOf(group_id id) const;
  std::string NameOf(endpoint_id id) const;

 private:
  std::unordered_map<group_id, std::string> groups_;
  std::unordered_map<endpoint_id, std::string> endpoints_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_RUNTIME_NAME_TABLE_H_
