// Stores the floors of named sessions in bounded memory.

#ifndef MARJORAMSLIP_LIB_CORE_SESSION_STORE_H_
#define MARJORAMSLIP_LIB_CORE_SESSION_STORE_H_

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// The floor of a session: the log position that its reads must at least
/// include.
struct session_floor {
  /// Position of the session's last acknowledged write.
  log_point last_write_point;
  /// Sampled position of the primary that includes every write acknowledged
  /// before the session's first statement.
  log_point base;
  /// True once `base` is known.
  bool sampled = false;
  /// When this instance last acknowledged a write of the session.
  std::optional<instant> last_write_at;
};

/// Maps (session name, group) to the session's floor. Evicts the least recently
/// used entry when the limit on entries is reached.
class session_store {
 public:
  explicit session_store(std::size_t limit) : limit_(limit) {}

  /// Returns the session's floor and marks it as used. Null if there is none.
  session_floor* Find(std::string_view session, group_id group);

  /// Returns the session's floor, creating it if there is none. The reference
  /// is valid until the next call.
  session_floor& FindOrCreate(std::string_view session, group_id group);

  /// Erases the session's floor.
  void Erase(std::string_view session, group_id group);

  std::size_t size() const { return index_.size(); }

 private:
  struct key {
    std::string session;
    group_id group;

    bool operator==(const key&) const = default;
  };
  struct key_hash {
    std::size_t operator()(const key& value) const noexcept {
      return std::hash<std::string>{}(value.session) ^ value.group.value;
    }
  };
  using entry = std::pair<key, session_floor>;

  std::size_t limit_;
  std::list<entry> recent_;
  std::unordered_map<key, std::list<entry>::iterator, key_hash> index_;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_SESSION_STORE_H_
