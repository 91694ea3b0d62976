// Tests of the registry source: changes, endpoints whose entries disappear, and
// malformed entries.

#include <algorithm>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/base/clock.h"
#include "marjoramslip/coordination/catalogue_source.h"
#include "marjoramslip/kv/memory_store.h"
#include "plain_decoder.h"
#include "story.h"

namespace marjoramslip::shell {
namespace {

using std::chrono::seconds;

struct registry_fixture {
  void Put(const std::string& key, const std::string& value) {
    REQUIRE(store.Transact({}, {{key, value, false, 0}}).has_value());
  }

  /// Returns the change that the watch would deliver for a key.
  kv::change ChangeOf(const std::string& key) {
    return {store.Range(key, true).value().entries.at(0), false};
  }

  kv::change Delete(const std::string& key) {
    const std::uint64_t revision =
        store.Transact({}, {{key, "", true, 0}}).value();
    return {{key, "", 0, revision}, true};
  }

  std::vector<std::string> EndpointNames() const {
    std::vector<std::string> names;
    for (const auto& [name, service] : source->Value().services) {
      for (const endpoint_spec& endpoint : service.groups.at(0).endpoints) {
        names.push_back(endpoint.name);
      }
    }
    return names;
  }

  bool TryLoad() {
    return static_cast<bool>(Attempt([this] { return source->Load(); }));
  }

