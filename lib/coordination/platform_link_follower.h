// Follows the catalogue, the group records and the members in the key-value
// store.

#ifndef MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_FOLLOWER_H_
#define MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_FOLLOWER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "marjoramslip/base/result.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/coordination/catalogue_source.h"
#include "marjoramslip/coordination/worker.h"
#include "marjoramslip/core/events.h"
#include "platform_link_context.h"
#include "platform_link_members.h"

namespace marjoramslip::shell {

/// Reads all keys once, then applies changes as the watch delivers them.
/// Posts catalogue_seen, record_seen and members_seen.
class platform_follower {
 public:
  /// `source` and `membership` must outlive the follower.
  platform_follower(platform_context& context, catalogue_source& source,
                    platform_membership& membership, member self);
  ~platform_follower();

  /// Reads the list of instances once. Callable from any thread.
  void ReadMembers();

  /// Reads all keys unless they were read after `announced_at`, when this
  /// instance was found announced. Callable from any thread.
  void OnAnnounced(instant announced_at);

  /// Ends the pause before the next attempt, because the store is reachable
  /// again. Callable from any thread.
  void OnStoreAvailable() { worker_.InterruptPause(); }

  platform_follower(const platform_follower&) = delete;
  platform_follower& operator=(const platform_follower&) = delete;

 private:
  /// A member and the revision of its entry in the store.
  struct seen_member {
    member value;
    std::uint64_t revision = 0;
  };

  // The methods below run on the worker's thread.
  void Reload();
  result<void> ReadAll();
  result<void> StartWatch(std::uint64_t revision);
  void OnChange(const kv::change& change);
  /// Posts the catalogue if it has changed, or reloads all keys if the source
  /// requires it.
  void HandleSourceChange(source_change effect);
  /// Starts a timer for the source's next OnTimer call.
  void ArmTimer();
  void OnGroup(std::string_view name, const kv::entry& stored);
  void StoreMember(const kv::entry& entry);
  void RunReadMembers();
  void OnMember(std::string_view name, const kv::change& change);
  void PostCatalogue();
  void PostMembers();
  /// Posts the entries that the source could not use.
  void PostFaults();
  /// Returns how long this instance leaves a vacant duty to others.
  duration DutyClaimDelay() const;
  void ReportMalformedMember(const kv::entry& entry, const error& failure);

  platform_context& context_;
  member self_;
  catalogue_source& source_;
  platform_membership& membership_;
  /// When the source's timer fires; empty if no timer runs.
  std::optional<instant> timer_due_at_;
  /// The newest revision seen of each group's record.
  std::map<std::string, std::uint64_t, std::less<>> group_revisions_;
  std::map<std::string, seen_member, std::less<>> members_;
  /// When the list of members was requested. An instance that was listed then
  /// is in `members_`, or has left since.
  instant members_requested_at_{};
  /// When the newest read of all keys was requested.
  instant all_requested_at_{};
  /// When the first successful read of all keys was requested.
  instant first_requested_at_{};
  /// The store's history in which all keys were read last.
  kv::history_id history_;
  /// Number of the current watch; late deliveries of older ones are dropped.
  std::uint64_t generation_ = 0;
  std::unique_ptr<kv::watch_handle> watch_;
  worker worker_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_FOLLOWER_H_
