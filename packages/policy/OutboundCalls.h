/** \file
 * Steps that the handlers of the outbound role share: sending attempts and ending calls.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Sends an attempt to aTarget and lends it tokens. */
void
SendAttempt(NodeState& aState,
            ReduceContext& aContext,
            CallId aCall,
            NodeId aTarget,
            bool aIsHedge);

/** What routing has to know of the call; draws new random bits. */
RouteQuery
MakeRouteQuery(ReduceContext& aContext, const OutboundCall& aCall);

/** Chooses a target and sends the next attempt of an idempotent call, or ends the call. */
void
TryTarget(NodeState& aState, ReduceContext& aContext, CallId aCall);

/** Presents the ticket to its executor, or ends the call when the executor is lost. */
void
TryExecutor(NodeState& aState, ReduceContext& aContext, CallId aCall);

/** The attempt is over. Returns its target and start; nullopt when the attempt is not known. */
std::optional<Attempt>
CloseAttempt(NodeState& aState, AttemptId aAttempt);

/** Gives up all open attempts of the call, reports them to routing and tells their targets. */
void
CancelAttempts(NodeState& aState, ReduceContext& aContext, CallId aCall, AttemptOutcome aOutcome);

/** Sends the whole answer to the caller and forgets the call. */
void
ReplyAnswer(NodeState& aState, ReduceContext& aContext, CallId aCall, Answer aAnswer);

/** Sends a refusal to the caller and forgets the call. The verdict is raised to "may have run" when
 * an earlier attempt may have run. */
void
ReplyRefusal(NodeState& aState, ReduceContext& aContext, CallId aCall, Refusal aRefusal);

/** Refuses a request for which no call was made. */
void
RefuseRequest(NodeState& aState,
              ReduceContext& aContext,
              const CallerRequestArrived& aEvent,
              Refusal aRefusal,
              std::optional<Ticket> aFreshTicket = std::nullopt);

} // namespace fulmarway
