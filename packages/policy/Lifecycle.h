/** \file
 * Lifecycle of a node: health of its backend server, drains, the planned stop, and the handover of
 * the ticket tables.
 */
#pragma once

#include "policy/NodeState.h"

namespace fulmarway {

/** Time for gossip to spread that the node left, before its sockets close. */
inline constexpr Duration kLeaveGossipTime = std::chrono::milliseconds(500);
/** Longest time that the process still writes replies to slow readers after the stop, whose last
 * part is the time above. */
inline constexpr Duration kExitFlushTimeout = std::chrono::milliseconds(250);

void
HandleBackendHealth(NodeState& aState, ReduceContext& aContext, bool aHealthy);

/** Longest time that the acknowledgement of a departure waits for the store. The backend server
 * gives up after 1 s. */
inline constexpr Duration kDepartureStoreTimeout = std::chrono::milliseconds(700);
/** Longest time after it has read the list of the store that a started node waits for the
 * departures that peers know, before it uses its backend server. */
inline constexpr Duration kDepartureLookupTimeout = std::chrono::seconds(1);
/** Longest time after its start that it waits for that list and for peers. Until a peer probes the
 * node, it has no callers on other VMs, so that the wait delays little. */
inline constexpr Duration kDepartureLookupTimeoutInOutage = std::chrono::seconds(5);

/** Applies a heartbeat of the local backend server: incarnation, slots, and drain state. */
void
HandleBackendHeartbeat(NodeState& aState,
                       ReduceContext& aContext,
                       const BackendHeartbeat& aHeartbeat);

/** The local backend server has left for good. */
void
HandleBackendLeft(NodeState& aState, ReduceContext& aContext, const BackendLeave& aLeave);

/** Acknowledges a notice of the local backend server after it was handled. While a departure is not
 * in the store yet, the acknowledgement waits: a new process of the node could not know of it. */
void
AcknowledgeWhenStored(NodeState& aState, ReduceContext& aContext, ExchangeId aExchange);

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
