/** \file
 * The inbound role: admits requests to the local backend server and tracks each one until it has an
 * outcome.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Handles a request from the outbound role of this or another node. */
void
HandleCallRequest(NodeState& aState,
                  ReduceContext& aContext,
                  Requester aRequester,
                  const CallRequest& aCall);

/** The requester no longer waits for the outcome. A running request with a ticket continues, since
 * its answer must be cached for a retry. */
void
HandleCallCancelled(NodeState& aState, ReduceContext& aContext, Requester aRequester);

/** Cancels all requests that arrived over the connection. */
void
HandleLinkClosed(NodeState& aState, ReduceContext& aContext, LinkId aLink);

void
HandleBackendAnswered(NodeState& aState, ReduceContext& aContext, const BackendAnswered& aEvent);

void
HandleBackendFailed(NodeState& aState, ReduceContext& aContext, const BackendFailed& aEvent);

/** Sheds and starts requests as admission decided. */
void
ApplyAdmission(NodeState& aState, ReduceContext& aContext, const AdmissionDecision& aDecision);

/** Ends running requests whose deadline has passed; requests with a ticket get extra time. */
void
AdvanceInbound(NodeState& aState, ReduceContext& aContext);

/** The running request that a downstream call names as its parent; nullptr if it is not running. */
const InboundRequest*
FindRunningRequest(const NodeState& aState, RequestId aRequest);

/** Records that the request made a downstream call. */
void
RecordDownstreamCall(NodeState& aState, RequestId aParent, const DownstreamCall& aCall);

/** Records that a downstream call of the request was refused as not run. */
void
RecordRefusedDownstreamCall(NodeState& aState, RequestId aParent, DownstreamCall aCall);

} // namespace fulmarway
