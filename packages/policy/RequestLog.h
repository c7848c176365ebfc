/** \file
 * Log lines about single requests. Refusals, failures and repeated attempts are always logged, what
 * went well only for a sample of the requests. The sample is drawn by the id, so that all nodes
 * that a request touches log it or none does.
 */
#pragma once

#include "policy/NodeState.h"

#include <string>
#include <string_view>

namespace fulmarway {

/** One request in this many is in the sample. */
inline constexpr std::uint64_t kLogSampleOneIn = 64;

/** Whether lines about what went well are wanted for the request. */
bool
IsInLogSample(std::string_view aRequestId);

/** A request was refused before a call was made for it. */
void
LogRequestRefused(ReduceContext& aContext, const CallerRequest& aRequest, const Refusal& aRefusal);

/** An attempt is sent; logged for the sample, and for every attempt but the first. */
void
LogAttemptSent(ReduceContext& aContext,
               const NodeState& aState,
               const OutboundCall& aCall,
               AttemptId aAttempt);

/** An attempt ended without an answer. */
void
LogAttemptEnded(ReduceContext& aContext,
                const NodeState& aState,
                const OutboundCall& aCall,
                const Attempt& aAttempt,
                const Refusal& aRefusal,
                const LoadReport* aLoad);

/** The call ended with a refusal or failure. */
void
LogCallFailed(ReduceContext& aContext, const OutboundCall& aCall, const Refusal& aRefusal);

/** The call ended with an answer; logged for the sample, and for every answer of failure. */
void
LogCallAnswered(ReduceContext& aContext, const OutboundCall& aCall, const Answer& aAnswer);

/** A request for the own backend server was refused or failed; admission tells why. */
void
LogInboundFailed(ReduceContext& aContext,
                 const NodeState& aState,
                 const Request& aRequest,
                 const Refusal& aRefusal);

/** A request was passed to the own backend server; logged for the sample. */
void
LogInboundStarted(ReduceContext& aContext, const NodeState& aState, const InboundRequest& aRequest);

} // namespace fulmarway
