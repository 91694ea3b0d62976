// An in-memory key_value_store. Each watch has its own thread.

#include "marjoramslip/kv/memory_store.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <thread>
#include <utility>

namespace marjoramslip::kv {

/// A watch with its queue of callbacks and the thread that runs them.
class memory_watch {
 public:
  memory_watch(std::string_view prefix, std::uint64_t revision,
               std::function<void(const change&)> on_change,
               std::function<void()> on_reset)
      : prefix_(prefix),
        revision_(revision),
        on_change_(std::move(on_change)),
        on_reset_(std::move(on_reset)),
        thread_([this] { Run(); }) {}

  ~memory_watch() { Stop(); }

  /// Stops the thread; no callback runs afterwards.
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  memory_watch(const memory_watch&) = delete;
  memory_watch& operator=(const memory_watch&) = delete;

  /// Queues the change if it matches the prefix and revision.
  void EnqueueChange(const change& published) {
    if (published.current_entry.key.starts_with(prefix_) &&
        published.current_entry.mod_revision >= revision_) {
      Enqueue([this, published] { on_change_(published); });
    }
  }

  void EnqueueReset() {
    Enqueue([this] { on_reset_(); });
  }

 private:
  void Enqueue(std::function<void()> task) {
    {
      const std::lock_guard lock(mutex_);
      tasks_.push_back(std::move(task));
    }
    wake_.notify_all();
  }

