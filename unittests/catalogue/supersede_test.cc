// Tests of which catalogue is in force when several have arrived.

#include "marjoramslip/catalogue/supersede.h"

#include "story.h"

namespace marjoramslip {
namespace {

catalogue Make(std::uint64_t revision, std::uint64_t declared_version,
               const char* key, const char* endpoint) {
  catalogue value;
  value.revision = revision;
  value.declared_version = declared_version;
  value.routed = true;
  group_spec group{"g", {}};
  group.endpoints.push_back(
      {.name = endpoint, .host = "h", .failure_domain = {}});
  service_spec service;
  service.name = "s";
  service.groups.push_back(group);
  value.services["s"] = service;
  value.accounts_in_use = true;
  value.accounts["red"] = {"red", {key}, 1, 1};
  return value;
}

const std::string& EndpointOf(const catalogue& value) {
  return value.services.at("s").groups.at(0).endpoints.at(0).name;
}

const std::string& KeyOf(const catalogue& value) {
  return value.accounts.at("red").keys.at(0);
}

}  // namespace

// Guards against an instance without the store that counts revisions on with
// old declarations, and so brings a withdrawn key back everywhere.
Test(supersede, a_higher_revision_brings_no_older_accounts_back) {
  const catalogue in_force = Make(6, 8, "new", "a");
  const auto joined = Supersede(in_force, Make(7, 7, "old", "b"));
  REQUIRE(joined.has_value());
  EXPECT(KeyOf(*joined) == "new" && joined->declared_version == 8);
  EXPECT(EndpointOf(*joined) == "b" && joined->revision == 7);
  SECTION("nor does one of a release that knows no accounts") {
    catalogue unaware = Make(9, 0, "old", "c");
    unaware.accounts_in_use = false;
    unaware.accounts.clear();
    const auto kept = Supersede(*joined, unaware);
    REQUIRE(kept.has_value());
    EXPECT(kept->accounts_in_use && KeyOf(*kept) == "new");
    EXPECT(EndpointOf(*kept) == "c");
  }
}

// Guards against a withdrawal that is not heard of because its catalogue has
// the revision that an expired endpoint was given early.
Test(supersede, newer_accounts_come_with_any_revision) {
  const catalogue in_force = Make(6, 7, "old", "a");
  for (const std::uint64_t revision : {5U, 6U}) {
    const auto joined = Supersede(in_force, Make(revision, 8, "new", "b"));
    REQUIRE(joined.has_value());
    EXPECT(KeyOf(*joined) == "new" && joined->declared_version == 8);
    EXPECT(EndpointOf(*joined) == "a" && joined->revision == 6);
    EXPECT(!Supersede(*joined, Make(revision, 8, "new", "b")));
  }
  SECTION("accounts that are given up are gone") {
    catalogue without = Make(7, 8, "", "a");
    without.accounts_in_use = false;
    const auto next = Supersede(in_force, without);
    EXPECT(next.has_value() && !next->accounts_in_use);
  }
}

// Guards against a configuration that is ignored because an instance has
// counted revisions ahead, also where no accounts are in use.
Test(supersede, newer_routes_come_with_any_revision) {
  catalogue in_force = Make(6, 7, "", "a");
  in_force.accounts_in_use = false;
  in_force.accounts.clear();
  in_force.routes["old"] = {};
  for (const std::uint64_t revision : {5U, 6U}) {
    catalogue update = Make(revision, 8, "", "b");
    update.accounts_in_use = false;
    update.accounts.clear();
    update.routes["new"] = {};
    update.services["added"].name = "added";
    update.services["s"].seats = 9;
    const auto joined = Supersede(in_force, update);
    REQUIRE(joined.has_value());
    EXPECT(joined->routes == update.routes && joined->declared_version == 8);
    EXPECT(joined->services.contains("added"));
    EXPECT(joined->services.at("s").seats == 9);
    EXPECT(EndpointOf(*joined) == "a" && joined->revision == 6);
    EXPECT(!Supersede(*joined, update));
    SECTION("and stay when endpoints change under older declarations") {
      catalogue late = in_force;
      late.revision = 9;
      const auto kept = Supersede(*joined, late);
      REQUIRE(kept.has_value());
      EXPECT(kept->routes == update.routes && kept->revision == 9);
    }
  }
  SECTION("of equal declarations the revision decides") {
    const catalogue update = Make(7, 7, "", "b");
    EXPECT(Supersede(in_force, update) == update);
    EXPECT(!Supersede(update, in_force));
  }
}

}  // namespace marjoramslip
