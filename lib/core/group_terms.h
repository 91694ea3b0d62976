// State machine of one group: endpoint state, permits, failure detection and
// the change of primary.

#ifndef MARJORAMSLIP_LIB_CORE_GROUP_TERMS_H_
#define MARJORAMSLIP_LIB_CORE_GROUP_TERMS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "closed_time.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/log_point.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/core/options.h"
#include "marjoramslip/core/status_report.h"
#include "membership.h"
#include "position_samples.h"

namespace marjoramslip {

/// Time for an accepted promotion to take effect, which takes the platform up
/// to 1 s, and to be reported by the candidate.
inline constexpr duration kPromotionEffectTimeout =
    std::chrono::milliseconds(1500);

/// The last known state of one endpoint of a group. Sampling times are the
/// times at which the request was sent, so that the state is no older.
struct endpoint_view {
  endpoint_spec spec;
  endpoint_state state;
  /// Sampling time of the newest full state; empty before the first.
  std::optional<instant> state_sampled_at;
  /// Sampling time of the newest full state that it reported to this instance,
  /// as opposed to one that another instance passed on.
  std::optional<instant> own_state_sampled_at;
  term_number own_state_term = 0;  ///< Of that state.
  /// Sampling time of the newest log position.
  instant log_sampled_at{};
  instant last_received_at{};
  /// Sampling time of the newest answer that shows the endpoint at the record's
  /// term. Such an answer is evidence of the term; permits rest on it.
  std::optional<instant> evidence_at;
  /// Since when every attempt to reach it has failed.
  std::optional<instant> unreachable_since;
  /// Since when it has accepted connections but answered nothing.
  std::optional<instant> unanswered_since;
  /// Sending time of the probe in flight; empty if there is none.
  std::optional<instant> probe_sent_at;
  instant next_probe{};
  /// Probes that the endpoint refused because it was full, or left unanswered
  /// although it is up, are repeated after a pause that doubles each time.
  duration probe_backoff{};
  instant probe_backoff_until{};
  /// The next probe must open a new connection.
  bool new_connection_required = false;
};

/// Whether a write may be acknowledged to its caller.
enum class ack_state : std::uint8_t {
  kWait,     ///< A permit or a replica's position is missing.
  kAllowed,  ///< The log of the term contains it, replicated as `ack` requires.
  kLost,     ///< The log of the term does not contain it.
};

/// Tracks the term, endpoints and primary of one group, and drives changes of
/// the primary. Deterministic: time comes in as `now`, actions go out as
/// effects.
class group_terms {
 public:
  group_terms(const core_options& options, const service_spec& service,
              const group_spec& group);

  // Inputs.

