// Release notes: parsing, formatting, and application to a catalogue.

#ifndef MARJORAMSLIP_CATALOGUE_RELEASE_NOTE_H_
#define MARJORAMSLIP_CATALOGUE_RELEASE_NOTE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/catalogue/catalogue.h"

namespace marjoramslip {

/// An error in a release note, with the path of the JSON field.
struct note_fault {
  std::string path;
  std::string message;
};

/// A release note: the services and endpoints to add, change or withdraw,
/// relative to a base revision of the catalogue.
struct release_note {
  /// The catalogue revision that the note was written against.
  std::uint64_t base = 0;
  std::string author;
  std::string summary;
  /// Unique for each application of a note. After a lost response it shows
  /// whether the note was accepted.
  std::string token;
  /// Services to add, or to replace completely.
  std::vector<service_spec> put;
  /// Names of services to withdraw.
  std::vector<std::string> withdraw;
  /// Names of endpoints to mark as leaving, and of those whose mark is removed.
  std::vector<std::string> leave;
  std::vector<std::string> stay;
};

/// A parsed note, with every fault found in it. `value` is valid if there is
/// none.
struct checked_note {
  release_note value;
  std::vector<note_fault> faults;
};

/// Parses a note from JSON with comments.
checked_note ParseNote(std::string_view text);

/// Formats a note as JSON that ParseNote accepts.
std::string FormatNote(const release_note& note);

/// A catalogue to which a note was applied, with every fault found meanwhile.
/// `value` is valid if there is none.
struct applied_note {
  catalogue value;
  std::vector<note_fault> faults;
};

/// Applies a note and reports every fault, one at "base" if the note was
/// written against another revision.
applied_note TryNote(const catalogue& base, const release_note& note);

/// Applies a note; the result has revision `base.revision + 1`. Fails with
/// kConflict if the note was written against another revision, and with
/// kInvalid if it names an unknown service or endpoint or the result is not
/// valid.
result<catalogue> ApplyNote(const catalogue& base, const release_note& note);

/// Describes the differences between two catalogues, one per line.
std::vector<std::string> DescribeChanges(const catalogue& from,
                                         const catalogue& to);

/// Formats a service as JSON, for its record in the store.
std::string FormatService(const service_spec& service);
/// Parses a service from JSON. Fails with kInvalid if a field is not valid.
result<service_spec> ParseService(std::string_view text);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CATALOGUE_RELEASE_NOTE_H_
