/** \file
 * What the outbound role does with a caller's request before its first attempt: checks, tickets,
 * and the call that is made for it.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** The reason to refuse a request before a call is made for it. */
std::optional<Refusal>
CheckRequest(const NodeState& aState, const CallerRequest& aRequest);

/** Answers GET /v1/ticket. */
void
ReplyTicket(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** Refuses a request of a kind that needs a ticket and has none. */
void
RefuseWithTicket(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** Whether the caller's repeat is refused; the verdict is about the ticket when there is one. */
bool
RefuseRepeat(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** The call for a request that CheckRequest() did not refuse; opens its token pool. */
OutboundCall
MakeCall(NodeState& aState,
         ReduceContext& aContext,
         CallId aId,
         const CallerRequestArrived& aEvent);

/** Records the child ticket of a deeper call; false when there is no possible executor. */
bool
AssignChildTicket(NodeState& aState, ReduceContext& aContext, OutboundCall& aCall);

} // namespace fulmarway