  /// Applies a changed declaration of the group. Keeps the state of endpoints
  /// whose host and port are unchanged.
  void SetSpec(const service_spec& service, const group_spec& group);
  /// Sets the number of live instances, this one included.
  void SetLiveInstances(std::uint32_t live) { live_instances_ = live; }
  /// Sets the other instances that may act on this group's record: all that
  /// were listed at `listed_at`, and those delisted shortly before. The list
  /// has been known since `known_since`.
  void SetPeers(std::vector<recent_peer> peers, instant listed_at,
                std::optional<instant> known_since) {
    peers_ = std::move(peers);
    peers_listed_at_ = listed_at;
    peers_known_since_ = known_since;
  }
  /// Sets the end of this instance's serving lease.
  void SetServingUntil(instant until) { serving_until_ = until; }
  instant ServingUntil() const { return serving_until_; }
  /// Returns a time after the last request of this instance to end a
  /// membership lease.
  instant LastMembershipEnd() const { return next_membership_end_; }
  /// Records that the membership lease of `member` was ended: it renews no
  /// serving lease from the store until it is listed again.
  void OnMembershipEnded(instance_id member, instant now);
  /// Sets the duty to request promotions from the platform.
  void SetDuty(const duty_seen& duty);
  /// Records that `from` acts on no record older than `revision`.
  void OnRecordAck(instance_id from, std::uint64_t revision, instant now,
                   effect_list& effects);
  /// Applies the state that an endpoint reported in answer to a request sent
  /// at `sent_at`.
  void OnEndpointState(endpoint_id endpoint, instant sent_at,
                       const endpoint_state& state, instant now);
  void OnProbeAnswered(const probe_answered& answer, instant now);
  void OnProbeFailed(const probe_failed& failure, instant now);
  /// Handles the loss or time-out of an existing connection. That alone doesn't
  /// show that the endpoint is down, so a probe over a new connection follows.
  void OnConnectionFault(endpoint_id endpoint, instant now);
  /// Handles a new connection, requested at `sent_at`, that was refused or
  /// timed out.
  void OnNewConnectionFailed(endpoint_id endpoint, instant sent_at,
                             bool unanswered, instant now);
  void OnMoved(const endpoint_moved& answer, instant now, effect_list& effects);
  void OnPromoted(const endpoint_promoted& answer, instant now,
                  effect_list& effects);
  /// Handles the platform's answer to a request for a promotion.
  void OnPromotionAnswered(const promotion_answered& answer, instant now,
                           effect_list& effects);
  void OnRecord(const versioned_record& record, instant now,
                effect_list& effects);
  void OnWritten(const record_written& result, instant now,
                 effect_list& effects);
  /// Applies another instance's suspicion. A suspicion is an instance's view
  /// that the primary is unreachable or doesn't replicate; a quorum of them
  /// starts a change of primary.
  void OnSuspicion(instance_id from, const suspicion_report& report,
                   instant now);
  /// Applies what another instance knows of the endpoints, in answer to a
  /// request sent at `requested_at`. Evidence holds from when it was sampled,
  /// whoever passes it on. That an endpoint answered another instance says
  /// nothing of whether it can be reached from here.
  void OnRelayedEvidence(const evidence_update& update, instant requested_at,
                         instant now);
  /// Sets whether another instance provides the endpoints' states. Those not
  /// known yet are then not probed for.
  void SetRelayed(bool relayed) { relayed_ = relayed; }
  /// Starts a planned change of primary to `endpoint`, or to any replica if
  /// its id is 0.
  void OnPromoteRequested(endpoint_id endpoint, instant now,
                          effect_list& effects);
  /// Runs the timers for probes, suspicion and takeover. Call at each tick.
  void OnTick(instant now, effect_list& effects);
  /// Sends the probes that are due or requested. Call after RequestSample or
  /// RequestReplicaPositions.
  void SendProbes(instant now, effect_list& effects);

  /// Request a probe ahead of its time: of the primary for a sample of its
  /// position, or of the replicas.
  void RequestSample() { sample_requested_ = true; }
  void RequestReplicaPositions() { replica_positions_requested_ = true; }

  // Queries.

  const versioned_record& Record() const { return record_; }
  /// True while the record is open and its primary is a declared endpoint.
  bool Open() const;
  /// True if a change of primary has decided the next term, which accepts no
  /// writes yet.
  bool IsSealed() const {
    return record_.revision != 0 &&
           record_.record.phase == group_phase::kSealed;
  }
  /// True while writes may be sent: the record is open, not draining.
  bool AcceptsWrites() const { return Open(); }
  term_number Term() const { return record_.record.term; }
  endpoint_id Primary() const { return record_.record.primary; }
  const fork_history& Forks() const { return record_.record.forks; }
  /// The newest term whose log is defined. Lower than Term() until a candidate
  /// has been chosen.
  term_number LogTerm() const;

  /// True while this instance holds a permit: evidence no older than
  /// `core_options::permit` that a majority of the witnesses, the primary among
  /// them if the service is term-bound, is at the term. Where the platform
  /// promotes, the serving lease must hold besides. Guarantees that no later
  /// term is open.
  bool HoldsPermit(instant now) const;

  /// True while this instance has to change the set of witnesses: a database
  /// that is not a witness yet was declared, or a witness is not declared any
  /// more. Until then fewer databases than there are decide who may
  /// acknowledge.
  bool AwaitsWitnessReview(instant now) const;

