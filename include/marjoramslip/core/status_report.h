// A snapshot of an instance's state, for operators and tests.

#ifndef MARJORAMSLIP_CORE_STATUS_REPORT_H_
#define MARJORAMSLIP_CORE_STATUS_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "marjoramslip/base/time.h"
#include "marjoramslip/core/change_stage.h"
#include "marjoramslip/core/endpoint_state.h"
#include "marjoramslip/core/group_record.h"

namespace marjoramslip {

/// The instance's view of one endpoint.
struct endpoint_report {
  std::string name;
  std::string failure_domain;
  endpoint_state state;
  bool leaving = false;
  bool suspected = false;
  duration evidence_age{};  ///< Since its newest answer was requested.
  std::uint32_t connections = 0;
  std::uint32_t busy = 0;
  std::uint32_t share = 0;
  std::uint32_t in_flight = 0;  ///< Statements sent and not yet answered.
  /// Requests that wait for the endpoint, by the priority of their route. Lists
  /// the priorities that have been used.
  std::map<std::uint32_t, std::uint32_t> waiting;
};

/// A group's change of primary, as far as this instance knows it.
struct change_report {
  change_stage stage = change_stage::kNone;
  duration closed_for{};
  /// Requests for a promotion by this instance since the group was closed.
  std::uint32_t attempts = 0;
  /// What became of the last attempt, human-readable; empty if there is none.
  std::string last_answer;
};

/// The instance's view of one group.
struct group_report {
  std::string service;
  std::string name;
  group_record record;
  std::uint64_t record_revision = 0;
  bool permit = false;
  change_report change;
  std::uint32_t queued = 0;
  /// The instances that carry the group, by name; empty if each instance uses
  /// connections of its own.
  std::vector<std::string> carriers;
  std::uint32_t forwarded = 0;  ///< Requests that wait for a carrier.
  std::vector<endpoint_report> endpoints;
};

/// The limit of a client account and its use by this instance since its start.
struct account_report {
  std::string name;
  double operations_per_second = 0;
  double burst = 0;           ///< Operations.
  std::uint64_t granted = 0;  ///< Tokens granted to this instance.
  std::uint64_t used = 0;     ///< Operations that took a token.
  std::uint64_t refused = 0;  ///< Operations refused by the limit.
};

/// The state of an instance.
struct status_report {
  std::string instance;
  std::uint64_t catalogue_revision = 0;
  bool service_reachable = false;
  bool draining = false;
  std::uint32_t callers = 0;
  std::uint32_t requests = 0;
  std::uint32_t sessions = 0;
  std::vector<std::string> members;
  std::vector<group_report> groups;
  std::vector<account_report> accounts;  ///< Those with a limit.
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_STATUS_REPORT_H_
