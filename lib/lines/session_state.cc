// Applies the state of a session to a connection.

#include "marjoramslip/lines/session_state.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <cstddef>

namespace marjoramslip::lines {
namespace {

/// Returns true if a value of `current` is not in `requested`. Only a reset can
/// remove it.
bool NeedsReset(const value_map& current, const value_map& requested) {
  return std::any_of(current.begin(), current.end(),
                     [&requested](const auto& value) {
                       return !requested.contains(value.first);
                     });
}

}  // namespace

std::string prepared_statement::SharedName() const {
  // Callers choose the shapes, so the hash has to be one for which they can't
  // construct two shapes with the same value. Names consist of letters and
  // digits only.
  constexpr std::size_t kHashBytes = 16;
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(shape);
  Poco::DigestEngine::Digest hash = engine.digest();
  hash.resize(kHashBytes);
  return (writes ? "w" : "r") + Poco::DigestEngine::digestToHex(hash);
}

int connection_session_state::ApplySession(const session_state& session,
                                           const prepared_statement* needed,
                                           const line_codec& codec,
                                           std::string& out) {
  int statements = 0;
  if (NeedsReset(values_, session.values)) {
    codec.AppendReset(out);
    values_.clear();
    prepared_.clear();
    ++statements;
  }
  for (const auto& [name, value] : session.values) {
    const auto current = values_.find(name);
    if (current != values_.end() && current->second == value) {
      continue;
    }
    codec.AppendSet(name, value, out);
    values_.insert_or_assign(name, value);
    ++statements;
  }
  if (needed != nullptr && prepared_.insert(needed->SharedName()).second) {
    codec.AppendPrepare(needed->SharedName(), needed->writes, needed->shape,
                        out);
    ++statements;
  }
  return statements;
}

}  // namespace marjoramslip::lines