  /// Returns the evidence of the term, with the primary's position, for other
  /// instances; empty if a permit will not hold for at least `remaining`.
  std::optional<evidence_update> Evidence(duration remaining,
                                          instant now) const;

  /// Returns a position of the primary that was sampled at or after `since`
  /// and is confirmed by a permit. Term-bound services also need the permit to
  /// hold at `now`.
  std::optional<log_point> SampleSince(instant since, instant now);

  /// Returns whether a write that ended at `point`, and whose answer arrived at
  /// `answered_at`, may be acknowledged now.
  ack_state WriteAckState(log_point point, instant answered_at,
                          instant now) const;
  /// True if another database may still become the primary by a request whose
  /// outcome is unknown. Writes then need its state.
  bool HasUnsettledPromotion(instant now) const;

  /// True if `floor` is beyond a fork of the known history. Final only under a
  /// permit: a later term may continue the log that contains it.
  bool IsBeyondFork(log_point floor) const;

  /// True if `floor` was lost in a change of primary. Where acknowledged writes
  /// always survive a change, a floor beyond a fork is only an upper bound and
  /// is reduced to its surviving part.
  bool IsFloorLost(log_point floor) const;

  /// True if the endpoint may serve reads: it is reachable, isn't leaving, and
  /// is the primary or a replica whose log follows the newest defined term.
  bool ServesReads(endpoint_id endpoint) const;

  /// Returns the lowest floor that satisfies both.
  log_point Later(log_point a, log_point b) const;

  /// True if a log up to `reached` satisfies `floor`.
  bool Covers(log_point reached, log_point floor) const;

  /// True if the endpoint's last known position satisfies `floor`.
  bool Reaches(endpoint_id endpoint, log_point floor) const;

  const std::map<endpoint_id, endpoint_view>& Endpoints() const {
    return endpoints_;
  }
  const endpoint_view* View(endpoint_id endpoint) const;
  bool Suspects(endpoint_id endpoint) const;
  /// Returns the change of primary in progress.
  change_report Change(instant now) const;
  group_id Id() const { return id_; }
  const std::string& Name() const { return name_; }
  const service_spec& Service() const { return service_; }

 private:
  /// Steps of a record change or change of primary that this instance drives.
  enum class step : std::uint8_t {
    kIdle,
    kCreating,   ///< Writing a new group's first record.
    kDraining,   ///< Writing the draining record, then waiting to catch up.
    kSealing,    ///< Writing the sealed record.
    kMoving,     ///< Moving a majority of the witnesses to the new term.
    kChoosing,   ///< Writing the chosen candidate.
    kPromoting,  ///< Promoting the candidate and waiting for permits to lapse.
    kOpening,    ///< Writing the open record.
    kHandingBack,         ///< Writing the record that opens the old term again.
    kReplacingWitnesses,  ///< Writing a changed set of witnesses.
  };

  /// The cause of a change of primary; decides which candidates are eligible.
  enum class reason : std::uint8_t {
    kUnreachable,     ///< The primary does not answer.
    kNotReplicating,  ///< The primary answers, but no replica advances.
    kPlanned,         ///< Requested by an operator or a release note.
  };

  /// Progress of the most advanced replica towards a position of the primary.
  struct replication_progress {
    log_position target_position = 0;
    log_position best_position = 0;
    instant last_progress_at{};
  };

  /// A replica that is not registered any more.
  struct departure {
    std::optional<instant> since;
    /// The log up to this point holds every commit that only the departed one
    /// may have received: it reported this end of its log while nobody served,
    /// or the primary did after the departure.
    std::optional<log_point> covered_by;
  };

  /// What became of the requests to promote an endpoint, in one change.
  struct candidacy {
    /// The endpoint's identity, as in `unsettled_promotion`.
    endpoint_id target;
    bool in_flight = false;
    instant requested_at{};
    std::optional<instant> accepted_at;
    /// A request may still take effect: it was not answered, or it was accepted
    /// and has had no effect.
    bool may_take_effect = false;
    /// Other candidates are tried first.
    bool given_up = false;
  };

