// The key-value service of randomised runs: one record, compare-and-swap,
// watches, outages, lost answers.

#include <algorithm>

#include "world.h"

namespace marjoramslip::random_runs {

namespace {

constexpr node kService = 200;
constexpr duration kServiceTimeout = std::chrono::milliseconds(500);
constexpr duration kPollInterval = std::chrono::milliseconds(200);

}  // namespace

bool world::ApplyRecord(const write_record& what) {
  if (record_.revision != what.expected_revision) {
    return false;
  }
  const term_number before = record_.record.term;
  if (what.record.term < before) {
    Violation("the record's term went backwards");
  }
  record_.record = what.record;
  ++record_.revision;
  record_changed_ = now_;
  if (what.record.phase == group_phase::kOpen) {
    ++result_.terms;
    CheckOpening();
  }
  TellRecordToAll();
  return true;
}

void world::CheckOpening() {
  if (options_.ack != ack_policy::kReplica) {
    return;
  }
  const fake_database* const primary = PrimaryDatabase();
  if (primary == nullptr) {
    return;
  }
  for (const auto& [write, when] : acknowledged_) {
    if (!primary->Contains(write)) {
      Violation("acknowledged write " + std::to_string(write) +
                " is missing at the opening of term " +
                std::to_string(record_.record.term));
      return;
    }
  }
}

void world::AnswerWrite(std::size_t index, const write_record& what,
                        write_outcome outcome, duration delay) {
  const std::uint64_t incarnation = instances_[index].incarnation;
  record_written answer;
  answer.operation = what.operation;
  answer.group = what.group;
  answer.outcome = outcome;
  answer.revision = record_.revision;
  At(delay, [this, index, incarnation, answer] {
    if (instances_[index].incarnation == incarnation) {
      Give(index, answer);
    }
  });
}

void world::WriteRecord(std::size_t index, const write_record& what) {
  At(Delay(), [this, index, what] {
    const bool unreachable =
        now_ < service_down_until_ || Cut(InstanceNode(index), kService);
    if (unreachable) {
      AnswerWrite(index, what, write_outcome::kUnknown, kServiceTimeout);
      // The write may still be under way.
      if (Chance(0.2)) {
        At(Delay() + Delay(), [this, what] { ApplyRecord(what); });
      }
      return;
    }
    const bool applied = ApplyRecord(what);
    if (Cut(kService, InstanceNode(index)) || Chance(lost_answers_)) {
      AnswerWrite(index, what, write_outcome::kUnknown, kServiceTimeout);
      return;
    }
    AnswerWrite(index, what,
                applied ? write_outcome::kApplied : write_outcome::kConflict,
                Delay());
  });
}

void world::TellRecord(std::size_t index) {
  At(Delay(), [this, index] {
    if (now_ < service_down_until_ || Cut(kService, InstanceNode(index))) {
      return;
    }
    Give(index, record_seen{group_, record_});
  });
}

void world::TellRecordToAll() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    TellRecord(i);
  }
}

void world::PollRecords() {
  TellRecordToAll();
  At(kPollInterval, [this] { PollRecords(); });
}

}  // namespace marjoramslip::random_runs
