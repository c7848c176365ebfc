/** \file
 * Joining, draining and leaving: an operator's drain, the graceful stop and the hand-over of the
 * ticket tables.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

void
HandleBackendHealth(NodeState& aState, ReduceContext& aContext, bool aHealthy);

/** The first request starts the graceful stop. */
void
HandleStopRequested(NodeState& aState, ReduceContext& aContext);

void
HandleHandover(NodeState& aState, ReduceContext& aContext, LinkId aLink, const Handover& aPart);

void
HandleHandoverAccepted(NodeState& aState,
                       ReduceContext& aContext,
                       const HandoverAccepted& aAccepted);

/** Follows the operator's drain and moves the stop forward. */
void
AdvanceLifecycle(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
