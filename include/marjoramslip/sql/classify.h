// Decides from a statement's parse tree how it is to be handled.

#ifndef MARJORAMSLIP_SQL_CLASSIFY_H_
#define MARJORAMSLIP_SQL_CLASSIFY_H_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjoramslip::sql {

/// What a statement is.
enum class statement_class : std::uint8_t {
  kEmpty,  ///< Nothing but white space or comments.
  kRead,   ///< Provably a plain read.
  kWrite,  ///< Anything not proved to be something else.
  kBegin,
  kCommit,
  kRollback,
  kSetOwn,       ///< SET of a `marjoramslip.` setting; served here.
  kShowOwn,      ///< SHOW of a `marjoramslip.` setting; served here.
  kSetOther,     ///< SET, RESET or SHOW of anything else.
  kUnsupported,  ///< Cannot be served through a pool: LISTEN, COPY, ...
  kMixed,        ///< Several statements with transaction control among them.
  kInvalid,      ///< Does not parse.
};

/// A classified statement.
struct classification {
  statement_class kind = statement_class::kWrite;
  /// For kSetOwn and kShowOwn: the setting, lower case, without the prefix.
  /// For kSetOther: the setting, lower case; "all" for RESET ALL.
  std::string setting;
  /// For kSetOwn and kSetOther: its value; empty for DEFAULT.
  std::string value;
  /// For kSetOwn and kSetOther: the command tag, "SET", "RESET" or "SHOW".
  std::string tag;
  /// True for ROLLBACK TO SAVEPOINT: it may mend a failed transaction.
  bool to_savepoint = false;
  /// False if the statement may have taken effect in part when it fails
  /// outside a transaction, as CALL or CREATE INDEX CONCURRENTLY may.
  bool atomic = true;
  /// For kInvalid and kUnsupported: a sentence for the caller.
  std::string message;
};

/// Classifies by the parse tree; never caches.
classification Classify(std::string_view text);

/// A bounded least-recently-used cache of classifications by text. Not safe
/// for concurrent use.
class classifier {
 public:
  /// Remembers at most `entries` texts of at most `text_limit` bytes each.
  explicit classifier(std::size_t entries = 4096,
                      std::size_t text_limit = 4096);

  /// The class of `text`; valid until the next call.
  const classification& Get(std::string_view text);

  std::uint64_t Hits() const { return hits_; }
  std::uint64_t Misses() const { return misses_; }

 private:
  struct entry {
    std::string text;
    classification value;
  };

  std::size_t entries_;
  std::size_t text_limit_;
  std::list<entry> order_;
  std::unordered_map<std::string_view, std::list<entry>::iterator> index_;
  classification scratch_;
  std::uint64_t hits_ = 0;
  std::uint64_t misses_ = 0;
};

}  // namespace marjoramslip::sql

#endif  // MARJORAMSLIP_SQL_CLASSIFY_H_