  kv::memory_store store;
  plain_decoder decoder;
  std::unique_ptr<catalogue_source> source = MakeRegistrySource(store, decoder);
};

using names = std::vector<std::string>;

}  // namespace

Test(registry_source, follows_declarations_and_endpoints) {
  registry_fixture s;
  s.Put("/endpoints/a", "host-a");
  REQUIRE(s.TryLoad());
  SECTION("a single read also returns the instances' own keys") {
    s.Put("/t/groups/g", "record");
    const std::uint64_t before = s.store.Calls();
    const auto range = Attempt([&] { return s.source->Load(); });
    REQUIRE(static_cast<bool>(range));
    EXPECT(s.store.Calls() - before == 1);
    EXPECT(std::any_of(
        range->entries.begin(), range->entries.end(),
        [](const kv::entry& entry) { return entry.key == "/t/groups/g"; }));
  }
  SECTION("endpoints without declarations make no catalogue") {
    EXPECT(s.source->Value().revision == 0);
  }
  SECTION("declarations and endpoints make a catalogue") {
    s.Put("/declared", "1");
    EXPECT(s.source->OnChange(s.ChangeOf("/declared")) ==
           source_change::kChanged);
    EXPECT(s.EndpointNames() == names{"a"});
  }
  SECTION("a further endpoint changes the catalogue and raises its revision") {
    const std::uint64_t before = s.source->Value().revision;
    s.Put("/endpoints/b", "host-b");
    EXPECT(s.source->OnChange(s.ChangeOf("/endpoints/b")) ==
           source_change::kChanged);
    EXPECT((s.EndpointNames() == names{"a", "b"}));
    EXPECT(s.source->Value().revision > before);
  }
  SECTION("a change delivered again has no effect") {
    EXPECT(s.source->OnChange(s.ChangeOf("/endpoints/b")) ==
           source_change::kNone);
  }
  SECTION("keys outside the registry have no effect") {
    s.Put("/elsewhere", "1");
    EXPECT(s.source->OnChange(s.ChangeOf("/elsewhere")) ==
           source_change::kNone);
  }
}

Test(registry_source, keeps_the_catalogue_during_store_failures) {
  registry_fixture s;
  s.Put("/declared", "1");
  s.Put("/endpoints/a", "host-a");
  REQUIRE(s.TryLoad());
  SECTION("a store outage") {
    s.store.SetDown(true);
    EXPECT(!s.TryLoad());
    EXPECT(s.EndpointNames() == names{"a"});
    s.store.SetDown(false);
  }
  SECTION("endpoints are kept for a time after the store has lost its keys") {
    s.store.EraseKeysSilently();
    REQUIRE(s.TryLoad());
    EXPECT(s.EndpointNames() == names{"a"});
    REQUIRE(s.source->NextTimerAt().has_value());
    EXPECT(s.source->OnTimer(BootTime()) == source_change::kNone);
  }
  SECTION("the timer ends when the endpoint is registered again") {
    s.Put("/endpoints/a", "host-a");
    s.source->OnChange(s.ChangeOf("/endpoints/a"));
    EXPECT(!s.source->NextTimerAt().has_value());
    EXPECT(s.EndpointNames() == names{"a"});
  }
}

// Guards against entries that are ignored because the store, after it went back
// to an older copy, gave their revisions out again.
Test(registry_source, follows_a_store_that_went_back) {
  registry_fixture s;
  s.Put("/declared", "1");
  const auto copy = s.store.Copy();
  s.Put("/endpoints/a", "host-a");
  s.Put("/endpoints/b", "host-b");
  s.Put("/endpoints/b", "");
  REQUIRE(s.TryLoad());
  REQUIRE(s.source->TakeFaults().size() == 1);
  s.store.GoBack(*copy);
  s.Put("/endpoints/a", "host-a2");
  s.Put("/endpoints/b", "host-b2");
  s.Put("/declared", "2");
  const std::uint64_t before = s.source->Value().revision;
  REQUIRE(s.TryLoad());
  SECTION("what it holds now is in force, whatever its revisions") {
    EXPECT((s.EndpointNames() == names{"a", "b"}));
    EXPECT(s.source->Value().declared_version == 2);
    EXPECT(s.source->Value().revision > before);
    const auto& endpoints =
        s.source->Value().services.at("store").groups.at(0).endpoints;
    EXPECT(endpoints.at(0).host == "host-a2");
    EXPECT(endpoints.at(1).host == "host-b2");
  }
  SECTION("changes after that read count") {
    s.Put("/endpoints/a", "host-a3");
    EXPECT(s.source->OnChange(s.ChangeOf("/endpoints/a")) ==
           source_change::kChanged);
  }
  SECTION("an unchanged read makes no other catalogue") {
    const std::uint64_t now = s.source->Value().revision;
    REQUIRE(s.TryLoad());
    EXPECT(s.source->Value().revision == now);
  }
  SECTION("older declarations do not come back") {
    s.store.GoBack(*copy);
    REQUIRE(s.TryLoad());
    EXPECT(s.source->Value().declared_version == 2);
  }
}

Test(registry_source, an_expiry_is_newer_than_catalogues_from_before_it) {
  registry_fixture s;
  s.Put("/declared", "1");
  s.Put("/endpoints/a", "host-a");
  REQUIRE(s.TryLoad());
  // Another instance starts later. Its catalogue has the revision of its own
  // read, and is passed on to all instances.
  s.Put("/elsewhere", "1");
  const auto other = MakeRegistrySource(s.store, s.decoder);
  REQUIRE(Attempt([&] { return other->Load(); }));
  const std::uint64_t passed_on = other->Value().revision;
  REQUIRE(s.source->Value().revision < passed_on);
  REQUIRE(s.source->OnChange(s.Delete("/endpoints/a")) == source_change::kNone);
  SECTION("the catalogue without the endpoint takes its place") {
    REQUIRE(s.source->OnTimer(BootTime() + seconds(3)) ==
            source_change::kChanged);
    EXPECT(s.EndpointNames().empty());
    EXPECT(s.source->Value().revision > passed_on);
  }
}

Test(registry_source, removes_endpoints_whose_entries_are_deleted) {
  registry_fixture s;
  s.Put("/declared", "1");
  s.Put("/endpoints/a", "host-a");
  s.Put("/endpoints/b", "leaving");
  REQUIRE(s.TryLoad());
  SECTION("a leaving endpoint is removed at once") {
    EXPECT(s.source->OnChange(s.Delete("/endpoints/b")) ==
           source_change::kChanged);
    EXPECT(s.EndpointNames() == names{"a"});
  }
  SECTION("any other endpoint is removed after the grace period") {
    EXPECT(s.source->OnChange(s.Delete("/endpoints/a")) ==
           source_change::kNone);
    EXPECT(s.EndpointNames() == names{"a"});
    EXPECT(s.source->OnTimer(BootTime() + seconds(3)) ==
           source_change::kChanged);
    EXPECT(s.EndpointNames().empty());
  }
}

Test(registry_source, malformed_entries_are_reported_and_not_used) {
  registry_fixture s;
  s.Put("/declared", "1");
  s.Put("/endpoints/a", "host-a");
  REQUIRE(s.TryLoad());
  REQUIRE(s.source->TakeFaults().empty());
  SECTION("the last valid declarations stay in force") {
    s.Put("/declared", "broken");
    EXPECT(s.source->OnChange(s.ChangeOf("/declared")) == source_change::kNone);
    EXPECT(s.source->Value().services.contains("store"));
    const auto faults = s.source->TakeFaults();
    REQUIRE(faults.size() == 1);
    EXPECT(faults[0].text == "/declared: no version");
  }
  SECTION("each revision of an entry is reported once") {
    REQUIRE(s.TryLoad());
    EXPECT(s.source->TakeFaults().empty());
    s.Put("/declared", "broken again");
    s.source->OnChange(s.ChangeOf("/declared"));
    EXPECT(s.source->TakeFaults().size() == 1);
  }
  SECTION(
      "an endpoint with a malformed entry is removed after the grace period") {
    s.Put("/endpoints/a", "");
    s.source->OnChange(s.ChangeOf("/endpoints/a"));
    EXPECT(s.source->TakeFaults().size() == 1);
    EXPECT(s.EndpointNames() == names{"a"});
    s.source->OnTimer(BootTime() + seconds(3));
    EXPECT(s.EndpointNames().empty());
  }
  SECTION("older declarations are ignored without a report") {
    s.Put("/declared", "0");
    EXPECT(s.source->OnChange(s.ChangeOf("/declared")) == source_change::kNone);
    EXPECT(s.source->TakeFaults().empty());
  }
}

}  // namespace marjoramslip::shell
