// Keys, leases and history of the key-value stand-in.

#include "kv_store.h"

#include <algorithm>

namespace standin {

namespace {

constexpr std::size_t kHistoryLimit = 200'000;

std::int64_t AttributeOf(const kv_pair& pair, kv_target target) {
  switch (target) {
    case kv_target::kVersion:
      return pair.version;
    case kv_target::kCreate:
      return pair.create_revision;
    case kv_target::kMod:
      return pair.mod_revision;
  }
  return 0;
}

bool Writes(const kv_operation& operation) {
  return !std::holds_alternative<kv_range>(operation);
}

}  // namespace

bool kv_range::Covers(std::string_view candidate) const {
  if (range_end.empty()) {
    return candidate == key;
  }
  if (candidate < key) {
    return false;
  }
  const bool unbounded = range_end == std::string(1, '\0');
  return unbounded || candidate < range_end;
}

std::optional<kv_txn_answer> kv_store::Transact(
    const std::vector<kv_compare>& compares,
    const std::vector<kv_operation>& success,
    const std::vector<kv_operation>& failure) {
  const std::lock_guard lock(mutex_);
  kv_txn_answer answer;
  answer.succeeded =
      std::all_of(compares.begin(), compares.end(),
                  [this](const kv_compare& each) { return Holds(each); });
  const auto& chosen = answer.succeeded ? success : failure;
  if (!LeasesExist(chosen)) {
    return std::nullopt;
  }
  const std::int64_t revision = revision_ + 1;
  for (const kv_operation& operation : chosen) {
    kv_answer& one = answer.answers.emplace_back();
    if (const auto* range = std::get_if<kv_range>(&operation)) {
      one = Range(*range);
    } else if (const auto* put = std::get_if<kv_put>(&operation)) {
      Put(*put, revision);
    } else {
      one.deleted = Delete(std::get<kv_delete>(operation).range, revision);
    }
  }
  answer.revision = revision_;
  return answer;
}

std::int64_t kv_store::Grant(std::int64_t id, std::chrono::milliseconds ttl) {
  const std::lock_guard lock(mutex_);
  const std::int64_t chosen = id != 0 ? id : next_lease_++;
  leases_[chosen] = {ttl, std::chrono::steady_clock::now() + ttl};
  return chosen;
}

std::chrono::milliseconds kv_store::KeepAlive(std::int64_t id) {
  const std::lock_guard lock(mutex_);
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return std::chrono::milliseconds(0);
  }
  const auto now = std::chrono::steady_clock::now();
  if (found->second.deadline <= now) {
    EndLease(id);
    return std::chrono::milliseconds(0);
  }
  found->second.deadline = now + found->second.ttl;
  return found->second.ttl;
}

bool kv_store::Revoke(std::int64_t id) {
  const std::lock_guard lock(mutex_);
  if (!leases_.contains(id)) {
    return false;
  }
  EndLease(id);
  return true;
}

void kv_store::LapseAll() {
  const std::lock_guard lock(mutex_);
  while (!leases_.empty()) {
    EndLease(leases_.begin()->first);
  }
}

void kv_store::LapseDue() {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::int64_t> due;
  for (const auto& [id, each] : leases_) {
    if (each.deadline <= now) {
      due.push_back(id);
    }
  }
  for (const std::int64_t id : due) {
    EndLease(id);
  }
}

kv_changes kv_store::ChangesFrom(const kv_range& range, std::int64_t start,
                                 std::chrono::milliseconds patience) {
  std::unique_lock lock(mutex_);
  kv_changes found;
  if (start <= compacted_) {
    found.compacted = compacted_;
    found.revision = revision_;
    return found;
  }
  changed_.wait_for(lock, patience, [&] { return revision_ >= start; });
  const auto first =
      std::lower_bound(history_.begin(), history_.end(), start,
                       [](const kv_change& each, std::int64_t revision) {
                         return each.now.mod_revision < revision;
                       });
  for (auto at = first; at != history_.end(); ++at) {
    if (range.Covers(at->now.key)) {
      found.changes.push_back(*at);
    }
  }
  found.revision = revision_;
  found.next_revision = std::max(start, revision_ + 1);
  return found;
}

