// Implements the session store with least-recently-used eviction.

#include "session_store.h"

namespace marjoramslip {

session_floor* session_store::Find(std::string_view session, group_id group) {
  const auto at = index_.find({std::string(session), group});
  if (at == index_.end()) {
    return nullptr;
  }
  recent_.splice(recent_.begin(), recent_, at->second);
  return &at->second->second;
}

session_floor& session_store::FindOrCreate(std::string_view session,
                                           group_id group) {
  if (session_floor* floor = Find(session, group)) {
    return *floor;
  }
  if (index_.size() >= limit_ && !recent_.empty()) {
    index_.erase(recent_.back().first);
    recent_.pop_back();
  }
  recent_.emplace_front(key{std::string(session), group}, session_floor{});
  index_.emplace(recent_.front().first, recent_.begin());
  return recent_.front().second;
}

void session_store::Erase(std::string_view session, group_id group) {
  const auto at = index_.find({std::string(session), group});
  if (at == index_.end()) {
    return;
  }
  recent_.erase(at->second);
  index_.erase(at);
}

}  // namespace marjoramslip
