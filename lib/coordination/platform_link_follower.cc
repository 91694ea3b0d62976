// Follows the keys of the store by one read and one watch.

#include "platform_link_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "marjoramslip/base/clock.h"
#include "marjoramslip/core/options.h"
#include "marjoramslip/core/record_codec.h"
#include "platform_link_members.h"

namespace marjoramslip::shell {
namespace {

constexpr duration kMinRetryPause = std::chrono::milliseconds(100);
constexpr duration kMaxRetryPause = std::chrono::seconds(2);
/// Time between the claims of a vacant duty by one instance and by the next in
/// the order, and the longest such delay. The first claimants may be those that
/// just died.
constexpr duration kClaimInterval = std::chrono::milliseconds(150);
constexpr duration kMaxClaimDelay = std::chrono::milliseconds(2000);
/// Additional delay of an instance that has just started: it may not promote
/// before the serving leases of instances that it cannot know of have expired.
constexpr duration kNewcomerClaimDelay = std::chrono::milliseconds(600);

}  // namespace

platform_follower::platform_follower(platform_context& context,
                                     catalogue_source& source,
                                     platform_membership& membership,
                                     member self)
    : context_(context),
      self_(std::move(self)),
      source_(source),
      membership_(membership) {
  worker_.Post([this] { Reload(); });
}

platform_follower::~platform_follower() {
  worker_.Stop();
  watch_.reset();
}

void platform_follower::Reload() {
  ++generation_;
  watch_.reset();
  duration pause = kMinRetryPause;
  while (!worker_.Stopping()) {
    const auto done = Attempt([this] { return ReadAll(); });
    context_.RecordCallResult(done);
    if (done) {
      return;
    }
    worker_.Pause(pause);
    pause = std::min(pause * 2, kMaxRetryPause);
  }
}

result<void> platform_follower::ReadAll() {
  const kv::key_space& keys = context_.Keys();
  const instant requested_at = BootTime();
  BOOST_LEAF_AUTO(range, source_.Load());
  PostFaults();
  membership_.OnDirectoryRead(range);
  std::vector<kv::entry> groups;
  std::optional<kv::entry> duty_holder;
  std::optional<kv::entry> fence;
  // What is read now is newer than all that was seen before, also where its
  // revisions are lower because the store went back to an older copy.
  group_revisions_.clear();
  members_.clear();
  for (kv::entry& entry : range.entries) {
    if (entry.key == keys.Duty()) {
      duty_holder = entry;
    } else if (entry.key == keys.Fence()) {
      fence = entry;
    }
    if (const auto name =
            kv::key_space::StripDirectory(keys.Groups(), entry.key)) {
      group_revisions_[std::string(*name)] = entry.mod_revision;
      groups.push_back(std::move(entry));
    } else if (kv::key_space::StripDirectory(keys.Instances(), entry.key)) {
      StoreMember(entry);
    }
  }
  PostCatalogue();
  for (const kv::entry& entry : groups) {
    OnGroup(*kv::key_space::StripDirectory(keys.Groups(), entry.key), entry);
  }
  const bool listed = members_.contains(self_.name);
  history_ = range.history;
  membership_.Duty().OnFenceSeen(fence, range.revision, history_);
  if (source_.PlatformPromotes() && (listed || duty_holder.has_value())) {
    membership_.Duty().OnHolderSeen(duty_holder, DutyClaimDelay());
  }
  // The first read is usually older than the announcement. Once that is
  // written, the watch delivers it.
  const bool first_read = first_requested_at_ == instant{};
  if (!listed && !first_read) {
    membership_.OnAnnouncementMissing();
  }
  members_requested_at_ = requested_at;
  all_requested_at_ = requested_at;
  if (first_requested_at_ == instant{}) {
    first_requested_at_ = requested_at;
  }
  PostMembers();
  context_.Post(records_read{requested_at});
  ArmTimer();
  // The watch repeats changes made between the reads; applying them twice is
  // harmless.
  return StartWatch(range.revision + 1);
}

void platform_follower::OnAnnounced(instant announced_at) {
  worker_.Post([this, announced_at] {
    // From now on the other instances count this one as a member. It reads all
    // that they agreed on before it was listed, before it takes part.
    if (all_requested_at_ < announced_at) {
      Reload();
    }
  });
}

void platform_follower::ReadMembers() {
  worker_.Post([this] { RunReadMembers(); });
}

void platform_follower::RunReadMembers() {
  const instant requested_at = BootTime();
  const auto range = Attempt([this] {
    return context_.Store().Range(context_.Keys().Instances(), false);
  });
  context_.RecordCallResult(range);
  if (!range) {
    return;
  }
  members_.clear();
  for (const kv::entry& entry : range->entries) {
    StoreMember(entry);
  }
  members_requested_at_ = requested_at;
  PostMembers();
}

void platform_follower::StoreMember(const kv::entry& entry) {
  const auto parsed = Attempt([&] { return ParseMember(entry.value); });
  if (parsed) {
    members_[parsed->name] = {*parsed, entry.mod_revision};
    members_[parsed->name].value.lease = entry.lease;
  } else {
    ReportMalformedMember(entry, parsed.failure);
  }
}

result<void> platform_follower::StartWatch(std::uint64_t revision) {
  const std::uint64_t generation = ++generation_;
  const auto on_change = [this, generation](const kv::change& change) {
    worker_.Post([this, generation, change] {
      if (generation == generation_) {
        OnChange(change);
      }
    });
  };
  const auto on_reset = [this, generation] {
    worker_.Post([this, generation] {
      if (generation == generation_) {
        Reload();
      }
    });
  };
  BOOST_LEAF_ASSIGN(
      watch_, context_.Store().Watch(source_.WatchPrefix(), revision, on_change,
                                     on_reset));
  if (context_.Store().History() != history_) {
    return Fail(error_kind::kUnavailable,
                "the store went back to an older copy since it was read");
  }
  return {};
}

void platform_follower::OnChange(const kv::change& change) {
  const kv::key_space& keys = context_.Keys();
  const std::string& key = change.current_entry.key;
  if (const auto name = kv::key_space::StripDirectory(keys.Instances(), key)) {
    OnMember(*name, change);
    return;
  }
  if (key == keys.Duty()) {
    membership_.Duty().OnHolderSeen(
        change.erased ? std::nullopt : std::optional(change.current_entry),
        DutyClaimDelay());
    return;
  }
  if (key == keys.Fence()) {
    membership_.Duty().OnFenceSeen(
        change.erased ? std::nullopt : std::optional(change.current_entry),
        change.current_entry.mod_revision, history_);
    return;
  }
  const auto group = kv::key_space::StripDirectory(keys.Groups(), key);
  if (group && !change.erased) {
    OnGroup(*group, change.current_entry);
    return;
  }
  const source_change effect = source_.OnChange(change);
  PostFaults();
  HandleSourceChange(effect);
}

/// Orders the claimants of a vacant duty by their ids. Without an order, each
/// of them writes to the store at the same moment.
duration platform_follower::DutyClaimDelay() const {
  const auto ahead = std::count_if(
      members_.begin(), members_.end(), [this](const auto& listed) {
        const member& other = listed.second.value;
        return !other.leaving && other.id < self_.id;
      });
  const bool newcomer =
      BootTime() - first_requested_at_ < core_options{}.majority_lease_wait;
  return std::min<duration>(kClaimInterval * ahead, kMaxClaimDelay) +
         (newcomer ? kNewcomerClaimDelay : duration::zero());
}

void platform_follower::PostFaults() {
  for (fault_reported& fault : source_.TakeFaults()) {
    context_.Post(std::move(fault));
  }
}

void platform_follower::HandleSourceChange(source_change effect) {
  ArmTimer();
  switch (effect) {
    case source_change::kNone:
      return;
    case source_change::kChanged:
      PostCatalogue();
      return;
    case source_change::kReloadRequired:
      Reload();
      return;
  }
}

void platform_follower::ArmTimer() {
  const std::optional<instant> next = source_.NextTimerAt();
  if (!next || (timer_due_at_ && *timer_due_at_ <= *next)) {
    return;
  }
  timer_due_at_ = next;
  worker_.PostAt(*next, [this] {
    timer_due_at_.reset();
    HandleSourceChange(source_.OnTimer(BootTime()));
  });
}

void platform_follower::OnGroup(std::string_view name,
                                const kv::entry& stored) {
  std::uint64_t& newest = group_revisions_[std::string(name)];
  if (stored.mod_revision < newest) {
    return;
  }
  newest = stored.mod_revision;
  const auto record = Attempt([&] { return ParseRecord(stored.value); });
  if (record) {
    context_.Post(
        record_seen{IdOf<group_id>(name), {*record, stored.mod_revision}});
    return;
  }
  context_.Post(fault_reported{"record.malformed",
                               stored.key + ": " + record.failure.message});
}

void platform_follower::OnMember(std::string_view name,
                                 const kv::change& change) {
  const auto known = members_.find(name);
  const bool stale = known != members_.end() &&
                     change.current_entry.mod_revision < known->second.revision;
  if (stale) {
    return;
  }
  if (change.erased) {
    if (known != members_.end()) {
      members_.erase(known);
      PostMembers();
      if (name == self_.name) {
        membership_.OnAnnouncementMissing();
      }
    }
    return;
  }
  const auto parsed =
      Attempt([&] { return ParseMember(change.current_entry.value); });
  if (parsed) {
    members_[std::string(name)] = {*parsed, change.current_entry.mod_revision};
    members_[std::string(name)].value.lease = change.current_entry.lease;
    PostMembers();
    return;
  }
  ReportMalformedMember(change.current_entry, parsed.failure);
}

void platform_follower::ReportMalformedMember(const kv::entry& entry,
                                              const error& failure) {
  context_.Post(
      fault_reported{"member.malformed", entry.key + ": " + failure.message});
}

void platform_follower::PostCatalogue() {
  const catalogue& value = source_.Value();
  context_.UpdateCatalogue(value);
  context_.Post(catalogue_seen{value});
  for (const auto& [service_name, service] : value.services) {
    for (const group_spec& group : service.groups) {
      // The core writes the first record of a group that has none.
      if (!group_revisions_.contains(group.name)) {
        context_.Post(record_seen{group.Id(), versioned_record{}});
      }
    }
  }
}

void platform_follower::PostMembers() {
  context_.SetMemberCount(members_.size());
  members_seen seen;
  seen.requested_at = members_requested_at_;
  bool listed = false;
  for (const auto& [name, listed_member] : members_) {
    listed = listed || name == self_.name;
    seen.members.push_back(listed_member.value);
  }
  if (!listed) {
    seen.members.push_back(self_);
  }
  context_.Post(seen);
}

}  // namespace marjoramslip::shell
