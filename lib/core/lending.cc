// Requests, grants, returns and ends loans of connections.

#include "lending.h"

#include <algorithm>
#include <vector>

#include "connections.h"

namespace marjoramslip {
namespace {

/// Largest number of connections requested in one loan.
constexpr std::uint32_t kMaxConnectionsPerLoan = 4;
/// Number of its own connections that a lender always keeps.
constexpr std::uint32_t kMinKeptConnections = 1;

/// Ranks a connection by the cost of closing it. The lowest rank is closed
/// first.
int ClosingCost(core_state& core, connection_id id) {
  const connection_state& connection = *core.Connection(id);
  if (!connection.open) {
    return 0;
  }
  if (connection.pinned != caller_id{}) {
    return 3;
  }
  const request_state* const request = core.Request(connection.request);
  return request != nullptr && IsReadOnly(request->kind) ? 1 : 2;
}

/// Returns the number of connections that the pool can lend now.
std::uint32_t SpareConnections(const core_state& core,
                               const endpoint_pool& pool) {
  const std::uint32_t own = pool.OwnCapacity(core.now);
  const std::uint32_t used =
      std::max(kMinKeptConnections, pool.Busy() + pool.Opening());
  const bool needed = pool.Waiting().Count() > 0 || core.draining ||
                      pool.Loans().Borrowed(core.now) > 0;
  return needed || own <= used ? 0 : own - used;
}

/// Returns the instances that may have connections to lend.
std::vector<instance_id> LendersOf(const core_state& core,
                                   const group_state& group) {
  if (group.carriers.empty()) {
    return core.members.Peers();
  }
  std::vector<instance_id> lenders;
  for (const carrier& entry : group.carriers) {
    if (entry.id != core.self) {
      lenders.push_back(entry.id);
    }
  }
  return lenders;
}

}  // namespace

void BorrowIfShort(core_state& core, endpoint_pool& pool) {
  loan_book& loans = pool.Loans();
  const auto waiting = static_cast<std::uint32_t>(pool.Waiting().Count());
  if (waiting == 0 || pool.SendAllowance() == 0 ||
      pool.Connections() < pool.Capacity(core.now) || pool.LeavingSince() ||
      !loans.MayRequest(core.now)) {
    return;
  }
  const std::vector<instance_id> peers =
      LendersOf(core, *core.Group(pool.Group()));
  if (peers.empty()) {
    return;
  }
  const std::uint64_t loan_id = core.next_loan++;
  const instance_id peer = peers[loan_id % peers.size()];
  loans.OnRequested(peer, loan_id, core.now);
  core.Emit(send_peer_message{
      peer, loan_request{pool.Id(), std::min(waiting, kMaxConnectionsPerLoan),
                         loan_id}});
}

void ReturnUnusedLoans(core_state& core, endpoint_pool& pool) {
  const std::uint32_t own = pool.OwnCapacity(core.now);
  if (pool.Loans().Borrowed(core.now) == 0 || pool.Waiting().Count() > 0 ||
      pool.Busy() + pool.Opening() > own) {
    return;
  }
  const std::vector<loan_entry> loans = pool.Loans().TakeBorrowed();
  CloseExcessIdle(core, pool);
  for (const loan_entry& loan : loans) {
    if (core.now < loan.ends_at) {
      core.Emit(send_peer_message{
          loan.peer, loan_return{pool.Id(), loan.connections, loan.loan_id}});
    }
  }
}

void ExpireLoans(core_state& core, endpoint_pool& pool) {
  const endpoint_id endpoint = pool.Id();
  pool.Loans().Expire(core.now);
  CloseExcessIdle(core, pool);
  std::vector<connection_id> all(pool.All().begin(), pool.All().end());
  std::stable_sort(all.begin(), all.end(),
                   [&core](connection_id left, connection_id right) {
                     return ClosingCost(core, left) < ClosingCost(core, right);
                   });
  for (const connection_id id : all) {
    const endpoint_pool* const current = core.Pool(endpoint);
    if (current == nullptr || current->IsWithinCapacity(core.now)) {
      return;
    }
    const connection_state* const connection = core.Connection(id);
    if (connection == nullptr) {
      continue;
    }
    if (connection->open) {
      core.Emit(close_connection{id});
      HandleConnectionLoss(core, id, true, true);
    } else {
      CloseConnection(core, id);
    }
  }
}

void OnLoanRequest(core_state& core, instance_id borrower,
                   const loan_request& request) {
  endpoint_pool* const pool = core.Pool(request.endpoint);
  if (pool == nullptr || pool->Loans().HasLent(borrower, request.loan_id)) {
    return;
  }
  const std::uint32_t granted =
      std::min(request.connections, SpareConnections(core, *pool));
  if (granted > 0) {
    pool->Loans().Lend(borrower, request.loan_id, granted, core.now);
    CloseExcessIdle(core, *pool);
    core.Check(pool->IsWithinCapacity(core.now),
               "a loan exceeds the lender's idle connections");
    SetPoolTimer(core, *pool);
  }
  core.Emit(send_peer_message{
      borrower,
      loan_grant{request.endpoint, granted, request.loan_id, kLoanDuration}});
}

void OnLoanGrant(core_state& core, instance_id lender,
                 const loan_grant& grant) {
  endpoint_pool* const pool = core.Pool(grant.endpoint);
  const bool accepted =
      pool != nullptr &&
      pool->Loans().OnGranted(lender, grant.loan_id, grant.connections,
                              grant.loan_duration, core.now);
  if (!accepted) {
    if (grant.connections > 0) {
      core.Emit(send_peer_message{
          lender,
          loan_return{grant.endpoint, grant.connections, grant.loan_id}});
    }
    return;
  }
  ProcessPool(core, *pool);
}

void OnLoanReturn(core_state& core, instance_id borrower,
                  const loan_return& returned) {
  endpoint_pool* const pool = core.Pool(returned.endpoint);
  if (pool == nullptr) {
    return;
  }
  pool->Loans().OnReturn(borrower, returned.loan_id);
  ProcessPool(core, *pool);
}

void OnLenderLeft(core_state& core, instance_id lender) {
  std::vector<endpoint_id> affected;
  for (auto& [id, pool] : core.pools) {
    if (pool.Loans().Borrowed(core.now) > 0) {
      pool.Loans().DropLender(lender);
      affected.push_back(id);
    }
  }
  std::sort(affected.begin(), affected.end());
  for (const endpoint_id id : affected) {
    if (endpoint_pool* const pool = core.Pool(id)) {
      ExpireLoans(core, *pool);
    }
  }
}

}  // namespace marjoramslip
