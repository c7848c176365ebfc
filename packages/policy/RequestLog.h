/** \file
 * Logging of individual routed requests. Refusals, failures and retries are always logged,
 * successes only for a sample. The sample is selected by a hash of the request id, so that either
 * all nodes that handle a request log it or none does.
 */
#pragma once

#include "policy/NodeState.h"

#include <string>
#include <string_view>

namespace fulmarway {

/** One in this many requests is in the sample. */
inline constexpr std::uint64_t kRequestsPerLogSample = 64;

/** Whether the request is in the sample whose successful steps are logged. */
bool
IsInLogSample(std::string_view aRequestId);

/** Logs a routed request that was refused before a call was made for it. */
void
LogRequestRefused(ReduceContext& aContext, const CallerRequest& aRequest, const Refusal& aRefusal);

/** Logs that an attempt was sent: the first one only for the sample, later ones always. */
void
LogAttemptSent(ReduceContext& aContext,
               const NodeState& aState,
               const OutboundCall& aCall,
               AttemptId aAttempt);

/** Logs an attempt that ended without an answer. aLoad may be null. */
void
LogAttemptEnded(ReduceContext& aContext,
                const NodeState& aState,
                const OutboundCall& aCall,
                const Attempt& aAttempt,
                const Refusal& aRefusal,
                const LoadReport* aLoad);

/** Logs a call that ended with a refusal or failure. */
void
LogCallFailed(ReduceContext& aContext, const OutboundCall& aCall, const Refusal& aRefusal);

/** Logs a call that ended with an answer: server errors always, others only for the sample. */
void
LogCallAnswered(ReduceContext& aContext, const OutboundCall& aCall, const Answer& aAnswer);

/** Logs a refused or failed request to the local backend server, with the state of admission. */
void
LogInboundFailed(ReduceContext& aContext,
                 const NodeState& aState,
                 const Request& aRequest,
                 const Refusal& aRefusal);

/** Logs that a request was passed to the local backend server; only for the sample. */
void
LogInboundStarted(ReduceContext& aContext, const NodeState& aState, const InboundRequest& aRequest);

} // namespace fulmarway
