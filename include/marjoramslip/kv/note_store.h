// Stores release notes in the key-value service: a log of notes, the newest
// revision, and one record per service.

#ifndef MARJORAMSLIP_KV_NOTE_STORE_H_
#define MARJORAMSLIP_KV_NOTE_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/catalogue/release_note.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::kv {

/// The newest catalogue and the revisions at which it was read.
struct stored_catalogue {
  catalogue value;
  /// The mod_revision of the head key; 0 before the first note.
  std::uint64_t head_revision = 0;
  /// The store's revision at which all of the catalogue was read.
  std::uint64_t store_revision = 0;
};

/// An accepted release note and the catalogue revision that it created.
struct accepted_note {
  std::uint64_t revision = 0;
  release_note note;
};

/// Reads and accepts release notes. Each method makes one or a few calls to the
/// service.
class note_store {
 public:
  /// `store` must outlive the note store.
  note_store(key_value_store& store, key_space keys);

  /// Reads the newest catalogue. Fails with kUnavailable, or with kInternal if
  /// the stored data is malformed.
  result<stored_catalogue> Load() const;

  /// Returns all accepted notes, oldest first.
  result<std::vector<accepted_note>> History() const;

  /// Rebuilds the catalogue at a revision from the history. Fails with kInvalid
  /// if the revision does not exist.
  result<catalogue> CatalogueAt(std::uint64_t revision) const;

  /// Accepts a note in one transaction and returns its revision. Fails with
  /// kConflict if the note is not based on the newest revision, kInvalid if it
  /// cannot be applied, and kUnavailable if it had no effect. If an answer is
  /// lost, the note's token shows whether the note was accepted; retries for up
  /// to `timeout`, then fails with kUnknown. A note is never accepted twice.
  result<std::uint64_t> Accept(const release_note& note,
                               duration timeout) const;

  /// Parses a log entry.
  static result<release_note> ParseEntry(const entry& stored);

 private:
  /// Whether the log entry of a revision holds the given note.
  enum class entry_state : std::uint8_t { kAbsent, kSameNote, kOtherNote };

  /// Compares the log entry of the revision after `note.base` with `note`.
  result<entry_state> CheckLogEntry(const release_note& note) const;
  /// Builds the writes that change catalogue `from` to `to`.
  result<std::vector<mutation>> BuildWrites(const catalogue& from,
                                            const catalogue& to,
                                            const release_note& note) const;
  /// Repeats the transaction until its outcome is known or `timeout` is over.
  result<std::uint64_t> CommitWithRetry(
      const release_note& note, const std::vector<condition>& conditions,
      const std::vector<mutation>& writes, duration timeout) const;

  key_value_store& store_;
  key_space keys_;
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_NOTE_STORE_H_
