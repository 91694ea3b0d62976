// Release notes are accepted exactly once, even if requests or answers are
// lost.

#include "marjoramslip/kv/note_store.h"

#include <rapidcheck.h>

#include <thread>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/kv/memory_store.h"
#include "story.h"

namespace marjoramslip::kv {
namespace {

using std::chrono::milliseconds;

constexpr duration kTimeout = milliseconds(200);

release_note Note(std::uint64_t base, const std::string& name) {
  endpoint_spec endpoint;
  endpoint.name = name + "-a";
  endpoint.host = name;
  endpoint.port = 1;
  endpoint.failure_domain = "d";
  service_spec service;
  service.name = name;
  service.groups = {{name + "-g", {endpoint}}};
  release_note note;
  note.base = base;
  note.author = "desk";
  note.summary = "add " + name;
  note.token = "token of " + name;
  note.put = {service};
  return note;
}

/// Accepts a note and returns the kind of failure, or nothing on success.
std::optional<error_kind> Apply(const note_store& notes,
                                const release_note& note) {
  const auto done = Attempt([&] { return notes.Accept(note, kTimeout); });
  return done ? std::nullopt : std::optional(done.failure.kind);
}

}  // namespace

Test(note_store, notes_are_accepted_and_read_back) {
  memory_store store;
  const note_store notes(store, key_space("/t/"));
  EXPECT(notes.Load().value().value == catalogue{});
  EXPECT(notes.Accept(Note(0, "one"), kTimeout).value() == 1);
  EXPECT(notes.Accept(Note(1, "two"), kTimeout).value() == 2);
  const auto loaded = notes.Load().value();
  EXPECT(loaded.value.revision == 2 && loaded.value.services.size() == 2);
  EXPECT(notes.CatalogueAt(2).value() == loaded.value);
  EXPECT(notes.CatalogueAt(1).value().services.size() == 1);
  EXPECT(!notes.CatalogueAt(3));
  REQUIRE(notes.History().value().size() == 2);
  EXPECT(notes.History().value()[1].note.summary == "add two");
  SECTION("a withdrawn service is removed") {
    release_note note = Note(2, "none");
    note.put.clear();
    note.withdraw = {"one"};
    EXPECT(!Apply(notes, note).has_value());
    EXPECT(notes.Load().value().value == notes.CatalogueAt(3).value());
  }
}

Test(note_store, rejections_have_the_right_error_kind) {
  memory_store store;
  const note_store notes(store, key_space("/t/"));
  REQUIRE(!Apply(notes, Note(0, "one")).has_value());
  EXPECT(Apply(notes, Note(0, "two")) == error_kind::kConflict);
  EXPECT(Apply(notes, Note(7, "two")) == error_kind::kConflict);
  SECTION("accepting the same note again returns its revision") {
    EXPECT(notes.Accept(Note(0, "one"), kTimeout).value() == 1);
  }
  SECTION("notes that cannot be applied") {
    release_note note = Note(1, "two");
    note.withdraw = {"nothing"};
    EXPECT(Apply(notes, note) == error_kind::kInvalid);
    note = Note(1, "two");
    note.token.clear();
    EXPECT(Apply(notes, note) == error_kind::kInvalid);
  }
  SECTION("the service is down") {
    store.SetDown(true);
    EXPECT(Apply(notes, Note(1, "two")) == error_kind::kUnavailable);
  }
}

Test(note_store, lost_answers_are_resolved) {
  memory_store store;
  const note_store notes(store, key_space("/t/"));
  SECTION("the write took effect") {
    store.DropAnswers(1);
    EXPECT(notes.Accept(Note(0, "one"), kTimeout).value() == 1);
  }
  SECTION("the write did not take effect") {
    store.DropRequests(2);
    EXPECT(notes.Accept(Note(1, "two"), kTimeout).value() == 2);
  }
  SECTION("the outcome stays unknown until the timeout") {
    store.DropRequests(1000);
    EXPECT(Apply(notes, Note(2, "three")) == error_kind::kUnknown);
    store.DropRequests(0);
  }
  EXPECT(notes.Load().value().value.revision == 2);
  EXPECT(notes.History().value().size() == 2);
}

Test(note_store, one_of_several_concurrent_notes_is_accepted) {
  const bool holds = rc::check("one note per revision", [] {
    memory_store store;
    const note_store notes(store, key_space("/t/"));
    store.DropAnswers(*rc::gen::inRange(0, 3));
    store.DropRequests(*rc::gen::inRange(0, 3));
    constexpr int kOperators = 3;
    std::array<std::optional<error_kind>, kOperators> outcomes;
    std::vector<std::thread> operators;
    for (int i = 0; i < kOperators; ++i) {
      operators.emplace_back([&, i] {
        outcomes[static_cast<std::size_t>(i)] =
            Apply(notes, Note(0, "service-" + std::to_string(i)));
      });
    }
    for (std::thread& one : operators) {
      one.join();
    }
    const auto history = notes.History().value();
    RC_ASSERT(history.size() == 1U);
    for (int i = 0; i < kOperators; ++i) {
      const auto& outcome = outcomes[static_cast<std::size_t>(i)];
      const bool won =
          history[0].note.token == "token of service-" + std::to_string(i);
      RC_ASSERT(outcome ==
                (won ? std::nullopt : std::optional(error_kind::kConflict)));
    }
  });
  EXPECT(holds);
}

Test(memory_store, watches_deliver_in_order) {
  memory_store store;
  REQUIRE(store.Transact({}, {{"/a", "1", false, 0}}).has_value());
  std::mutex mutex;
  std::vector<std::string> seen;
  auto watch = store.Watch(
      "/", 2,
      [&](const change& reported) {
        const std::lock_guard lock(mutex);
        seen.push_back(reported.current_entry.key +
                       (reported.erased ? "-" : reported.current_entry.value));
      },
      [] {});
  const auto lease = store.GrantLease(std::chrono::seconds(1)).value();
  REQUIRE(store.Transact({}, {{"/b", "2", false, lease}}).has_value());
  REQUIRE(store.Transact({}, {{"c", "3", false, 0}}).has_value());
  store.ExpireLeases();
  for (int i = 0; i < 100; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
    const std::lock_guard lock(mutex);
    if (seen.size() >= 3) {
      break;
    }
  }
  const std::lock_guard lock(mutex);
  EXPECT((seen == std::vector<std::string>{"/a1", "/b2", "/b-"}));
  EXPECT(!store.KeepAlive(lease));
}

}  // namespace marjoramslip::kv