  // Endpoint state (group_terms.cc).
  void OnLogPosition(endpoint_view& view, instant sent_at,
                     const endpoint_state& state, instant now);
  endpoint_view* Find(endpoint_id endpoint);
  bool IsWitness(endpoint_id endpoint) const;
  std::size_t Majority() const;
  std::uint64_t UniqueId();
  void Log(effect_list& effects, log_level level, std::string_view name,
           std::string text, endpoint_id endpoint) const;

  // Failure detection (suspicion.cc).
  void SendProbe(endpoint_view& view, instant now, effect_list& effects);
  instant ProbeDueAt(const endpoint_view& view) const;
  /// True if a requested probe of a replica may be sent ahead of its time.
  bool ReplicaProbeDue(const endpoint_view& view, instant now) const;
  void RecordConnectionFailure(endpoint_view& view, instant since, instant now);
  void CheckReplicationProgress(instant now);
  bool SuspicionQuorumReached(instant now) const;
  void SendSuspicion(instant now, effect_list& effects);
  void EvaluateUndeclaredPrimary(instant now, effect_list& effects);
  void EvaluatePrimary(instant now, effect_list& effects);

  // The change of primary (term_change.cc).
  /// Writes the sealed record of the next term. `preferred` is the endpoint to
  /// promote if it is among the most advanced, or 0.
  void StartSealing(reason change_reason, endpoint_id preferred, instant now,
                    effect_list& effects);
  /// Starts a compare-and-swap of the record and enters `next_step`.
  void StartRecordWrite(group_record record, step next_step, instant now,
                        effect_list& effects);
  void EnterStep(step next, instant now);
  void AdvanceChange(instant now, effect_list& effects);
  void MoveEndpoints(instant now, effect_list& effects);
  void ChooseCandidate(instant now, effect_list& effects);
  void PromoteCandidate(instant now, effect_list& effects);
  void OpenIfDue(instant now, effect_list& effects);
  void ResumeChange(instant now, effect_list& effects);
  /// True if the endpoint is at the term and its log contains `point`.
  bool ContainsLogUpTo(endpoint_id endpoint, log_point point) const;
  bool PermitsLapsed(instant now) const;
  /// Returns the part of `floor` that survives changes of primary where every
  /// acknowledged write does, else `floor` itself.
  log_point SurvivingFloor(log_point floor) const;
  /// Drops all state that holds for the previous term only.
  void ClearTermState();

  // Planned changes (planned_change.cc).
  void StartDraining(endpoint_id preferred, instant now, effect_list& effects);
  void FinishDraining(instant now, effect_list& effects);

