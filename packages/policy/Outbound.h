/** \file
 * The outbound role: calls for callers and for the own backend server, from arrival to reply.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

void
HandleCallerRequest(NodeState& aState, ReduceContext& aContext, const CallerRequestArrived& aEvent);

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

/** Deadlines, hedges and repeats of tickets. */
void
AdvanceOutbound(NodeState& aState, ReduceContext& aContext);

/** The request on the own backend server has ended; its deeper calls are of no use. */
void
CancelCallsOfParent(NodeState& aState, ReduceContext& aContext, RequestId aParent);

} // namespace fulmarway
