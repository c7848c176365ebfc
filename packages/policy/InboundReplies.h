/** \file
 * Completion of requests in the inbound role: replies to their requesters and removal from the
 * request table.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** The load report attached to every reply to a request of the kind. Its level is at most the level
 * of the downstream services that the kind requires, so that entry nodes refuse requests that would
 * fail there. */
LoadReport
MakeLoadReport(NodeState& aState, const ReduceContext& aContext, const std::string& aKind);

/** Sends an answer; a large body is sent in parts. */
void
SendAnswer(ReduceContext& aContext, const Requester& aRequester, CallAnswer aAnswer);

/** Sends a refusal of a request of the kind. A "not run" refusal without a retry-after hint gets
 * one. */
void
SendRefusal(NodeState& aState,
            ReduceContext& aContext,
            const Requester& aRequester,
            const std::string& aKind,
            Refusal aRefusal,
            std::uint32_t aReturnedTokens,
            NodeId aSuccessor = {});

void
CountInboundRefusal(NodeState& aState,
                    ReduceContext& aContext,
                    const Request& aRequest,
                    const Refusal& aRefusal);

/** A request that has been removed, and the tokens to return to its requester. */
struct RemovedRequest
{
  InboundRequest request_;
  std::uint32_t tokens_ = 0;
};

/** Removes the request and closes its token pool. Returns nullopt when the request is not
 * registered. */
std::optional<RemovedRequest>
RemoveRequest(NodeState& aState, RequestId aId);

/** Ends a request without an answer and sends the refusal to its requester. */
void
EndRefused(NodeState& aState, ReduceContext& aContext, RequestId aId, Refusal aRefusal);

void
EndAnswered(NodeState& aState, ReduceContext& aContext, RequestId aId, const Answer& aAnswer);

/** Ends a request that has not been passed to the backend server. */
void
EndNotRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason);

/** Ends a request that was passed to the backend server but did not run. */
void
EndStartedNotRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason);

/** Ends a request whose answer was lost. */
void
EndMayHaveRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason);

} // namespace fulmarway
