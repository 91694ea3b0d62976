#include "promotion_faults.h"

namespace standin {

void promotion_faults::Set(const std::vector<json_object>& faults) {
  const steady_time now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  faults_.clear();
  for (const json_object& one : faults) {
    entry next;
    next.fault.answer = one->optValue("answer", next.fault.answer);
    next.fault.effect = one->optValue("effect", next.fault.effect);
    next.fault.effect_late =
        std::chrono::milliseconds(IntegerMember(one, "effect_late_ms"));
    next.fault.answer_late =
        std::chrono::milliseconds(IntegerMember(one, "answer_late_ms"));
    next.id = TextMember(one, "id");
    next.same = !next.id.empty() || one->optValue("same", false);
    if (one->has("count")) {
      next.left = IntegerMember(one, "count");
    }
    if (one->has("for_ms")) {
      next.until =
          now + std::chrono::milliseconds(IntegerMember(one, "for_ms"));
    }
    faults_.push_back(next);
  }
}

promotion_fault promotion_faults::Take(const promotion_call& call) {
  const std::string& id = call.id;
  const steady_time now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  calls_.push_back(call);
  while (!faults_.empty() &&
         (faults_.front().left <= 0 || faults_.front().until <= now)) {
    faults_.pop_front();
  }
  if (faults_.empty()) {
    return {};
  }
  entry& present = faults_.front();
  if (present.id.empty()) {
    present.id = id;
  }
  if (present.same && present.id != id) {
    return {};
  }
  --present.left;
  return present.fault;
}

std::vector<promotion_call> promotion_faults::Calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

}  // namespace standin
