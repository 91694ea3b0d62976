// Tests of parsing, applying and describing release notes.

#include "marjoramslip/catalogue/release_note.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "story.h"

namespace marjoramslip {
namespace {

group_spec MakeGroup(const std::string& name, int first_port) {
  group_spec group{name, {}};
  for (const char* letter : {"a", "b", "c"}) {
    endpoint_spec endpoint;
    endpoint.name = name + "-" + letter;
    endpoint.host = "127.0.0.1";
    endpoint.port = static_cast<std::uint16_t>(first_port++);
    endpoint.failure_domain = "caerdydd";
    group.endpoints.push_back(endpoint);
  }
  return group;
}

release_note MakeFirstNote() {
  release_note note;
  note.author = "desk";
  note.summary = "first";
  note.token = "t-1";
  service_spec service;
  service.name = "tollau-ledger";
  service.groups = {MakeGroup("ledger-1", 5001), MakeGroup("ledger-2", 5011)};
  service.pins["brewer"] = "ledger-2";
  note.put = {service};
  return note;
}

release_note MakeNoteOn(const catalogue& base) {
  release_note note;
  note.base = base.revision;
  return note;
}

/// Returns the kind of error with which ApplyNote fails; empty if it succeeds.
std::optional<error_kind> ApplyFailure(const catalogue& base,
                                       const release_note& note) {
  return leaf::try_handle_all(
      [&]() -> result<std::optional<error_kind>> {
        BOOST_LEAF_CHECK(ApplyNote(base, note));
        return std::optional<error_kind>();
      },
      [](const error& e) { return std::optional(e.kind); },
      [] { return std::optional(error_kind::kInternal); });
}

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(MARJORAMSLIP_EXAMPLES) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Test(release_note, text_round_trips) {
  const release_note note = MakeFirstNote();
  const checked_note parsed = ParseNote(FormatNote(note));
  REQUIRE(parsed.faults.empty());
  EXPECT(parsed.value.put == note.put);
  EXPECT(parsed.value.token == note.token);
  EXPECT(ParseService(FormatService(note.put[0])).value() == note.put[0]);
  EXPECT(!ParseService("{}"));
}

Test(release_note, parsing_reports_every_fault) {
  const checked_note checked = ParseNote(R"({"base": -1, "author": "a",
    "put": [{"name": "x y", "ack": "all", "groups": [{"name": "g",
      "endpoints": [{"name": "e", "host": "h", "port": 0,
                     "failure_domian": "d"}]}]}]})");
  std::vector<std::string> paths;
  for (const note_fault& fault : checked.faults) {
    paths.push_back(fault.path);
  }
  for (const char* path : {"base", "summary", "put[0].name", "put[0].ack",
                           "put[0].groups[0].endpoints[0].port",
                           "put[0].groups[0].endpoints[0].failure_domain",
                           "put[0].groups[0].endpoints[0].failure_domian"}) {
    EXPECT(std::find(paths.begin(), paths.end(), path) != paths.end());
  }
  EXPECT(paths.size() == 7);
  EXPECT(!ParseNote(R"({"base": 0, "author": "a", "summary": "s"})")
              .faults.empty());
}

Test(release_note, applying_a_note_keeps_the_catalogue_valid) {
  const catalogue first = ApplyNote({}, MakeFirstNote()).value();
  REQUIRE(first.revision == 1);
  SECTION("a note on another base revision is a conflict") {
    EXPECT(ApplyFailure(first, MakeFirstNote()) == error_kind::kConflict);
  }
  SECTION("an endpoint is marked as leaving, and unmarked again") {
    release_note note = MakeNoteOn(first);
    note.leave = {"ledger-1-b"};
    const catalogue second = ApplyNote(first, note).value();
    const auto& groups = second.services.at("tollau-ledger").groups;
    EXPECT(groups[0].endpoints[1].leaving);
    release_note unmark = MakeNoteOn(second);
    unmark.stay = {"ledger-1-b"};
    EXPECT(ApplyNote(second, unmark).value().services == first.services);
    SECTION("not all endpoints of a group may leave") {
      note.leave = {"ledger-1-a", "ledger-1-b", "ledger-1-c"};
      EXPECT(ApplyFailure(first, note) == error_kind::kInvalid);
    }
    SECTION(
        "an endpoint in both leave and stay, or an unknown one, is invalid") {
      note.stay = note.leave = {"ledger-1-b"};
      EXPECT(ApplyFailure(first, note) == error_kind::kInvalid);
      note.stay.clear();
      note.leave = {"ledger-9-a"};
      EXPECT(ApplyFailure(first, note) == error_kind::kInvalid);
    }
  }
  SECTION("names must be unique across all services") {
    release_note note = MakeNoteOn(first);
    note.put = MakeFirstNote().put;
    note.put[0].name = "other";
    EXPECT(ApplyFailure(first, note) == error_kind::kInvalid);
    note.withdraw = {"tollau-ledger"};
    EXPECT(!ApplyFailure(first, note).has_value());
  }
  SECTION("two endpoints must not share an address") {
    release_note note = MakeFirstNote();
    note.put[0].groups[1].endpoints[0].port = 5001;
    EXPECT(ApplyFailure({}, note) == error_kind::kInvalid);
  }
  SECTION("pins must name groups of the service") {
    release_note note = MakeFirstNote();
    note.put[0].pins["brewer"] = "ledger-3";
    EXPECT(ApplyFailure({}, note) == error_kind::kInvalid);
  }
  SECTION("a note may change a group by one endpoint only") {
    release_note note = MakeNoteOn(first);
    note.put = MakeFirstNote().put;
    note.put[0].groups[0].endpoints.pop_back();
    EXPECT(!ApplyFailure(first, note).has_value());
    note.put[0].groups[0].endpoints.push_back(
        MakeGroup("new", 6001).endpoints[0]);
    EXPECT(ApplyFailure(first, note) == error_kind::kInvalid);
  }
}

Test(release_note, changes_are_described) {
  const catalogue first = ApplyNote({}, MakeFirstNote()).value();
  EXPECT(DescribeChanges({}, first).size() == 7);
  EXPECT(DescribeChanges(first, first).empty());
  catalogue second = first;
  second.services.at("tollau-ledger").ack = ack_policy::kPrimary;
  const auto lines = DescribeChanges(first, second);
  REQUIRE(lines.size() == 1);
  EXPECT(lines[0] == "~ service tollau-ledger ack: \"replica\" -> \"primary\"");
  EXPECT(DescribeChanges(first, {})[0] == "- service tollau-ledger");
}

Test(catalogue, tenants_map_to_groups) {
  service_spec service = MakeFirstNote().put[0];
  EXPECT(GroupForTenant(service, "brewer")->name == "ledger-2");
  EXPECT(GroupForTenant(service_spec{}, "brewer") == nullptr);
  int moved = 0;
  service_spec larger = service;
  larger.groups.push_back(MakeGroup("ledger-3", 5021));
  constexpr int kTenants = 600;
  for (int i = 0; i < kTenants; ++i) {
    const std::string tenant = "tenant-" + std::to_string(i);
    const std::string& before = GroupForTenant(service, tenant)->name;
    const std::string& after = GroupForTenant(larger, tenant)->name;
    moved += before == after ? 0 : 1;
    EXPECT(before == after || after == "ledger-3");
  }
  SECTION("a new group takes about its share, and no other tenant moves") {
    EXPECT(moved > kTenants / 4 && moved < kTenants / 2);
  }
}

Test(release_note, the_examples_are_valid) {
  for (const char* name : {"cyd-gwirod.note.json", "tadamun.note.json"}) {
    const checked_note checked = ParseNote(ReadExample(name));
    REQUIRE(checked.faults.empty());
    EXPECT(!ApplyFailure({}, checked.value).has_value());
    EXPECT(checked.value.put[0].groups.size() == 3);
  }
}

}  // namespace marjoramslip
