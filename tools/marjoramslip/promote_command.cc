// Asks for a planned change of primary and waits for it.

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

#include "arguments.h"
#include "commands.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/core/record_codec.h"
#include "marjoramslip/kv/note_store.h"
#include "store_access.h"

namespace marjoramslip::cli {
namespace {

using clock = std::chrono::steady_clock;

constexpr duration kSettlePatience = std::chrono::seconds(5);
constexpr duration kChangePatience = std::chrono::seconds(30);
constexpr duration kPollPause = std::chrono::milliseconds(200);

std::uint64_t RandomWriter() {
  std::random_device source;
  std::uniform_int_distribution<std::uint64_t> any(1);
  return any(source);
}

/// The endpoint's id, 0 if none is named; kInvalid if the group has none of
/// that name that stays.
result<endpoint_id> FindCandidate(const catalogue& value,
                                  const std::string& group_name,
                                  const std::string& endpoint_name) {
  for (const auto& [service_name, service] : value.services) {
    for (const group_spec& group : service.groups) {
      if (group.name != group_name) {
        continue;
      }
      if (endpoint_name.empty()) {
        return endpoint_id{};
      }
      for (const endpoint_spec& endpoint : group.endpoints) {
        if (endpoint.name == endpoint_name && !endpoint.leaving) {
          return endpoint.Id();
        }
      }
      return Fail(error_kind::kInvalid, std::string(group_name)
                                            .append(" has no endpoint ")
                                            .append(endpoint_name)
                                            .append(" that stays"));
    }
  }
  return Fail(error_kind::kInvalid, "there is no group " + group_name);
}

/// One planned change of a group's primary.
class planned_change {
 public:
  planned_change(kv::key_value_store& store, std::string key)
      : store_(store), key_(std::move(key)) {}

  /// Reads the record; kConflict if it is not open or `candidate` is primary.
  result<void> Prepare(endpoint_id candidate) {
    BOOST_LEAF_ASSIGN(before_, Read());
    const group_record& now = before_.record;
    if (before_.revision == 0) {
      return Fail(error_kind::kConflict, "the group has no primary yet");
    }
    if (now.phase != group_phase::kOpen) {
      return Fail(error_kind::kConflict, "its primary is being changed");
    }
    if (now.primary == candidate) {
      return Fail(error_kind::kConflict, "it is the primary already");
    }
    next_ = now;
    next_.phase = group_phase::kDraining;
    next_.candidate = candidate;
    next_.candidate_chosen = false;
    next_.writer = RandomWriter();
    return {};
  }

  /// Writes the request by compare-and-swap and settles a lost answer.
  result<void> Request() {
    const auto end = clock::now() + kSettlePatience;
    bool may_have_run = false;
    while (true) {
      const auto written = Attempt([this] {
        return store_.Transact({{key_, before_.revision}},
                               {{key_, FormatRecord(next_), false, 0}});
      });
      if (written) {
        return {};
      }
      may_have_run = may_have_run || written.Failed(error_kind::kUnknown);
      if (!may_have_run) {
        return Fail(written.failure.kind, written.failure.message);
      }
      const auto found = Attempt([this] { return Read(); });
      if (found && found->record.writer == next_.writer) {
        return {};
      }
      // Another's write may have followed ours: that cannot be told.
      const bool moved = found && found->revision != before_.revision;
      if (moved || clock::now() > end) {
        return Fail(error_kind::kUnknown, written.failure.message);
      }
      std::this_thread::sleep_for(kPollPause);
    }
  }

  /// Waits until the group is open again.
  exit_code Await() {
    const auto end = clock::now() + kChangePatience;
    while (clock::now() < end) {
      const auto found = Attempt([this] { return Read(); });
      if (found && found->record.term > before_.record.term &&
          found->record.phase == group_phase::kOpen) {
        std::cout << "open at term " << found->record.term << "\n";
        return kDone;
      }
      if (found && found->record.term == before_.record.term &&
          found->record.phase == group_phase::kOpen) {
        Complain(kRefused, "given up, the old primary goes on");
        return kRefused;
      }
      std::this_thread::sleep_for(kPollPause);
    }
    Complain(kUnknown, "not settled within 30 seconds; it may yet happen");
    return kUnknown;
  }

 private:
  result<versioned_record> Read() {
    BOOST_LEAF_AUTO(found, store_.Range(key_, true));
    if (found.entries.empty()) {
      return versioned_record{};
    }
    BOOST_LEAF_AUTO(record, ParseRecord(found.entries[0].value));
    return versioned_record{std::move(record), found.entries[0].mod_revision};
  }

  kv::key_value_store& store_;
  std::string key_;
  versioned_record before_;
  group_record next_;
};

}  // namespace

int RunPromote(const command_words& words) {
  store_access access;
  const arguments read = ReadArguments(words, access.Options());
  if (!read.sound) {
    return kBadInput;
  }
  if (read.words.empty() || read.words.size() > 2) {
    std::cerr << HelpFor("promote");
    return kBadInput;
  }
  if (!access.Open()) {
    return kBadInput;
  }
  const std::string& group = read.words[0];
  const std::string endpoint = read.words.size() > 1 ? read.words[1] : "";
  const kv::note_store notes(access.Store(), access.Keys());
  planned_change change(access.Store(), access.Keys().Group(group));
  const auto asked = Attempt([&]() -> result<void> {
    BOOST_LEAF_AUTO(loaded, notes.Load());
    BOOST_LEAF_AUTO(candidate, FindCandidate(loaded.value, group, endpoint));
    BOOST_LEAF_CHECK(change.Prepare(candidate));
    return change.Request();
  });
  if (asked.Failed(error_kind::kInvalid)) {
    return Complain(kBadInput, asked.failure.message);
  }
  return asked ? change.Await() : Explain(asked.failure);
}

}  // namespace marjoramslip::cli
