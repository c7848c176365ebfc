/** \file
 * The outbound role: calls for callers and for the local backend server, from arrival to reply.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

void
HandleCallerRequest(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

/** Permits the body, or refuses the request by what is known before it: validity, route, memory and
 * admission levels. */
void
HandleBodyAnnounced(NodeState& aState, ReduceContext& aContext, const CallerBodyAnnounced& aEvent);

void
HandleCallerDisconnected(NodeState& aState, ReduceContext& aContext, ExchangeId aExchange);

void
HandleCallAnswer(NodeState& aState, ReduceContext& aContext, const CallAnswer& aAnswer);

void
HandleCallAnswerPart(NodeState& aState, ReduceContext& aContext, const CallAnswerPart& aPart);

void
HandleCallRefused(NodeState& aState, ReduceContext& aContext, const CallRefused& aRefused);

void
HandlePeerLost(NodeState& aState, ReduceContext& aContext, const PeerLost& aEvent);

/** Ends calls at their deadline, and sends the hedges and ticket retries that are due. */
void
AdvanceOutbound(NodeState& aState, ReduceContext& aContext);

/** Cancels the downstream calls of a request on the local backend server that has ended. */
void
CancelCallsOfParent(NodeState& aState, ReduceContext& aContext, RequestId aParent);

} // namespace fulmarway
