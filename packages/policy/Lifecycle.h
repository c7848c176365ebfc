/** \file
 * Joining, draining and leaving: an operator's drain, the graceful stop and the hand-over of the
 * ticket tables.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

void
HandleBackendHealth(NodeState& aState, ReduceContext& aContext, bool aHealthy);

/** A report of the own backend server: its run, its slots, and whether it leaves. */
void
HandleBackendReport(NodeState& aState, ReduceContext& aContext, const BackendReport& aReport);

/** The own backend server leaves for good. */
void
HandleBackendLeft(NodeState& aState, ReduceContext& aContext, const BackendLeave& aLeave);

/** A connection to the own backend server could not be opened. */
void
NoteFailedConnect(NodeState& aState, ReduceContext& aContext);

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
