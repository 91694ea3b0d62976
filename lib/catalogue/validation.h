// Validity rules for catalogues that span several fields or services.

#ifndef MARJORAMSLIP_LIB_CATALOGUE_VALIDATION_H_
#define MARJORAMSLIP_LIB_CATALOGUE_VALIDATION_H_

#include <vector>

#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/json/document.h"

namespace marjoramslip {

/// Checks the names, ids, addresses, pins and endpoints of all services
/// together. Reports problems under paths "service.group.endpoint" below `at`.
void CheckServices(const std::vector<const service_spec*>& services,
                   const json::place& at);

/// Checks that each group present in both catalogues gains or loses at most one
/// endpoint, so that majorities before and after the change always overlap.
void CheckMembership(const catalogue& from, const catalogue& to,
                     const json::place& at);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CATALOGUE_VALIDATION_H_
