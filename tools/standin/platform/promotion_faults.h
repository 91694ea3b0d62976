// What goes wrong with calls that promote a database.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PROMOTION_FAULTS_H_
#define MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PROMOTION_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <mutex>
#include <string>
#include <vector>

#include "../json_text.h"
#include "line_group.h"

namespace standin {

/// What becomes of one call.
struct promotion_fault {
  int answer = 200;    ///< The status; 0: no answer.
  bool effect = true;  ///< Whether the database is promoted.
  std::chrono::milliseconds effect_late{0};
  std::chrono::milliseconds answer_late{0};
};

/// A call that names the database to promote.
struct promotion_call {
  std::string id;
  std::string holder;
  std::int64_t fence = 0;
};

/// Faults on command, one after the other. Safe for use by several threads.
class promotion_faults {
 public:
  /// Replaces the faults. One with `id` befalls only calls that name this
  /// database, one with `same` those of the first that it befell. Each has
  /// `answer`, `effect`, `effect_late_ms` and `answer_late_ms`, those of a call
  /// without a fault by default, and befalls `count` calls, or those of the
  /// next `for_ms`; both unlimited by default.
  void Set(const std::vector<json_object>& faults);
  /// What becomes of a call.
  promotion_fault Take(const promotion_call& call);
  /// The calls, in order.
  std::vector<promotion_call> Calls() const;

 private:
  struct entry {
    promotion_fault fault;
    std::int64_t left = std::numeric_limits<std::int64_t>::max();
    steady_time until = steady_time::max();
    bool same = false;
    std::string id;  ///< The database of the first call that it befell.
  };

  mutable std::mutex mutex_;
  std::deque<entry> faults_;
  std::vector<promotion_call> calls_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PROMOTION_FAULTS_H_
