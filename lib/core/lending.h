// Lends and borrows connections between instances.

#ifndef MARJORAMSLIP_LIB_CORE_LENDING_H_
#define MARJORAMSLIP_LIB_CORE_LENDING_H_

#include "core_state.h"

namespace marjoramslip {

/// Requests a loan from one of the peers if requests wait and the pool may not
/// open more connections.
void BorrowIfShort(core_state& core, endpoint_pool& pool);

/// Returns all borrowed connections to their lenders if none is needed.
void ReturnUnusedLoans(core_state& core, endpoint_pool& pool);

/// Removes loans that have ended and closes the connections in excess of share
/// and loans, idle connections first and transactions last.
void ExpireLoans(core_state& core, endpoint_pool& pool);

/// Lends spare connections to a peer, and answers its request with a grant. The
/// grant is of 0 connections if none can be spared.
void OnLoanRequest(core_state& core, instance_id borrower,
                   const loan_request& request);
/// Takes over the granted connections, or returns them at once if the grant
/// comes too late or answers no pending request.
void OnLoanGrant(core_state& core, instance_id lender, const loan_grant& grant);
/// Ends a loan to a peer before its time.
void OnLoanReturn(core_state& core, instance_id borrower,
                  const loan_return& returned);

/// Ends the loans of an instance that has left the cluster, and closes the
/// connections that they covered.
void OnLenderLeft(core_state& core, instance_id lender);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_LENDING_H_
