/** \file
 * Lifecycle of a node: health of its backend server, drains, the planned stop, and the handover of
 * the ticket tables.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Time for gossip to spread that the node left, before its sockets close. */
inline constexpr Duration kLeaveGossipTime = std::chrono::milliseconds(500);
/** Longest time that the process still writes replies to slow readers after that. */
inline constexpr Duration kExitFlushTimeout = std::chrono::milliseconds(250);

void
HandleBackendHealth(NodeState& aState, ReduceContext& aContext, bool aHealthy);

/** Applies a heartbeat of the local backend server: incarnation, slots, and drain state. */
void
HandleBackendHeartbeat(NodeState& aState,
                       ReduceContext& aContext,
                       const BackendHeartbeat& aHeartbeat);

/** The local backend server has left for good. */
void
HandleBackendLeft(NodeState& aState, ReduceContext& aContext, const BackendLeave& aLeave);

/** Counts a connection to the local backend server that could not be opened. */
void
RecordFailedConnect(NodeState& aState, ReduceContext& aContext);

/** Starts the planned stop; further requests have no effect. */
void
HandleStopRequested(NodeState& aState, ReduceContext& aContext);

/** The deadline of a request that arrives now: aDeadline, but during a planned stop no later than
 * its end. A backend server that works beyond that would be cut off without an answer. */
Instant
DeadlineBeforeExit(const NodeState& aState, Instant aDeadline);

void
HandleHandover(NodeState& aState, ReduceContext& aContext, LinkId aLink, const Handover& aPart);

void
HandleHandoverAccepted(NodeState& aState,
                       ReduceContext& aContext,
                       const HandoverAccepted& aAccepted);

/** Starts or ends a drain, updates the health of the backend server from its heartbeats, and
 * advances a planned stop. */
void
AdvanceLifecycle(NodeState& aState, ReduceContext& aContext);

} // namespace fulmarway
