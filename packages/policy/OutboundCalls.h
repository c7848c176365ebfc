/** \file
 * Operations shared by the handlers of the outbound role: sending attempts and ending calls.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Sends an attempt to aTarget and reserves tokens for its downstream calls. */
void
SendAttempt(NodeState& aState,
            ReduceContext& aContext,
            CallId aCall,
            NodeId aTarget,
            bool aIsHedge);

/** The routing query for the next attempt of the call, with new random bits. */
RouteQuery
MakeRouteQuery(const NodeState& aState, ReduceContext& aContext, const OutboundCall& aCall);

/** Chooses a target and sends the next attempt of an idempotent call, or ends the call. */
void
TryTarget(NodeState& aState, ReduceContext& aContext, CallId aCall);

/** Presents the ticket to its executor, or ends the call when the executor is lost. */
void
TryExecutor(NodeState& aState, ReduceContext& aContext, CallId aCall);

/** Removes the attempt from its call and returns it; nullopt when the attempt is unknown. */
std::optional<Attempt>
CloseAttempt(NodeState& aState, AttemptId aAttempt);

/** Cancels all attempts in flight of the call: forfeits their tokens, reports aOutcome to routing
 * and notifies their targets. */
void
CancelAttempts(NodeState& aState, ReduceContext& aContext, CallId aCall, AttemptOutcome aOutcome);

/** Sends the complete answer to the caller and removes the call. */
void
ReplyAnswer(NodeState& aState, ReduceContext& aContext, CallId aCall, Answer aAnswer);

/** Sends a refusal to the caller and removes the call. The verdict is raised to "may have run" when
 * an earlier attempt may have run. */
void
ReplyRefusal(NodeState& aState, ReduceContext& aContext, CallId aCall, Refusal aRefusal);

/** Refuses a request for which no call was made. aNewTicket is included in the reply. */
void
RefuseRequest(NodeState& aState,
              ReduceContext& aContext,
              const CallerRequestArrived& aEvent,
              Refusal aRefusal,
              std::optional<Ticket> aNewTicket = std::nullopt);

} // namespace fulmarway
