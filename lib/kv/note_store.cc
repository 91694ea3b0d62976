// Reads the newest catalogue and accepts release notes by compare-and-swap.

#include "marjoramslip/kv/note_store.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "marjoramslip/base/attempt.h"
#include "note_records.h"

namespace marjoramslip::kv {
namespace {

constexpr int kLoadAttempts = 5;
/// Maximum size of a value in the service.
constexpr std::size_t kMaxValueBytes = 1'000'000;
/// Maximum number of writes that the service accepts in one transaction.
constexpr std::size_t kMaxTransactionWrites = 128;
constexpr duration kMinPause = std::chrono::milliseconds(20);
constexpr duration kMaxPause = std::chrono::milliseconds(500);

result<std::uint64_t> ParseHeadRevision(const range_result& head) {
  if (head.entries.empty()) {
    return std::uint64_t{0};
  }
  return ParseHead(head.entries[0].value);
}

std::uint64_t ModRevisionOf(const range_result& exact) {
  return exact.entries.empty() ? 0 : exact.entries[0].mod_revision;
}

}  // namespace

note_store::note_store(key_value_store& store, key_space keys)
    : store_(store), keys_(std::move(keys)) {}

result<stored_catalogue> note_store::Load() const {
  for (int attempt = 0; attempt < kLoadAttempts; ++attempt) {
    BOOST_LEAF_AUTO(services, store_.Range(keys_.Services(), false));
    BOOST_LEAF_AUTO(head, store_.Range(keys_.Head(), true));
    // Each note changes the head. If the head has not changed since the
    // services were read, both belong to the same revision.
    if (ModRevisionOf(head) > services.revision) {
      continue;
    }
    stored_catalogue loaded;
    loaded.head_revision = ModRevisionOf(head);
    loaded.store_revision = services.revision;
    BOOST_LEAF_ASSIGN(loaded.value.revision, ParseHeadRevision(head));
    for (const entry& item : services.entries) {
      BOOST_LEAF_AUTO(record, ParseServiceRecord(item.value));
      std::string name = record.service.name;
      loaded.value.services[std::move(name)] = std::move(record.service);
    }
    return loaded;
  }
  return Fail(error_kind::kUnavailable,
              "release notes changed during every attempt to read them");
}

result<release_note> note_store::ParseEntry(const entry& stored) {
  checked_note checked = ParseNote(stored.value);
  if (!checked.faults.empty()) {
    return Fail(error_kind::kInternal,
                "the stored note " + stored.key + " cannot be read: " +
                    checked.faults[0].path + " " + checked.faults[0].message);
  }
  return std::move(checked.value);
}

result<std::vector<accepted_note>> note_store::History() const {
  BOOST_LEAF_AUTO(log, store_.Range(keys_.Log(), false));
  std::vector<accepted_note> notes;
  notes.reserve(log.entries.size());
  for (const entry& item : log.entries) {
    BOOST_LEAF_AUTO(note, ParseEntry(item));
    const std::uint64_t revision = note.base + 1;
    notes.push_back({revision, std::move(note)});
  }
  return notes;
}

result<catalogue> note_store::CatalogueAt(std::uint64_t revision) const {
  BOOST_LEAF_AUTO(notes, History());
  catalogue value;
  for (const accepted_note& item : notes) {
    if (item.revision > revision) {
      break;
    }
    BOOST_LEAF_ASSIGN(value, ApplyNote(value, item.note));
  }
  if (value.revision != revision) {
    return Fail(error_kind::kInvalid,
                "there is no revision " + std::to_string(revision) +
                    "; the newest is " + std::to_string(value.revision));
  }
  return value;
}

result<std::vector<mutation>> note_store::BuildWrites(
    const catalogue& from, const catalogue& to,
    const release_note& note) const {
  std::vector<mutation> writes;
  for (const auto& [name, service] : from.services) {
    if (!to.services.contains(name)) {
      writes.push_back({keys_.Service(name), "", true, 0});
    }
  }
  for (const auto& [name, service] : to.services) {
    const auto before = from.services.find(name);
    if (before == from.services.end() || before->second != service) {
      writes.push_back({keys_.Service(name),
                        FormatServiceRecord({to.revision, service}), false, 0});
    }
  }
  writes.push_back({keys_.LogEntry(to.revision), FormatNote(note), false, 0});
  writes.push_back({keys_.Head(), FormatHead(to.revision), false, 0});
  if (writes.size() > kMaxTransactionWrites) {
    return Fail(error_kind::kInvalid,
                "the note changes too many services; split it");
  }
  for (const mutation& item : writes) {
    if (item.value.size() > kMaxValueBytes) {
      return Fail(
          error_kind::kInvalid,
          item.key +
              " would exceed the value size limit of the key-value service");
    }
  }
  return writes;
}

result<note_store::entry_state> note_store::CheckLogEntry(
    const release_note& note) const {
  BOOST_LEAF_AUTO(found, store_.Range(keys_.LogEntry(note.base + 1), true));
  if (found.entries.empty()) {
    return entry_state::kAbsent;
  }
  BOOST_LEAF_AUTO(stored, ParseEntry(found.entries[0]));
  return stored.token == note.token ? entry_state::kSameNote
                                    : entry_state::kOtherNote;
}

result<std::uint64_t> note_store::CommitWithRetry(
    const release_note& note, const std::vector<condition>& conditions,
    const std::vector<mutation>& writes, duration timeout) const {
  const auto end = std::chrono::steady_clock::now() + timeout;
  duration pause = kMinPause;
  bool may_have_run = false;
  while (true) {
    // Repeating is safe: the conditions let the transaction take effect only
    // once.
    const auto written =
        Attempt([&] { return store_.Transact(conditions, writes); });
    const bool conflict = written.Failed(error_kind::kConflict);
    if (written) {
      return note.base + 1;
    }
    if (!conflict && !may_have_run && !written.Failed(error_kind::kUnknown)) {
      return Fail(written.failure.kind, written.failure.message);
    }
    may_have_run = may_have_run || written.Failed(error_kind::kUnknown);
    const auto state = Attempt([&] { return CheckLogEntry(note); });
    if (state && *state == entry_state::kSameNote) {
      return note.base + 1;
    }
    // Log entries are never deleted, so another note at this revision means
    // that this one cannot be accepted any more.
    const bool superseded = state && *state == entry_state::kOtherNote;
    if (superseded || (conflict && !may_have_run)) {
      return Fail(
          error_kind::kConflict,
          "another note was accepted on revision " + std::to_string(note.base));
    }
    if (std::chrono::steady_clock::now() + pause > end) {
      return Fail(error_kind::kUnknown, written.failure.message);
    }
    std::this_thread::sleep_for(pause);
    pause = std::min(pause * 2, kMaxPause);
  }
}

result<std::uint64_t> note_store::Accept(const release_note& note,
                                         duration timeout) const {
  if (note.token.empty()) {
    return Fail(error_kind::kInvalid, "the note has no token");
  }
  BOOST_LEAF_AUTO(stored, Load());
  if (stored.value.revision > note.base) {
    BOOST_LEAF_AUTO(state, CheckLogEntry(note));
    if (state == entry_state::kSameNote) {
      return note.base + 1;
    }
  }
  BOOST_LEAF_AUTO(next, ApplyNote(stored.value, note));
  BOOST_LEAF_AUTO(writes, BuildWrites(stored.value, next, note));
  const std::vector<condition> conditions = {
      {keys_.Head(), stored.head_revision}, {keys_.LogEntry(next.revision), 0}};
  return CommitWithRetry(note, conditions, writes, timeout);
}

}  // namespace marjoramslip::kv