  void Run() {
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (stopping_) {
        return;
      }
      const std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  std::string prefix_;
  std::uint64_t revision_;
  std::function<void(const change&)> on_change_;
  std::function<void()> on_reset_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

namespace {

class memory_handle : public watch_handle {
 public:
  explicit memory_handle(std::shared_ptr<memory_watch> watch)
      : watch_(std::move(watch)) {}
  // The store may briefly hold another reference to the watch.
  ~memory_handle() override { watch_->Stop(); }

  memory_handle(const memory_handle&) = delete;
  memory_handle& operator=(const memory_handle&) = delete;

 private:
  std::shared_ptr<memory_watch> watch_;
};

}  // namespace

struct memory_store::backup {
  std::map<std::string, stored_entry, std::less<>> entries;
  std::vector<change> log;
  std::map<std::uint64_t, std::chrono::seconds> leases;
  std::uint64_t revision = 0;
  std::uint64_t last_lease = 0;
};

memory_store::memory_store() = default;
memory_store::~memory_store() = default;

result<void> memory_store::BeginCall() {
  duration delay{};
  {
    const std::lock_guard lock(mutex_);
    ++calls_;
    delay = delay_;
  }
  std::this_thread::sleep_for(delay);
  const std::lock_guard lock(mutex_);
  if (down_) {
    return Fail(error_kind::kUnavailable, "the store is down");
  }
  return {};
}

result<range_result> memory_store::Range(std::string_view prefix, bool exact) {
  BOOST_LEAF_CHECK(BeginCall());
  const std::lock_guard lock(mutex_);
  range_result found;
  found.revision = revision_;
  found.history = tells_history_ ? history_id(history_) : std::nullopt;
  for (auto at = entries_.lower_bound(prefix); at != entries_.end(); ++at) {
    const bool within =
        exact ? at->first == prefix : at->first.starts_with(prefix);
    if (!within) {
      break;
    }
    found.entries.push_back(at->second.value);
  }
  return found;
}

bool memory_store::Holds(const condition& required) const {
  const auto at = entries_.find(required.key);
  const std::uint64_t now =
      at == entries_.end() ? 0 : at->second.value.mod_revision;
  return now == required.mod_revision;
}

void memory_store::Apply(const mutation& write) {
  if (write.erase) {
    if (entries_.erase(write.key) != 0) {
      Publish({{write.key, "", 0, revision_, 0}, true});
    }
    return;
  }
  stored_entry& target = entries_[write.key];
  entry& value = target.value;
  value.key = write.key;
  value.value = write.value;
  value.mod_revision = revision_;
  if (value.create_revision == 0) {
    value.create_revision = revision_;
  }
  target.lease = write.lease;
  value.lease = write.lease;
  Publish({value, false});
}

result<std::uint64_t> memory_store::Transact(
    const std::vector<condition>& conditions,
    const std::vector<mutation>& writes) {
  BOOST_LEAF_CHECK(BeginCall());
  auto written = Write(conditions, writes);
  duration delay{};
  {
    const std::lock_guard lock(mutex_);
    delay = answer_delay_;
  }
  std::this_thread::sleep_for(delay);
  return written;
}

result<std::uint64_t> memory_store::Write(
    const std::vector<condition>& conditions,
    const std::vector<mutation>& writes) {
  const std::lock_guard lock(mutex_);
  if (requests_to_drop_ > 0) {
    --requests_to_drop_;
    return Fail(error_kind::kUnknown, "the request was lost");
  }
  const bool drop = std::any_of(
      writes.begin(), writes.end(),
      [this](const mutation& write) { return write.key == dropped_key_; });
  if (drop) {
    return Fail(error_kind::kUnknown, "the request was lost");
  }
  const bool holds = std::all_of(
      conditions.begin(), conditions.end(),
      [this](const condition& required) { return Holds(required); });
  const bool leases_exist =
      std::all_of(writes.begin(), writes.end(), [this](const mutation& write) {
        return write.lease == 0 || leases_.contains(write.lease);
      });
  if (holds && !leases_exist) {
    return Fail(error_kind::kInvalid, "lease does not exist");
  }
  if (holds) {
    ++revision_;
    for (const mutation& write : writes) {
      Apply(write);
    }
  }
  if (answers_to_drop_ > 0) {
    --answers_to_drop_;
    return Fail(error_kind::kUnknown, "the answer was lost");
  }
  if (!holds) {
    return Fail(error_kind::kConflict, "a condition does not hold");
  }
  return revision_;
}

result<std::uint64_t> memory_store::GrantLease(std::chrono::seconds ttl) {
  BOOST_LEAF_CHECK(BeginCall());
  const std::lock_guard lock(mutex_);
  leases_[++last_lease_] = ttl;
  return last_lease_;
}

result<void> memory_store::KeepAlive(std::uint64_t lease) {
  BOOST_LEAF_CHECK(BeginCall());
  const std::lock_guard lock(mutex_);
  ++renewals_;
  if (!leases_.contains(lease)) {
    return Fail(error_kind::kConflict, "the lease has lapsed");
  }
  return {};
}

result<void> memory_store::RevokeLease(std::uint64_t lease) {
  BOOST_LEAF_CHECK(BeginCall());
  const std::lock_guard lock(mutex_);
  EraseLease(lease);
  return {};
}

void memory_store::EraseLease(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, value] : entries_) {
    if (value.lease == lease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++revision_;
  for (const std::string& key : keys) {
    Apply({key, "", true, 0});
  }
}

void memory_store::Publish(change published) {
  for (const auto& weak_watch : watches_) {
    if (const auto watch = weak_watch.lock()) {
      watch->EnqueueChange(published);
    }
  }
  log_.push_back(std::move(published));
}

result<std::unique_ptr<watch_handle>> memory_store::Watch(
    std::string_view prefix, std::uint64_t revision,
    std::function<void(const change&)> on_change,
    std::function<void()> on_reset) {
  BOOST_LEAF_CHECK(BeginCall());
  auto watch = std::make_shared<memory_watch>(
      prefix, revision, std::move(on_change), std::move(on_reset));
  const std::lock_guard lock(mutex_);
  for (const change& past : log_) {
    watch->EnqueueChange(past);
  }
  if (revision <= history_lost_at_) {
    watch->EnqueueReset();
  }
  std::erase_if(watches_,
                [](const auto& weak_watch) { return weak_watch.expired(); });
  watches_.push_back(watch);
  return std::unique_ptr<watch_handle>(
      std::make_unique<memory_handle>(std::move(watch)));
}

std::shared_ptr<const memory_store::backup> memory_store::Copy() const {
  const std::lock_guard lock(mutex_);
  return std::make_shared<backup>(
      backup{entries_, log_, leases_, revision_, last_lease_});
}

void memory_store::GoBack(const backup& copy) {
  const std::lock_guard lock(mutex_);
  entries_ = copy.entries;
  log_ = copy.log;
  leases_ = copy.leases;
  revision_ = copy.revision;
  last_lease_ = copy.last_lease;
  ++history_;
  for (const auto& weak_watch : watches_) {
    if (const auto watch = weak_watch.lock(); watch && tells_history_) {
      watch->EnqueueReset();
    }
  }
}

void memory_store::TellHistory() {
  const std::lock_guard lock(mutex_);
  tells_history_ = true;
}

history_id memory_store::History() const {
  const std::lock_guard lock(mutex_);
  return tells_history_ ? history_id(history_) : std::nullopt;
}

void memory_store::SetDown(bool down) {
  const std::lock_guard lock(mutex_);
  down_ = down;
}

void memory_store::DropAnswers(int count) {
  const std::lock_guard lock(mutex_);
  answers_to_drop_ = count;
}

void memory_store::DropRequests(int count) {
  const std::lock_guard lock(mutex_);
  requests_to_drop_ = count;
}

void memory_store::DropWritesTo(std::string key) {
  const std::lock_guard lock(mutex_);
  dropped_key_ = std::move(key);
}

void memory_store::DelayAnswers(duration delay) {
  const std::lock_guard lock(mutex_);
  answer_delay_ = delay;
}

void memory_store::SetDelay(duration delay) {
  const std::lock_guard lock(mutex_);
  delay_ = delay;
}

void memory_store::ExpireLeases() {
  const std::lock_guard lock(mutex_);
  while (!leases_.empty()) {
    EraseLease(leases_.begin()->first);
  }
}

void memory_store::EraseKeysSilently() {
  const std::lock_guard lock(mutex_);
  entries_.clear();
  history_lost_at_ = ++revision_;
}

void memory_store::ResetWatches() {
  const std::lock_guard lock(mutex_);
  history_lost_at_ = ++revision_;
  for (const auto& weak_watch : watches_) {
    if (const auto watch = weak_watch.lock()) {
      watch->EnqueueReset();
    }
  }
}

std::uint64_t memory_store::Renewals() const {
  const std::lock_guard lock(mutex_);
  return renewals_;
}

std::uint64_t memory_store::Calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

}  // namespace marjoramslip::kv
