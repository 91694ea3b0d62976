// Rules on values that are valid each for itself but contradict each other, or
// that have no effect. Instances accept them; operators are warned.

#ifndef MARJORAMSLIP_CATALOGUE_CONTRADICTIONS_H_
#define MARJORAMSLIP_CATALOGUE_CONTRADICTIONS_H_

#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/json/document.h"

namespace marjoramslip {

/// Where the values of a route stand in its document.
struct route_places {
  json::place statement_timeout;
  json::place objective;
  json::place max_staleness;
};

/// Where the values of an account stand in its document.
struct account_places {
  json::place keys;
  json::place rate;
  json::place burst;
};

/// Warns of times of a service that contradict each other, and of endpoints
/// that accept too few connections for the service's seats or for their own
/// slots. Groups and endpoints are places below `at`, by name.
void WarnOfService(const service_spec& service, const json::place& at);

/// Warns of times of a route that contradict each other or those of its
/// service.
void WarnOfRoute(const route_spec& route, const service_spec& service,
                 const route_places& at);

/// Warns of limits that do not limit, of keys that are repeated, and of an
/// account without keys.
void WarnOfAccount(const client_account& account, const account_places& at);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CATALOGUE_CONTRADICTIONS_H_
