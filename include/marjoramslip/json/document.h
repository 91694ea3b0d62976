// JSON with comments, read with every fault named by its path.

#ifndef MARJORAMSLIP_JSON_DOCUMENT_H_
#define MARJORAMSLIP_JSON_DOCUMENT_H_

#include <Poco/Dynamic/Var.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramslip::json {

/// Whether a document can be used in spite of a problem.
enum class severity : std::uint8_t {
  kError,    ///< The document, or an entry of it, cannot be used.
  kWarning,  ///< It is used as it stands, but hardly as it was meant.
};

/// One thing wrong with a document.
struct problem {
  std::string path;  ///< Such as "put[0].name"; empty for the whole.
  std::string message;
  severity level = severity::kError;

  bool operator==(const problem&) const = default;
};

/// Where a value stands in its document, and where its faults are collected.
class place {
 public:
  /// The whole document. `problems` must outlive the place.
  explicit place(std::vector<problem>& problems) : problems_(&problems) {}

  place Member(std::string_view key) const;
  place Item(std::size_t index) const;

  const std::string& Path() const { return path_; }

  /// Adds a fault at this place.
  void Fault(std::string message) const;
  /// Adds a warning at this place.
  void Warn(std::string message) const;

 private:
  place(std::string path, std::vector<problem>* problems);

  std::string path_;
  std::vector<problem>* problems_;
};

/// Reads a document. Comments are /* ... */ and // to the end of the line.
/// Faults of syntax and keys that occur twice go to `problems`. Empty if the
/// text cannot be read.
Poco::Dynamic::Var ParseDocument(std::string_view text,
                                 std::vector<problem>& problems);

/// Warns of keys that occur twice within an object, for readers that take the
/// last one. Does nothing if the text cannot be read.
void WarnOfRepeatedKeys(std::string_view text, std::vector<problem>& problems);

/// Writes a document. With `indent` 0 it takes one line.
std::string FormatDocument(const Poco::Dynamic::Var& document,
                           unsigned indent = 0);

/// Replaces comments by blanks, so that lines and columns stay as they are.
std::string BlankComments(std::string_view text);

/// The candidate with the least edit distance to `word`; empty if there is
/// none that resembles it.
std::string_view Nearest(std::string_view word,
                         std::span<const std::string_view> candidates);

/// All problems as one text, for an error's message.
std::string Summarize(const std::vector<problem>& problems);

}  // namespace marjoramslip::json

#endif  // MARJORAMSLIP_JSON_DOCUMENT_H_
