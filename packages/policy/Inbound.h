/** \file
 * The inbound role: requests for the node's own backend server, from their arrival to the outcome.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** A request from another node's or this node's outbound role. */
void
HandleCallRequest(NodeState& aState,
                  ReduceContext& aContext,
                  Requester aRequester,
                  const CallRequest& aCall);

/** The requester no longer waits. A running request with a ticket goes on, since its answer must
 * be remembered for a repeat. */
void
HandleCallCancelled(NodeState& aState, ReduceContext& aContext, Requester aRequester);

/** All requests of the connection lose their requester. */
void
HandleLinkClosed(NodeState& aState, ReduceContext& aContext, LinkId aLink);

void
HandleBackendAnswered(NodeState& aState, ReduceContext& aContext, const BackendAnswered& aEvent);

void
HandleBackendFailed(NodeState& aState, ReduceContext& aContext, const BackendFailed& aEvent);

/** Starts and sheds what admission decided. */
void
ApplyAdmission(NodeState& aState, ReduceContext& aContext, const AdmissionDecision& aDecision);

/** Ends running idempotent requests whose deadline has passed. */
void
AdvanceInbound(NodeState& aState, ReduceContext& aContext);

/** The running request that a deeper call names as its parent; nullptr when it is not running. */
const InboundRequest*
FindRunning(const NodeState& aState, RequestId aRequest);

/** A deeper call of the running request was refused as not run. */
void
NoteRefusedDeeperCall(NodeState& aState, RequestId aParent, DeeperCall aCall);

} // namespace fulmarway
