/** \file
 * Handling of a caller's request before its first attempt: validation, issuing of tickets, the
 * limit on caller retries, and creation of the outbound call.
 */
#pragma once

#include "policy/NodeState.h"

#include <string_view>

namespace fulmarway {

/** Whether a request is a call of the local backend server. Callers on its VM have the same address
 * but send a key where there are client accounts; a backend server never sends one. */
bool
IsBackendCall(const CallerRequest& aRequest, std::string_view aBackendAddress);

/** Validates a caller's request, for which the process needs aBytes. Returns the refusal, or
 * nullopt when a call may be made for it. */
std::optional<Refusal>
ValidateCallerRequest(const NodeState& aState,
                      const ReduceContext& aContext,
                      const CallerRequest& aRequest,
                      std::size_t aBytes);

/** Answers GET /v1/ticket. */
void
ReplyTicket(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** Refuses a request that carries no ticket although its kind requires one. The reply contains a
 * new ticket when an executor is available. */
void
RefuseAndIssueTicket(NodeState& aState,
                     ReduceContext& aContext,
                     const CallerRequestArrived& aEvent);

/** Counts the attempt against the caller's retry share and refuses a caller retry that exceeds it.
 * Returns whether the request was refused. The verdict is "may have run" for a request with a
 * ticket, since an earlier attempt under the ticket may have been executed. */
bool
RefuseExcessCallerRetry(NodeState& aState,
                        ReduceContext& aContext,
                        const CallerRequestArrived& aEvent);

/** Creates the call for a request that passed ValidateCallerRequest(), and opens the token pool of
 * a root request. A downstream call uses the pool of its parent. */
OutboundCall
MakeCall(NodeState& aState,
         ReduceContext& aContext,
         CallId aId,
         const CallerRequestArrived& aEvent);

/** Assigns the call the child ticket that belongs to its parent's ticket and call index. Returns
 * false when the parent has no ticket, when no executor is available, or when the ticket table
 * cannot record the child ticket. */
bool
AssignChildTicket(NodeState& aState, ReduceContext& aContext, OutboundCall& aCall);

} // namespace fulmarway
