// The databases of one service of the platform: their logs, roles and terms.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_GROUP_H_
#define MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_GROUP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standin {

using steady_time = std::chrono::steady_clock::time_point;

/// A place in the log of a service.
struct line_position {
  std::uint64_t term = 0;
  std::uint64_t number = 0;

  std::string Text() const;
};

/// Reads "TERM.NUMBER".
std::optional<line_position> ParseLinePosition(const std::string& text);

/// Items and what is written to them.
using line_writes = std::vector<std::pair<std::string, std::string>>;

/// What a database says of itself.
struct line_state {
  bool running = true;
  bool primary = false;
  line_position received;
  line_position held;
  /// The term under which it receives nothing more; 0: it receives.
  std::uint64_t paused = 0;
  std::chrono::milliseconds lag{0};
};

/// How a group behaves.
struct line_group_options {
  std::size_t databases = 3;
  std::chrono::milliseconds lag{20};      ///< From a commit to a replica's use.
  std::chrono::milliseconds delivery{2};  ///< From a commit to its receipt.
  std::chrono::milliseconds promotion{300};
  /// From a promotion to when the other replicas follow the new primary.
  std::chrono::milliseconds follow{0};
};

/// Time passes for a group when it is asked for something. Safe for use by
/// several threads. Databases are named by their index.
class line_group {
 public:
  explicit line_group(const line_group_options& options);

  std::size_t Size() const { return databases_.size(); }

  line_state State(std::size_t index);
  /// What the database holds of an item; empty text if nothing.
  std::string Read(std::size_t index, const std::string& item);
  /// True if the log reaches that far.
  bool Holds(std::size_t index, const line_position& position);
  /// Appends to the primary's log; false if it is no primary of that term.
  bool Commit(std::size_t index, std::uint64_t term, const line_writes& writes);

  void Pause(std::size_t index, std::uint64_t term);
  void Resume(std::size_t index);
  void StepDown(std::size_t index, std::uint64_t term);
  /// Takes effect a while later, and `late` after that; false if the database
  /// does not run. For the present primary nothing changes.
  bool Promote(std::size_t index, std::chrono::milliseconds late);

  void Crash(std::size_t index);
  void Start(std::size_t index);

 private:
  struct record {
    std::uint64_t id = 0;
    steady_time committed;
    line_writes writes;
  };

  struct database {
    bool running = true;
    bool primary = false;
    std::uint64_t paused = 0;  ///< The term of the pause; 0: none.
    std::uint64_t term = 1;
    std::vector<record> log;
    std::size_t held = 0;
    std::map<std::string, std::string> values;
    std::vector<steady_time> promotions;  ///< When they take effect.
  };

  database& Advanced(std::size_t index);
  void Advance(steady_time now);
  void FinishPromotions(steady_time now);
  void Lead(database& one, steady_time since);
  bool LeadsNewestTerm(const database& one) const;
  void Follow(database& replica, const database& leader, steady_time now) const;
  void Apply(database& replica, steady_time now) const;
  std::uint64_t NewestTerm() const;

  line_group_options options_;
  std::mutex mutex_;
  std::vector<database> databases_;
  std::uint64_t last_id_ = 0;
  steady_time led_since_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_GROUP_H_
