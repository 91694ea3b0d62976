// A test world with client accounts.

#ifndef MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_WORLD_H_
#define MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_WORLD_H_

#include <algorithm>
#include <string>

#include "marjoramslip/core/sqlstates.h"
#include "promoted_world.h"

namespace marjoramslip {

/// A world with the accounts "red" (keys "r1" and "r2") and "blue" (key "b1"),
/// a public route "open" and the route "fresh" that needs a key.
struct account_world : promoted_world {
  account_world() : declared(MakeCatalogue(10)) {
    declared.declared_version = 1;
    declared.accounts_in_use = true;
    declared.accounts["red"] = {"red", {"r1", "r2"}, {}, 0};
    declared.accounts["blue"] = {"blue", {"b1"}, {}, 0};
    declared.routes["open"] = declared.routes.at("fresh");
    declared.routes["open"].name = "open";
    declared.routes["open"].is_public = true;
    Declare();
  }

  /// Applies the declared catalogue as the next version.
  void Declare() {
    ++declared.revision;
    ++declared.declared_version;
    ApplyEvent(catalogue_seen{declared});
  }

  void Connect(caller_id caller, const char* key, const char* route = "fresh") {
    ApplyEvent(caller_opened{caller, route, {}, key});
  }
  request_id Write(caller_id caller) {
    return SendStatement(statement_kind::kWrite, {}, caller);
  }
  bool IsClosed(caller_id caller) const {
    return std::count(closed_callers.begin(), closed_callers.end(), caller) > 0;
  }
  bool IsRefusedForItsKey(request_id request) const {
    const auto failed = FailureOf(request);
    return failed.has_value() && failed->sqlstate == sqlstate::kUnknownKey &&
           failed->effect == verdict::kNotRun;
  }
  std::string ClientOf(request_id request) const {
    return opened_for.at(ConnectionOf(request));
  }

  catalogue declared;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_UNITTESTS_CORE_ACCOUNT_WORLD_H_