  // Changes of primary by the platform's promotion (promotion.cc).
  /// True while this instance surely holds the duty for the length of a
  /// request.
  bool HoldsDuty(instant now) const;
  /// True if it may use the duty, too: no earlier holder does any more.
  bool MayDrive(instant now) const;
  void AdvancePromotion(instant now, effect_list& effects);
  void SendRecord(instant now, effect_list& effects);
  /// True if every instance that may act acknowledged `revision`.
  bool AllAcknowledged(std::uint64_t revision) const;
  /// True once no other instance releases answers of an earlier term: each has
  /// acknowledged the sealed record, or its serving lease has expired.
  bool NoOtherServes(instant now) const;
  /// True if those that acknowledged the sealed record are more than half of
  /// all instances, so that the others are no majority of any list.
  bool MajorityAcknowledged() const;
  /// Ends the membership leases of the instances that do not acknowledge.
  void EndSilentMemberships(instant now, effect_list& effects);
  /// Requests the list of instances if the last is older than the phase.
  void RequestMembers(instant now, effect_list& effects);
  void ChooseForPromotion(instant now, effect_list& effects);
  /// Chooses the replica to promote where replicas acknowledge commits
  /// (replica_choice.cc).
  void ChooseAcknowledging(instant now, effect_list& effects);
  /// Notes when no other instance served any more, and requests the states of
  /// all databases from then on.
  void StartReports(instant now);
  /// True while a choice depends on the states of all replicas.
  bool AwaitsReports() const {
    return step_ == step::kMoving && reports_since_.has_value();
  }
  /// True if a complete state was read since the reports began.
  bool HasReported(const endpoint_view& view) const;
  /// Returns the databases that may have received commits alone, and have not
  /// reported. A log up to `reached` covers departed ones.
  std::vector<endpoint_id> UnreportedReplicas(log_point reached) const;
  /// True if a candidate whose log reaches `point` has every acknowledged
  /// commit.
  bool HasAllAcknowledged(endpoint_id candidate, log_point point) const;
  void LogAwaitedReports(log_point best, instant now, effect_list& effects);
  /// Keeps a replica that is not registered any more until its commits are
  /// covered.
  void NoteDeparture(const endpoint_view& view);
  /// Drops departed replicas whose commits another one has, and requests the
  /// primary's position for the others.
  void FollowDepartures(instant now);
  /// Handles a state of the primary that was requested at `sent_at`.
  void CoverDepartures(const endpoint_view& primary, instant sent_at);
  /// Returns the database that reports itself as the primary of the last open
  /// term, under whatever id; 0 if there is none, or if its log is incomplete.
  endpoint_id PresentPrimary() const;
  /// True if the change was requested while the primary was in order.
  bool IsPlanned() const;
  /// Opens the old term again with its primary, `present`.
  void HandBack(endpoint_id present, instant now, effect_list& effects);
  /// True if the platform has not accepted the candidate's promotion for a
  /// while, and no request is under way.
  bool IsPromotionStalled(instant now) const;
  /// Hands the group back if its primary has returned in time. Returns whether
  /// it does.
  bool HandBackIfReturned(instant now, effect_list& effects);
  void OnNoCandidate(endpoint_id present, instant now, effect_list& effects);
  bool IsEligible(const endpoint_view& view, endpoint_id present) const;
  /// Writes the record that names the endpoint to promote.
  void WriteCandidate(endpoint_id candidate, log_point point, instant now,
                      effect_list& effects);
  candidacy& CandidacyOf(endpoint_id endpoint);
  duration NextRetryDelay();
  void RequestPromotion(instant now, effect_list& effects);
  void ReviewCandidate(instant now);
  // Promotions that may still take effect (unsettled_promotions.cc).
  void FollowUnsettled(instant now);
  bool IsUnsettled(const endpoint_view& view, instant now) const;
  /// Returns the list for the next record of the group.
  std::vector<unsettled_promotion> NextUnsettled(instant now) const;
  /// True if a database other than `present` may have been promoted without
  /// having been seen as the primary.
  bool MayHaveBeenPromoted(endpoint_id present) const;
  /// True if the platform accepted a request for `present` and it still leads
  /// the old term, so that no other promotion has taken effect before.
  bool IsPresentForThePlatform(endpoint_id present, instant now) const;
  /// True if the database has reported since `taken_effect` that no later term
  /// has begun there.
  bool IsRuledOut(endpoint_id target, instant taken_effect) const;
  bool IsExpired(const unsettled_promotion& promotion, instant since,
                 instant now) const;
  /// True if no unsettled promotion had taken effect at `time`.
  bool NonePromotedBefore(instant time, instant now) const;
  void FindPromoted();
  void OnNewerTermSeen(term_number term, instant now);
  /// True if a later term was seen some time ago and has no record yet. That
  /// proves that the primary was replaced; no other instance has to agree.
  bool IsLaterTermOverdue(instant now) const;
  void OpenPromoted(instant now, effect_list& effects);
  void TakeOverCandidate(instant now, effect_list& effects);
  void ResumePromotion(instant now, effect_list& effects);

  void LogPromotionAnswer(const promotion_answered& answer,
                          effect_list& effects);
  /// What the group is waiting for (change_progress.cc).
  change_stage Stage(instant now) const;
  change_stage StageOfStep(instant now) const;

