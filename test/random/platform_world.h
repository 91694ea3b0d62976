// Several reducers under virtual time with fakes of the users' platform, which
// promotes databases on request: its store, its promoter, its databases.

#ifndef MARJORAMSLIP_TEST_RANDOM_PLATFORM_WORLD_H_
#define MARJORAMSLIP_TEST_RANDOM_PLATFORM_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/core/reducer.h"
#include "platform_database.h"
#include "platform_judge.h"
#include "platform_promoter.h"
#include "platform_store.h"
#include "simulation.h"
#include "world.h"

namespace marjoramslip::random_runs {

/// Longest time from the end of the last disruption to a group's opening: one
/// promotion, which takes some hundred ms, the serving lease of an instance
/// that is not heard from, one call to the store.
inline constexpr duration kProgressBound = std::chrono::seconds(3);

/// One run on the users' platform.
class platform_world : private simulation {
 public:
  /// With `late_effects`, promotions may take effect seconds after the call.
  platform_world(const run_options& options, bool late_effects);
  ~platform_world();

  run_result Run();

 private:
  /// A connection from an instance to a start of a database.
  struct connection {
    std::size_t database = 0;
    std::string start;
    /// Outlives the connection while a statement is under way.
    std::shared_ptr<database_session> session;
    bool silent = false;
    bool open = false;
  };

  /// A statement on its way; it goes on when its connection is closed.
  struct sent_statement {
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    send_statement sent;
    connection link;
    statement what;
    instant sent_at;
  };

  /// An instance's part in the membership: what its shell keeps.
  struct membership_state {
    std::uint64_t lease = 0;
    instant extended_at{};
    bool announced = false;
    instant announced_at{};
    std::uint64_t fence = 0;
    std::optional<instant> claim_at;
    instant first_read_at{};
    std::vector<member> members;
    instant members_read_at{};
    /// When the list was as in `members`, at the store.
    instant members_as_of{};
    std::uint64_t catalogue_revision = 0;
    std::uint64_t record_revision = 0;
  };

  struct instance {
    std::string name;
    std::unique_ptr<reducer> core;
    bool alive = false;
    instant paused_until{};
    std::uint64_t incarnation = 0;
    membership_state membership;
    std::map<connection_id, connection> connections;
    /// Databases to which a monitoring connection is open.
    std::set<std::size_t> monitored;
  };

  /// What the platform's registry says of a database.
  struct registration {
    std::string name;
    bool listed = true;
    bool leaving = false;
    instant last_beat{};
  };

  /// How a database follows.
  struct follower {
    duration delay{};  ///< From when it reaches a later primary.
    std::optional<instant> newer_since;
    instant lags_until{};
  };

  struct client {
    std::size_t instance = 0;
    std::uint64_t incarnation = 0;
    caller_id id;
    bool on_primary_route = false;
    bool only_writes = false;
    request_id request;
    std::vector<statement> plan;
    bool in_transaction = false;
    std::vector<write_id> transaction;
  };

  struct pending {
    std::size_t client = 0;
    statement what;
    instant asked;
    answer_outcome outcome = answer_outcome::kSucceeded;
    bool from_replica = false;
    std::vector<write_id> seen;
  };

  // Instances (platform_world.cc).
  node InstanceNode(std::size_t index) const;
  node DatabaseNode(std::size_t index) const;
  void StartInstance(std::size_t index);
  void StopInstance(std::size_t index);
  /// Does `what` once this start of the instance is not frozen.
  void WhenAwake(std::size_t index, std::uint64_t incarnation,
                 std::function<void()> what);
  void Give(std::size_t index, event what);
  void Carry(std::size_t index, effect& what);
  void SendToPeers(std::size_t index, const send_peer_message& message);
  void Judge(const platform_judge::verdict_text& broken);
  void AwaitProgress();

  // The store as instances see it (platform_members.cc).
  bool StoreDown() const { return now_ < store_down_until_; }
  using response = std::function<void()>;
  /// Calls the store. `act` runs there, its result at the instance.
  void CallStore(std::size_t index, std::function<response()> act,
                 response failed);
  void RunMembership(std::size_t index, std::uint64_t incarnation);
  void AcquireLease(std::size_t index, response next, response retry);
  void Announce(std::size_t index, response next, response retry);
  void RenewLease(std::size_t index, response next, response retry);
  void ClaimDuty(std::size_t index, response next);
  void LoseLease(std::size_t index, instant lost_at);
  void TellDuty(std::size_t index);
  void ReadAll(std::size_t index, std::uint64_t incarnation, duration pause);
  void ReadMembers(std::size_t index);
  void TellMembers(std::size_t index);
  void Watch();
  void WatchFrom(std::size_t index);
  void WriteRecord(std::size_t index, const write_record& what);
  void EndMembership(std::size_t index, const end_membership& what);
  void CountChange(const group_record& before, const group_record& after);

  // Databases (platform_databases.cc, platform_connections.cc).
  std::size_t DatabaseOf(endpoint_id endpoint) const;
  void Replicate();
  void FollowNewest(std::size_t to);
  bool Linked(std::size_t a, std::size_t b) const;
  void CrashDatabase(std::size_t database, duration length);
  void RestartDatabase(std::size_t database);
  void Beat();
  catalogue MakeCatalogue() const;
  void Probe(std::size_t index, const probe_endpoint& asked);
  void Move(std::size_t index, const move_endpoint& asked);
  void Promote(std::size_t index, const promote_endpoint& asked);
  void StartPromotion(std::size_t database);
  void OpenConnection(std::size_t index, const open_connection& what);
  void SendStatement(std::size_t index, const send_statement& what);
  void Execute(const sent_statement& sent);
  void Answer(const sent_statement& sent, const execution& done,
              const endpoint_state& state);
  connection* Find(std::size_t index, connection_id id);
  void LoseConnections(std::size_t database);

  // Callers (platform_callers.cc).
  void AddClient(std::size_t index, bool only_writes);
  void Connect(client& who);
  void NextStatement(std::size_t index);
  void PlanStatements(client& who);
  void Send(std::size_t index, const statement& what);
  void OnRelease(const release_answer& what);
  void OnClose(const close_caller& what);
  void OnFail(const fail_request& what);
  void OnWritesAcknowledged(client& who, const pending& done);

  // Faults (platform_faults.cc).
  void NextFault();
  void OneFault();
  std::vector<node> Nodes() const;
  void CutLinks();
  void CutOff(node one, const std::set<node>& stays, duration length);
  void CutIsland();
  void DarkenDatabase(std::size_t database);
  void DrainDatabase(std::size_t database);
  void SilenceConnections();
  void TroubleStore();
  void Heal();

  run_options options_;
  run_result result_;
  instant end_;
  bool healed_ = false;
  platform_judge judge_;
  platform_store store_;
  platform_promoter promoter_;
  instant store_down_until_{};
  bool leases_pause_ = false;
  double lost_answers_ = 0;
  std::vector<platform_database> databases_;
  std::vector<registration> registrations_;
  std::vector<follower> followers_;
  catalogue catalogue_;
  group_id group_;
  std::vector<instance> instances_;
  std::vector<client> clients_;
  std::map<request_id, pending> pending_;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_caller_ = 0;
  write_id next_write_ = 0;
  /// When the last disruption was over.
  instant settled_at_{};
  std::optional<instant> open_at_;
};

}  // namespace marjoramslip::random_runs

#endif  // MARJORAMSLIP_TEST_RANDOM_PLATFORM_WORLD_H_