void kv_store::Compact() {
  const std::lock_guard lock(mutex_);
  history_.clear();
  compacted_ = revision_;
  changed_.notify_all();
}

kv_copy kv_store::Copy() {
  const std::lock_guard lock(mutex_);
  kv_copy copy{pairs_, {}, revision_};
  for (const auto& [id, each] : leases_) {
    copy.leases.emplace(id, each.ttl);
  }
  return copy;
}

void kv_store::Restore(const kv_copy& copy) {
  const std::lock_guard lock(mutex_);
  pairs_ = copy.pairs;
  revision_ = copy.revision;
  leases_.clear();
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [id, ttl] : copy.leases) {
    leases_[id] = {ttl, now + ttl};
  }
  std::erase_if(history_, [&copy](const kv_change& change) {
    return change.now.mod_revision > copy.revision;
  });
  compacted_ = std::min(compacted_, revision_);
  changed_.notify_all();
}

std::int64_t kv_store::Revision() {
  const std::lock_guard lock(mutex_);
  return revision_;
}

bool kv_store::Holds(const kv_compare& compare) const {
  const auto found = pairs_.find(compare.key);
  if (found == pairs_.end()) {
    return compare.value == 0;
  }
  return AttributeOf(found->second, compare.target) == compare.value;
}

bool kv_store::LeasesExist(const std::vector<kv_operation>& operations) const {
  return std::all_of(operations.begin(), operations.end(),
                     [this](const kv_operation& operation) {
                       const auto* put = std::get_if<kv_put>(&operation);
                       return !Writes(operation) || put == nullptr ||
                              put->lease == 0 || leases_.contains(put->lease);
                     });
}

kv_answer kv_store::Range(const kv_range& range) const {
  kv_answer answer;
  for (auto at = pairs_.lower_bound(range.key); at != pairs_.end(); ++at) {
    if (!range.Covers(at->first)) {
      break;
    }
    ++answer.count;
    if (range.limit == 0 || answer.count <= range.limit) {
      answer.pairs.push_back(at->second);
    }
  }
  answer.more = range.limit != 0 && answer.count > range.limit;
  return answer;
}

void kv_store::Put(const kv_put& put, std::int64_t revision) {
  kv_pair& pair = pairs_[put.key];
  if (pair.version == 0) {
    pair.key = put.key;
    pair.create_revision = revision;
  }
  pair.value = put.value;
  pair.mod_revision = revision;
  pair.lease = put.lease;
  ++pair.version;
  Record({pair, false});
}

std::int64_t kv_store::Delete(const kv_range& range, std::int64_t revision) {
  std::int64_t deleted = 0;
  auto at = pairs_.lower_bound(range.key);
  while (at != pairs_.end() && range.Covers(at->first)) {
    kv_change change;
    change.now.key = at->first;
    change.now.mod_revision = revision;
    change.erased = true;
    at = pairs_.erase(at);
    Record(std::move(change));
    ++deleted;
  }
  return deleted;
}

void kv_store::EndLease(std::int64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, pair] : pairs_) {
    if (pair.lease == id) {
      keys.push_back(key);
    }
  }
  const std::int64_t revision = revision_ + 1;
  for (const std::string& key : keys) {
    Delete({key, "", 0}, revision);
  }
}

void kv_store::Record(kv_change change) {
  revision_ = change.now.mod_revision;
  history_.push_back(std::move(change));
  if (history_.size() > kHistoryLimit) {
    compacted_ = history_.front().now.mod_revision;
    while (!history_.empty() &&
           history_.front().now.mod_revision == compacted_) {
      history_.pop_front();
    }
  }
  changed_.notify_all();
}

}  // namespace standin
