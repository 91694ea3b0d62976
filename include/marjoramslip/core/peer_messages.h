// The messages that instances exchange.

#ifndef MARJORAMSLIP_CORE_PEER_MESSAGES_H_
#define MARJORAMSLIP_CORE_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/endpoint_state.h"
#include "marjoramslip/core/group_record.h"

namespace marjoramslip {

/// Reports whether the sender suspects a primary. A suspicion is an instance's
/// finding that a primary cannot be reached over new connections.
struct suspicion_report {
  group_id group;
  endpoint_id endpoint;
  term_number term = 0;
  bool suspected = false;
};

/// The newest record of a group that the sender has.
struct record_update {
  group_id group;
  versioned_record record;
};

/// Confirms that the sender acts on no record of this group with a revision
/// below `revision`.
struct record_ack {
  group_id group;
  std::uint64_t revision = 0;
};

/// The revision and the declared version of the sender's catalogue.
struct revision_update {
  std::uint64_t revision = 0;
  std::uint64_t declared_version = 0;
};

/// Requests the complete catalogue if its revision or its declared version is
/// above the known one.
struct catalogue_request {
  std::uint64_t known_revision = 0;
  std::uint64_t known_declared_version = 0;
};

/// The complete catalogue.
struct catalogue_update {
  catalogue value;
};

/// Requests a loan: the temporary transfer of part of the receiver's share of
/// an endpoint's connections to the sender.
struct loan_request {
  endpoint_id endpoint;
  std::uint32_t connections = 0;
  std::uint64_t loan_id = 0;  ///< Unique for the borrower.
};

/// Grants a loan for `loan_duration`, counted from when the request was sent.
struct loan_grant {
  endpoint_id endpoint;
  std::uint32_t connections = 0;
  std::uint64_t loan_id = 0;
  duration loan_duration{};
};

/// Returns a loan before it expires.
struct loan_return {
  endpoint_id endpoint;
  std::uint32_t connections = 0;
  std::uint64_t loan_id = 0;
};

/// Requests the receiver's evidence of a group's term.
struct evidence_request {
  group_id group;
  std::uint64_t ticket =
      0;  ///< Unique for the sender; comes back in the reply.
};

/// What the sender of an evidence_update knows of one endpoint.
struct endpoint_evidence {
  endpoint_id endpoint;
  endpoint_state state;
  /// Time from when the state was sampled to when the update was sent.
  duration age{};
};

/// Evidence that gave the sender a permit for the record with
/// `record_revision`.
struct evidence_update {
  group_id group;
  std::uint64_t ticket = 0;
  std::uint64_t record_revision = 0;
  std::vector<endpoint_evidence> endpoints;
};

/// The newest request of `peer` that the sender has received.
struct serving_echo {
  instance_id peer;
  std::uint64_t sequence = 0;
};

/// The revision of a group's record that the sender acts on.
struct record_revision {
  group_id group;
  std::uint64_t revision = 0;
};

/// Confirms to each instance in `echoes` that the sender had acknowledged no
/// record newer than `records` when it received that instance's request.
struct serving_status {
  std::uint64_t sequence = 0;  ///< Unique and increasing for the sender.
  bool reply_requested = false;
  /// The sender knows the records that were agreed before its process started.
  bool informed = false;
  /// Remaining time of the sender's lease from the store; zero if it has none.
  duration store_lease{};
  std::vector<serving_echo> echoes;
  std::vector<record_revision> records;
};

/// Requests tokens of accounts from the home instance of their shards. A token
/// is the right to begin one operation.
struct limit_request {
  /// Tokens of one account from one shard of its limit.
  struct part {
    account_id account;
    std::uint32_t shard = 0;
    std::uint32_t wanted = 0;
  };

  std::uint64_t ticket =
      0;  ///< Unique for the sender; comes back in the reply.
  std::vector<part> parts;
};

/// Grants tokens. They expire a time after the request was sent that depends
/// on the account's limit.
struct limit_grant {
  struct part {
    account_id account;
    std::uint32_t shard = 0;
    /// False if the sender may not grant tokens of this shard.
    bool is_home = false;
    std::uint32_t tokens = 0;
    /// Time until the next token, if fewer were granted than wanted.
    duration retry_after{};
  };

  std::uint64_t ticket = 0;
  std::vector<part> parts;
};

/// Asks the receiver to confirm that it grants no tokens of `shards`, bit by
/// bit, whose home the sender is about to become. Without shards, asks only
/// which instances the receiver's lists name.
struct limit_claim {
  enum class scope : std::uint8_t {
    /// Only processes that started lately answer, as after a loss of power.
    kYoung,
    /// The sender asks all instances that may act. One that acts says so, and
    /// acts on.
    kAll,
    /// All that do not act have confirmed: one that acts gives up.
    kActing,
  };

  std::uint64_t ticket = 0;  ///< Comes back in the reply.
  std::uint32_t shards = 0;
  scope asked = scope::kYoung;
};

/// Answers a claim.
struct limit_claim_ack {
  /// Tokens that the sender had left in the bucket of an account and shard, and
  /// has given up.
  struct balance {
    account_id account;
    std::uint32_t shard = 0;
    std::uint32_t tokens = 0;
  };

  std::uint64_t ticket = 0;
  /// The sender has given up what authority it had over the claimed shards.
  bool confirmed = false;
  bool young = false;  ///< Its process started lately.
  /// It has lost the store and ended memberships of others neither lately nor
  /// in an earlier process that may have done so lately.
  bool steady = false;
  /// `recent` holds every instance that may act as a home.
  bool covered = false;
  std::vector<instance_id> recent;
  std::vector<balance> balances;
};

/// The sender has become the home of `shards`, bit by bit.
struct limit_home {
  std::uint32_t shards = 0;
};

/// The sender shuts down and holds no more connections to endpoints.
struct leave_notice {};

using peer_message =
    std::variant<suspicion_report, record_update, revision_update,
                 catalogue_request, catalogue_update, loan_request, loan_grant,
                 loan_return, leave_notice, record_ack, evidence_request,
                 evidence_update, serving_status, limit_request, limit_grant,
                 limit_claim, limit_claim_ack, limit_home>;

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_CORE_PEER_MESSAGES_H_
