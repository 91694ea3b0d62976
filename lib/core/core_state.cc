// Lookups in the reducer's state, and logging.

#include "core_state.h"

namespace marjoramslip {
namespace {

template <typename map, typename id>
auto* FindIn(map& entries, id key) {
  const auto entry = entries.find(key);
  return entry == entries.end() ? nullptr : &entry->second;
}

}  // namespace

void core_state::Log(log_level level, std::string name, std::string text,
                     group_id group, endpoint_id endpoint) {
  Emit(log_line{.level = level,
                .event = std::move(name),
                .text = std::move(text),
                .group = group,
                .endpoint = endpoint,
                .term = 0,
                .request = {}});
}

group_state* core_state::Group(group_id id) {
  const auto entry = groups.find(id);
  return entry == groups.end() ? nullptr : entry->second.get();
}

endpoint_pool* core_state::Pool(endpoint_id id) { return FindIn(pools, id); }

connection_state* core_state::Connection(connection_id id) {
  return FindIn(connections, id);
}

caller_state* core_state::Caller(caller_id id) { return FindIn(callers, id); }

request_state* core_state::Request(request_id id) {
  return FindIn(requests, id);
}

void core_state::MarkDirty(group_state& group) {
  if (group.dirty) {
    return;
  }
  group.dirty = true;
  dirty_groups.push_back(group.terms.Id());
}

}  // namespace marjoramslip