  // Between changes (group_upkeep.cc).
  bool AwaitingDeclarations(instant now);
  void CreateRecord(instant now, effect_list& effects);
  void MoveLaggingEndpoints(instant now, effect_list& effects);
  std::vector<endpoint_id> NextWitnesses() const;
  void ReviewWitnesses(instant now, effect_list& effects);
  bool MayBecomeWitness(const endpoint_view& view) const;
  void ReplaceWitness(instant now, effect_list& effects);
  void ReplaceLostWitnesses(instant now, effect_list& effects);
  void WriteWitnesses(std::vector<endpoint_id> witnesses, instant now,
                      effect_list& effects);
  void ReviewWitnessesAsDutyHolder(instant now, effect_list& effects);

  const core_options& options_;
  group_id id_;
  std::string name_;
  service_spec service_;
  std::map<endpoint_id, endpoint_view> endpoints_;
  versioned_record record_;
  bool record_known_ = false;
  bool record_read_requested_ = false;
  instant record_changed_at_{};
  instant next_record_read_{};
  position_samples samples_;
  bool sample_requested_ = false;
  bool replica_positions_requested_ = false;
  bool relayed_ = false;
  std::uint32_t live_instances_ = 0;

  std::map<instance_id, instant> peer_suspicions_;
  std::optional<instant> suspected_since_;
  std::optional<instant> undeclared_since_;
  bool suspicion_reported_ = false;
  instant next_suspicion_report_{};
  replication_progress replication_progress_;
  bool replication_stalled_ = false;

  step step_ = step::kIdle;
  reason reason_ = reason::kUnreachable;
  instant step_since_{};
  instant next_send_{};
  instant next_review_{};
  instant next_lagging_move_{};
  operation_id pending_write_;
  group_record pending_record_;
  /// Answers of the witnesses that were moved to the sealed term.
  std::map<endpoint_id, endpoint_state> moved_;
  std::optional<instant> majority_moved_;
  /// The endpoint that reports itself as the primary of the next term.
  std::optional<endpoint_id> promoted_;
  std::optional<instant> write_gap_since_;

  // Promotion by the platform.
  std::vector<recent_peer> peers_;
  instant peers_listed_at_{};
  std::optional<instant> peers_known_since_;
  instant serving_until_{};
  /// When the record's phase was first seen here, and the record's revision. An
  /// instance that was listed later reads the record before it takes part, so
  /// it knows the phase.
  instant phase_since_{};
  std::uint64_t phase_revision_ = 0;
  instant next_members_read_{};
  std::map<instance_id, std::uint64_t> acknowledged_;
  instant last_acknowledgement_at_{};
  std::map<instance_id, instant> memberships_ended_;
  instant next_membership_end_{};
  std::uint64_t fence_ = 0;       ///< 0: the duty is not held.
  std::uint64_t last_fence_ = 0;  ///< The last that was not 0.
  instant duty_usable_from_{};
  instant duty_until_{};
  std::map<endpoint_id, candidacy> candidacies_;
  /// The candidate of the record was given up; another one has to be chosen.
  bool candidate_given_up_ = false;
  /// Since when each unsettled promotion has been known here.
  std::map<unsettled_promotion, instant> unsettled_since_;
  /// Since when no other instance has served, in the present phase.
  std::optional<instant> reports_since_;
  instant next_reports_log_{};
  /// Replicas of the present log's term that are not registered any more.
  std::map<endpoint_id, departure> departed_;
  instant next_promotion_{};
  instant next_choice_{};
  /// When a planned change may be tried again.
  instant next_planned_change_{};
  duration retry_delay_{};
  std::uint32_t promotion_attempts_ = 0;
  /// The answer to the last attempt; empty until it arrives.
  std::optional<promotion_answered> last_promotion_answer_;
  closed_time closed_time_;
  /// The start of the promoted endpoint's term.
  fork_point promoted_fork_;
  /// Since when answers have come from a term newer than the record's.
  std::optional<instant> newer_term_since_;
  /// Number of endpoints declared so far, and since when it is unchanged.
  std::size_t declared_count_ = 0;
  instant declared_count_since_{};
  std::uint64_t unique_counter_ = 0;
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_GROUP_TERMS_H_
