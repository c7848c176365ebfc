/** \file
 * The ends of a request at the inbound role: what its requesters are told, and its removal.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** The load report that rides on every answer to a request of the kind. Its level is also that of
 * the deeper services that the kind needs, so that entries refuse what would fail there. */
LoadReport
MakeLoadReport(NodeState& aState, const ReduceContext& aContext, const std::string& aKind);

/** Sends an answer; a long body goes in parts. */
void
SendAnswer(ReduceContext& aContext, const Requester& aRequester, CallAnswer aAnswer);

/** Sends a refusal of a request of the kind; "not run" gets a time for a repeat. */
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

/** A request that is no longer registered, and the tokens that go back to its requester. */
struct RemovedRequest
{
  InboundRequest request_;
  std::uint32_t tokens_ = 0;
};

/** nullopt when the request is not registered. */
std::optional<RemovedRequest>
RemoveRequest(NodeState& aState, RequestId aId);

/** Ends a request without an answer and tells its requester. */
void
EndRefused(NodeState& aState, ReduceContext& aContext, RequestId aId, Refusal aRefusal);

void
EndAnswered(NodeState& aState, ReduceContext& aContext, RequestId aId, const Answer& aAnswer);

/** Ends a request that has not been passed to the backend server. */
void
EndNotRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason);

/** Ends a request that was started but did not run. */
void
EndStartedNotRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason);

/** Ends a request whose answer was lost. */
void
EndMayHaveRun(NodeState& aState, ReduceContext& aContext, RequestId aId, Reason aReason);

} // namespace fulmarway
