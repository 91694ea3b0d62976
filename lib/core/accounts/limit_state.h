// What an instance knows of the rate limits of accounts.

#ifndef MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_STATE_H_
#define MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_STATE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "limit_authority.h"
#include "limit_buckets.h"
#include "limit_purse.h"
#include "limit_terms.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/core/peer_messages.h"

namespace marjoramslip {

/// The right to send one operation of an account, up to `expires_at`.
struct operation_token {
  account_id account;
  instant expires_at;
};

/// A first statement that waits for a token from a home instance.
struct held_operation {
  statement_received statement;
  instant arrived_at;
};

/// An account with a limit, as a holder of tokens sees it.
struct limited_account {
  /// One shard of the limit.
  struct shard_view {
    instant exhausted_until{};  ///< The home had too few tokens.
    std::uint64_t ticket = 0;   ///< Of the unanswered request; 0: none.
  };

  std::string name;
  account_limit limit;
  limit_purse purse;
  std::array<shard_view, kLimitShards> shards;
  std::uint32_t next_shard =
      0;  ///< The shard to ask next, modulo their number.
  std::deque<held_operation> waiting;
  std::uint64_t granted = 0;
  std::uint64_t used = 0;
  std::uint64_t refused = 0;
  std::uint64_t refused_unlogged = 0;
  instant next_log{};
};

/// A request to a home instance that is not answered yet.
struct pending_limit_request {
  instance_id home;
  instant sent_at;
  std::vector<limit_request::part> parts;
};

/// A claim of shards that may still be answered.
struct sent_limit_claim {
  instant sent_at;
  limit_claim::scope asked = limit_claim::scope::kYoung;
  std::set<instance_id> answered;
};

struct limit_state {
  limit_state(instance_id self, std::uint64_t first_ticket, std::uint64_t seed)
      : authority(self), next_ticket(first_ticket), random(seed) {}

  limit_authority authority;
  limit_buckets buckets;
  /// The runs of the authority for which the shards' buckets were opened.
  std::array<std::optional<instant>, kLimitShards> opened_for;
  /// Tokens that former homes handed over, until this one begins.
  std::map<std::pair<account_id, std::uint32_t>, std::uint32_t> handed_over;
  std::map<account_id, limited_account> accounts;
  std::map<std::uint64_t, pending_limit_request> pending;
  /// The instances that granted tokens last, by shard.
  std::array<instance_id, kLimitShards> last_home;
  /// Home instances that did not answer or do not act for a shard.
  std::map<std::pair<instance_id, std::uint32_t>, instant> silent_until;
  std::uint64_t next_ticket;
  std::mt19937_64 random;
  bool resuming = false;   ///< A held operation is being resumed.
  instant list_read_at{};  ///< When the list of members was last requested.
  instant next_report_request{};
  instant next_claim{};
  std::map<std::uint64_t, sent_limit_claim> claims;  ///< By ticket.
  /// When this process last told a peer that it had lost the store.
  instant reported_loss_at{};
  /// When the store last answered that it ended a membership for this process.
  instant membership_ended_at{};
  instant next_refill{};
};

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_ACCOUNTS_LIMIT_STATE_H_
