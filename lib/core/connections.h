// Connections to endpoints: opening and closing them, queueing requests for
// them, and sending statements.

#ifndef MARJORAMSLIP_LIB_CORE_CONNECTIONS_H_
#define MARJORAMSLIP_LIB_CORE_CONNECTIONS_H_

#include <string>

#include "core_state.h"

namespace marjoramslip {

/// Queues a request for the next available connection to an endpoint, or fails
/// it if the expected wait exceeds its deadline. May send or end the request.
void Enqueue(core_state& core, request_state& request, endpoint_id endpoint);

/// Returns the end of a refusal's text: when its caller should come back to
/// this endpoint.
std::string RetryAdvice(core_state& core, const endpoint_pool& pool,
                        std::uint32_t priority);

/// Sends queued requests over idle connections, and opens and closes
/// connections as needed.
void ProcessPool(core_state& core, endpoint_pool& pool);

/// Sends a request's statement over a connection.
void SendOverConnection(core_state& core, connection_state& connection,
                        request_state& request);

/// Returns a connection without a transaction to its pool, or closes it if it
/// cannot be reused.
void ReturnToPool(core_state& core, connection_state& connection);

/// Closes a connection that carries no request. Ends any transaction that is
/// pinned to it.
void CloseConnection(core_state& core, connection_id id);

/// Closes the pool's idle connections that exceed its share or belong to
/// another term than the group's. Closes all of them if the endpoint is
/// leaving.
void CloseExcessIdle(core_state& core, endpoint_pool& pool);

/// Routes the requests of one class that are queued for an endpoint again.
void RerouteQueued(core_state& core, endpoint_pool& pool,
                   admission_class priority);

/// Sets the share of every endpoint's pool from this instance's seat.
void UpdateShares(core_state& core);

void OnConnectionOpened(core_state& core, const connection_opened& opened);
void OnConnectionRefused(core_state& core, const connection_refused& refused);

/// Handles the loss of a connection, together with the request that it carries.
/// The flags are those of connection_lost.
void HandleConnectionLoss(core_state& core, connection_id id, bool maybe_sent,
                          bool maybe_forwarded);

/// Sets the pool's timer to the next time at which the pool needs attention
/// without an event.
void SetPoolTimer(core_state& core, endpoint_pool& pool);

/// Handles the expiry of a pool's timer.
void OnPoolTimer(core_state& core, endpoint_id id);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_LIB_CORE_CONNECTIONS_H_
