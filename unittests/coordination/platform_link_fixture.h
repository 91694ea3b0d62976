// A store with one release note and a platform link to it, for tests.

#ifndef MARJORAMSLIP_UNITTESTS_COORDINATION_PLATFORM_LINK_FIXTURE_H_
#define MARJORAMSLIP_UNITTESTS_COORDINATION_PLATFORM_LINK_FIXTURE_H_

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/core/record_codec.h"
#include "marjoramslip/kv/memory_store.h"
#include "marjoramslip/kv/note_store.h"
#include "recording_loop.h"
#include "story.h"

namespace marjoramslip::shell {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr char kPrefix[] = "/t/";

inline release_note MakeNote(std::uint64_t base, const std::string& name) {
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
  note.summary = "add";
  note.token = name;
  note.put = {service};
  return note;
}

/// A store with one accepted release note, and a platform link to it.
struct platform_link_fixture {
  platform_link_fixture() {
    Accept(0, "one");
    settings.name = "i-1";
    settings.failure_domain = "d";
    settings.key_prefix = kPrefix;
    settings.membership_lease = seconds(2);
    link = MakePlatformLink(settings, store, loop, "tcp://h:1");
  }

  void Accept(std::uint64_t base, const std::string& name) {
    const kv::note_store notes(store, kv::key_space(kPrefix));
    REQUIRE(notes.Accept(MakeNote(base, name), seconds(1)).has_value());
  }

  bool AwaitCatalogue(std::uint64_t revision) {
    return loop
        .Await<catalogue_seen>([&](const catalogue_seen& seen) {
          return seen.value.revision == revision;
        })
        .has_value();
  }

  bool AwaitMembers(std::size_t count) {
    return loop
        .Await<members_seen>([&](const members_seen& seen) {
          return seen.members.size() == count;
        })
        .has_value();
  }

  /// Waits until all keys were read again after the announcement. Returns false
  /// after 5 s.
  bool AwaitReload() {
    for (int i = 0; i < 500 && loop.Count<records_read>() < 2; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return loop.Count<records_read>() >= 2;
  }

  /// Waits until `count` seats are held. Returns false after 5 s.
  bool AwaitSeats(std::size_t count) {
    const std::string all = kv::key_space(kPrefix).Seats();
    for (int i = 0; i < 500; ++i) {
      if (store.Range(all, false).value().entries.size() == count) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  /// Writes the record of `group` and waits for the outcome.
  record_written Write(std::uint64_t expected, std::uint64_t writer) {
    write_record request;
    request.operation.value = ++operations;
    request.group = group;
    request.expected_revision = expected;
    request.record.term = writer;
    request.record.writer = writer;
    link->Write(request);
    return loop
        .Await<record_written>([&](const record_written& written) {
          return written.operation == request.operation;
        })
        .value();
  }

  kv::memory_store store;
  recording_loop loop;
  instance_settings settings;
  std::unique_ptr<platform_link> link;
  group_id group = IdOf<group_id>("one-g");
  std::uint64_t operations = 0;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_UNITTESTS_COORDINATION_PLATFORM_LINK_FIXTURE_H_
