// Warns of values that contradict each other or have no effect.

#include "marjoramslip/catalogue/contradictions.h"

#include <algorithm>
#include <set>
#include <string>

#include "marjoramslip/json/fields.h"

namespace marjoramslip {
namespace {

using json::FormatDuration;
using json::place;

void WarnOfEndpoint(const endpoint_spec& endpoint, std::uint32_t seats,
                    const place& at) {
  const std::string accepted =
      "is " + std::to_string(endpoint.connections) + ", below the ";
  if (endpoint.connections < seats) {
    at.Member("connections")
        .Warn(accepted + std::to_string(seats) +
              " seats of the service: each seat needs one connection, and the "
              "endpoint refuses those above its limit; raise it or lower "
              "seats");
  }
  if (endpoint.connections < endpoint.slots) {
    at.Member("connections")
        .Warn(accepted + std::to_string(endpoint.slots) +
              " slots: some slots are never used; raise it or lower slots");
  }
}

bool IsBounded(const route_spec& route) {
  return route.reads == consistency::kBoundedStaleness ||
         route.reads == consistency::kReadYourWrites;
}

void WarnOfStaleness(const route_spec& route, const service_spec& service,
                     const place& at) {
  if (!IsBounded(route)) {
    if (route.max_staleness > duration::zero()) {
      at.Warn(
          "has no effect on a route of this type; remove it or change the "
          "type");
    }
    return;
  }
  if (route.max_staleness == duration::zero()) {
    at.Warn(
        "is missing or 0: each read asks the primary for its position and sees "
        "all writes before it; state how old data may be");
  } else if (route.max_staleness < service.replica_wait) {
    at.Warn("is " + FormatDuration(route.max_staleness) + ", below the " +
            FormatDuration(service.replica_wait) +
            " that a replica is given to apply what it received: most reads "
            "wait for replicas or go to the primary; raise it");
  }
}

}  // namespace

void WarnOfService(const service_spec& service, const place& at) {
  const std::string below =
      ", not below the deadline of " + FormatDuration(service.deadline);
  if (service.reads == read_policy::kPosition &&
      service.replica_wait >= service.deadline) {
    at.Member("replica_wait")
        .Warn("is " + FormatDuration(service.replica_wait) + below +
              ": a read that waits for a replica is refused before it goes to "
              "the primary; lower it or raise the deadline");
  }
  if (service.failover == failover_policy::kLease &&
      service.lease >= service.deadline) {
    at.Member("lease").Warn(
        "is " + FormatDuration(service.lease) + below +
        ": requests that wait for a new primary are refused before there is "
        "one; lower it or raise the deadline");
  }
  for (const group_spec& group : service.groups) {
    for (const endpoint_spec& endpoint : group.endpoints) {
      if (!endpoint.leaving) {
        WarnOfEndpoint(endpoint, service.seats,
                       at.Member(group.name).Member(endpoint.name));
      }
    }
  }
}

void WarnOfRoute(const route_spec& route, const service_spec& service,
                 const route_places& at) {
  const bool own_timeout = route.statement_timeout > duration::zero();
  const duration timeout =
      own_timeout ? route.statement_timeout : service.deadline;
  if (route.objective > timeout) {
    at.objective.Warn(
        "is " + FormatDuration(route.objective) + ", above the " +
        (own_timeout ? "timeout" : "deadline") + " of " +
        FormatDuration(timeout) +
        ": a statement is given up before it is late; lower it or raise the "
        "timeout");
  }
  if (own_timeout && route.reads != consistency::kPrimary &&
      service.replica_wait >= timeout) {
    at.statement_timeout.Warn(
        "is " + FormatDuration(timeout) + ", not above the " +
        FormatDuration(service.replica_wait) +
        " that a read waits for a replica: it is refused before it goes to "
        "the primary; raise it");
  }
  WarnOfStaleness(route, service, at.max_staleness);
}

void WarnOfAccount(const client_account& account, const account_places& at) {
  std::set<std::string_view> keys;
  for (std::size_t i = 0; i < account.keys.size(); ++i) {
    if (!keys.insert(account.keys[i]).second) {
      at.keys.Item(i).Warn("is the same as one before it; remove it");
    }
  }
  if (keys.empty()) {
    at.keys.Warn(
        "holds no key: no caller can act for the account; add one, or remove "
        "the account");
  }
  if (!account.operations_per_second.has_value()) {
    if (account.burst > 0) {
      at.burst.Warn("has no effect without a rate; set one, or remove this");
    }
  } else if (*account.operations_per_second <= 0) {
    at.rate.Warn(
        "is 0: the account may send its burst once and no more; set a rate "
        "above 0, or remove rate and burst if there is to be no limit");
  } else if (account.burst < 1) {
    at.burst.Warn(
        "is below one operation: operations above the rate are admitted only "
        "by the tolerance of the limit; set it to 1 or more");
  }
}

}  // namespace marjoramslip
